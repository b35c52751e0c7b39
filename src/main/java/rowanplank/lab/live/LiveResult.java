package rowanplank.lab.live;

import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import java.time.Duration;
import java.util.List;
import rowanplank.lab.day.Day;
import rowanplank.lab.run.Service;

/**
 * What came of a day in real time.
 *
 * @param interrupted whether somebody wanted it to end before its time
 * @param began when the day began, since the site did: events tell the latter
 * @param crashes how often a node's process ended by itself
 * @param late99 how late 99 % of the site's and the clients' timers were at most, and {@code latest} the last of all
 */
public record LiveResult(Day day, boolean interrupted, Duration began, Service service, List<LiveSecond> seconds,
        int crashes, Duration late99, Duration latest) {
    public LiveResult {
        seconds = List.copyOf(seconds);
    }

    public JsonObject json() {
        JsonArray all = new JsonArray();
        seconds.forEach(s -> all.add(s.json()));
        return new JsonObject().add("version", 1).add("day", day.name()).add("seed", Long.toString(day.seed()))
                .add("interrupted", interrupted).add("began_s", began.toNanos() / 1e9)
                .add("service", service.json()).add("seconds", all).add("crashes", crashes)
                .add("late_ms_99", late99.toNanos() / 1e6).add("late_ms_most", latest.toNanos() / 1e6);
    }
}
