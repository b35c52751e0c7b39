package rowanplank.lab.live;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import rowanplank.lab.day.Day;
import rowanplank.lab.trace.Event;
import rowanplank.lab.trace.Trace;

/**
 * What became of requests in each second, by when they ended. Holds some 150 bytes for each request whose client still
 * waits.
 */
final class LiveSeconds implements Trace {
    private record Wish(long at, long aim, long until) { }

    private final Map<String, Long> aims = new LinkedHashMap<>();
    private final Map<Long, Wish> wishes = new LinkedHashMap<>();
    private final Histogram micros = new Histogram(3);
    private final LiveScene scene;
    private int number;
    private long asked;
    private long inTime;
    private long late;
    private long refused;
    private long failed;
    private long lost;

    LiveSeconds(Day day) {
        day.classes().forEach(c -> aims.put(c.name(), c.aim().toNanos()));
        scene = new LiveScene(day);
    }

    @Override
    public void tell(Event e) {
        scene.tell(e);
        switch (e.kind()) {
            case ARRIVED -> {
                forget(e.at());
                asked++;
                wishes.put(e.request(), new Wish(e.at(), aims.getOrDefault(e.text(), 0L), e.value()));
            }
            case ASKED_AGAIN -> {
                Wish wish = wishes.remove(e.value());
                if (wish != null) {
                    wishes.put(e.request(), wish);
                }
            }
            case ANSWERED -> answered(e);
            case CUT_SHORT, GAVE_UP, NOT_CONNECTED -> {
                lost++;
                wishes.remove(e.request());
            }
            default -> { }
        }
    }

    private void forget(long now) {
        for (Iterator<Wish> i = wishes.values().iterator(); i.hasNext() && i.next().until < now;) {
            i.remove();
        }
    }

    private void answered(Event e) {
        if (e.value() == 503 || e.value() == 429) {
            refused++;
            return;
        }
        Wish wish = wishes.remove(e.request());
        if (e.value() != 200 || wish == null) {
            failed += e.value() == 0 ? 0 : 1;
            return;
        }
        long took = e.at() - wish.at;
        micros.recordValue(Math.max(0, took) / 1000);
        if (took <= wish.aim) {
            inTime++;
        } else {
            late++;
        }
    }

    /** The second that is over now; a new one begins. */
    LiveSecond next() {
        LiveSecond second = new LiveSecond(++number, asked, inTime, late, refused, failed, lost,
                Duration.ofNanos(1000 * micros.getValueAtPercentile(99)), scene.text());
        micros.reset();
        asked = inTime = late = refused = failed = lost = 0;
        return second;
    }
}
