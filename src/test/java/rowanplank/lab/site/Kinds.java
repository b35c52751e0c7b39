package rowanplank.lab.site;

import java.time.Duration;
import rowanplank.lab.day.Day;

/** Figures for tests: one plain server, to be changed where a test needs it. */
final class Kinds {
    static final Day.Connections CONNECTIONS =
            new Day.Connections(Duration.ZERO, 100, 0, Duration.ofSeconds(30), Duration.ofMillis(250));
    static final Day.Rules RULES = new Day.Rules(Duration.ofMillis(250), Duration.ofMillis(20), 0.12,
            Duration.ofSeconds(24), 2.5, Duration.ofMillis(1500));

    private Kinds() { }

    static Day.Kind kind(int cores, double slotsPerCore, double queuePerCore) {
        return crowded(cores, slotsPerCore, queuePerCore, 1e9, 0, false);
    }

    static Day.Kind crowded(int cores, double slotsPerCore, double queuePerCore, double from, double loss,
            boolean dropsExpired) {
        return new Day.Kind("box", 1, cores, 1, 0, slotsPerCore, queuePerCore, from, loss, 0.2, 0.25,
                Duration.ofSeconds(12), Duration.ZERO, Duration.ZERO, 0, dropsExpired);
    }
}
