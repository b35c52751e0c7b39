package rowanplank.lab.day;

import java.time.Duration;
import java.util.List;
import rowanplank.lab.day.Day.Clients;
import rowanplank.lab.day.Day.Connections;
import rowanplank.lab.day.Day.Discovery;
import rowanplank.lab.day.Day.Kind;
import rowanplank.lab.day.Day.Network;
import rowanplank.lab.day.Day.Nodes;
import rowanplank.lab.day.Day.Prices;
import rowanplank.lab.day.Day.Report;
import rowanplank.lab.day.Day.RequestClass;
import rowanplank.lab.day.Day.Rules;
import rowanplank.lab.day.Day.Servers;

/**
 * The usual day: a newspaper's site in three halls, served well. Whatever a day's file leaves out is as here.
 *
 * <p>Its ten servers do about 20 s of work a second in all, and the clients ask for 5.5 s of it: a load of 0.28.
 */
public final class PressDay {
    public static final Day DAY = new Day("day", 1, Duration.ofSeconds(50), List.of("north", "south", "coast"),
            new Network(micros(200), micros(600), micros(800), 0.2, 0, Duration.ofMillis(1), Duration.ofMillis(25)),
            new Nodes(3, 512, 1, micros(20), 6, true, true, Duration.ofSeconds(2)),
            List.of(new RequestClass("article", 0.65, Duration.ofMillis(12), 1, Duration.ofMillis(150),
                            Duration.ofMillis(500), 2, 0.3, "repeatable"),
                    new RequestClass("epaper", 0.35, Duration.ofMillis(30), 1, Duration.ofMillis(350),
                            Duration.ofMillis(1200), 6, 0.2, "repeatable")),
            new Rules(Duration.ofMillis(250), Duration.ofMillis(20), 0.15, Duration.ofSeconds(20), 2.5,
                    Duration.ofMillis(1500)),
            new Prices(0.06, 0.05, 0.01, 0.01, 0.08, 0.5, 0.3, 0.2),
            new Servers(10, List.of(kind("new", 0.3, 1.3), kind("usual", 0.45, 1), kind("old", 0.25, 0.7)),
                    new Report(Duration.ofMillis(150), Duration.ofMillis(80), 0.1),
                    new Connections(Duration.ofMillis(1), 100, 0.08, Duration.ofSeconds(30), Duration.ofMillis(250)),
                    Duration.ofMillis(1), 0.3, 1000, "work", Duration.ofSeconds(4)),
            new Discovery(Duration.ofSeconds(2), Duration.ofMillis(300), Duration.ofMillis(300)),
            new Clients(300, 0.4, Duration.ofSeconds(3), 0.2, 0.7, 0.9, 100, 0, Duration.ofMillis(1500),
                    Duration.ofSeconds(3), 1, false),
            List.of());

    private PressDay() { }

    private static Kind kind(String name, double share, double speed) {
        return new Kind(name, share, 2, speed, 0.15, 6, 1, 1.5, 0.2, 0.4, 0.2, Duration.ofSeconds(15),
                Duration.ofSeconds(8), Duration.ofMillis(40), 0.0005, true);
    }

    private static Duration micros(long count) {
        return Duration.ofNanos(count * 1000);
    }
}
