package rowanplank.lab.check;

import java.util.List;
import java.util.stream.Collectors;
import rowanplank.lab.trace.Event;

/** {@link Rule#END_OF_DAY}: the day came to rest by itself. Else it names the requests that have no end. */
final class EndOfDay {
    private static final int MOST_NAMED = 10;

    private final Findings findings;

    EndOfDay(Findings findings) {
        this.findings = findings;
    }

    /** @param open the requests that have no end */
    void see(Event ended, List<Request> open) {
        if (ended.value() == 0) {
            return;
        }
        String named = open.stream().limit(MOST_NAMED)
                .map(r -> r.number + " (" + r.type + " at node " + r.node + ")").collect(Collectors.joining(", "));
        findings.broke(Rule.END_OF_DAY, ended.at(), open.isEmpty() ? Event.NONE : open.get(0).node, Event.NONE,
                open.isEmpty() ? Event.NONE : open.get(0).number, open.isEmpty() ? List.of() : open.get(0).events,
                "the day never came to rest; " + open.size() + " requests have no end"
                + (open.isEmpty() ? "" : ": " + named + (open.size() > MOST_NAMED ? ", ..." : "")));
    }
}
