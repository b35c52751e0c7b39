package rowanplank.net;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** A loop whose time passes as the test says. */
public final class PassingLoop extends StandingLoop {
    private record Due(Instant at, Runnable task) { }

    private Instant now = Instant.EPOCH;
    private final List<Due> timers = new ArrayList<>();

    @Override
    public Clock clock() {
        return () -> now;
    }

    @Override
    public Timer schedule(Duration delay, Runnable task) {
        timers.add(new Due(now.plus(delay), task));
        return () -> true;
    }

    /** All that comes due meanwhile is done, each in its time. */
    public void pass(Duration time) {
        Instant until = now.plus(time);
        for (;;) {
            Due next = timers.stream().min(Comparator.comparing(Due::at)).filter(d -> !d.at().isAfter(until)).orElse(null);
            if (next == null) {
                now = until;
                return;
            }
            timers.remove(next);
            now = next.at();
            next.task().run();
        }
    }
}
