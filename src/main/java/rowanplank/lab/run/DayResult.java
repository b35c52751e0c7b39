package rowanplank.lab.run;

import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.SortedMap;
import java.util.TreeMap;
import rowanplank.lab.day.Day;

/**
 * What came of a day.
 *
 * @param how whether it was played to its end
 * @param digest of all events, 16 hex digits: two plays of one day have the same one
 * @param broken how often each rule was broken, by its name; only rules that were
 * @param breaks the first breaks, each in a few lines
 * @param virtual how long the day was, until all was at rest
 * @param took how long it took to play; not the same in two plays
 */
public record DayResult(Day day, How how, String digest, long events, Service service, SortedMap<String, Long> broken,
        List<String> breaks, Duration virtual, Duration took) {
    /** How a play ended. */
    public enum How {
        /** All came to rest. */
        ENDED,
        /** It did not within its bounds, and was broken off. */
        NEVER_ENDED,
        /** Whoever had it played wanted it to end. */
        INTERRUPTED,
        /** The laboratory's own code failed. */
        FAILED
    }

    public DayResult {
        broken = Collections.unmodifiableSortedMap(new TreeMap<>(broken));
        breaks = List.copyOf(breaks);
    }

    public boolean isClean() {
        return broken.isEmpty();
    }

    /** The same as lines of text. */
    public String text() {
        StringBuilder t = new StringBuilder(String.format(Locale.ROOT,
                "day %s, seed %d: %s after %.3f s, %d events, digest %s, played in %.2f s%n", day.name(), day.seed(),
                how.name().toLowerCase(Locale.ROOT).replace('_', ' '), virtual.toNanos() / 1e9, events, digest,
                took.toNanos() / 1e9));
        t.append(service.text());
        broken.forEach((rule, count) -> t.append("rule broken: ").append(rule).append(", ").append(count)
                .append(count == 1 ? " time" : " times").append(System.lineSeparator()));
        breaks.forEach(b -> t.append(b.stripTrailing()).append(System.lineSeparator()));
        return t.toString();
    }

    public JsonObject json() {
        JsonObject rules = new JsonObject();
        broken.forEach(rules::add);
        JsonArray texts = new JsonArray();
        breaks.forEach(texts::add);
        return new JsonObject().add("day", day.name()).add("seed", Long.toString(day.seed()))
                .add("ended", how.name().toLowerCase(Locale.ROOT)).add("digest", digest).add("events", events)
                .add("virtual_s", virtual.toNanos() / 1e9).add("took_s", took.toNanos() / 1e9)
                .add("service", service.json()).add("broken", rules).add("breaks", texts);
    }
}
