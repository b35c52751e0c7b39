package routerfleet.data;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import routerfleet.wire.SteadyClock;

/** What the attempts of one request came to, in their order, for the log. */
final class AttemptLog {
    private final List<String> ended = new ArrayList<>(2);

    /** Records an attempt that has ended without a response that could be forwarded. */
    void ended(Attempt attempt, String outcome) {
        ended.add(attempt.describe(SteadyClock.millis()) + " " + outcome);
    }

    /** Describes the attempts that have ended, then the open ones. */
    String describe(List<Attempt> open, long nowMs) {
        return Stream.concat(ended.stream(), open.stream().map(attempt -> attempt.describe(nowMs)))
                .collect(Collectors.joining(", then "));
    }
}
