package rowanplank.lab.run;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import rowanplank.config.FleetConfig.Budget;
import rowanplank.config.FleetConfig.Places;
import rowanplank.config.FleetConfig.Sharing;
import rowanplank.lab.day.Day;
import rowanplank.lab.day.DayEdit;
import rowanplank.lab.day.Fault;
import rowanplank.lab.day.FleetDay;
import rowanplank.lab.trace.Event;
import rowanplank.net.SystemClock;

/** Whole nodes that are a fleet, in days in virtual time: what the fleet bounds is kept by all of them together. */
@Timeout(120)
class FleetDaysTest {
    private static final DayRun.Manner USUAL = DayRun.Manner.usual(new SystemClock());
    private static final Places PLACES = new Places(4, 0, 3, Duration.ofMillis(50), Duration.ofSeconds(4));

    private static Sharing bounding(List<Budget> budgets, Sharing.Uses uses) {
        return new Sharing(Duration.ofSeconds(4), Duration.ZERO, budgets, List.of(), null, uses);
    }

    private static List<Event> play(Day day, Sharing sharing) {
        List<Event> events = new ArrayList<>();
        DayResult result = new DayRun(USUAL.withSharing(sharing).withTrace(events::add)).play(day);
        assertEquals(DayResult.How.ENDED, result.how(), result::text);
        assertEquals(Map.of(), result.broken(), result::text);
        return events;
    }

    /** Tries beyond the first, in the order of their coming to a server. */
    private static List<Long> triesAgain(List<Event> events) {
        Set<Long> known = new TreeSet<>();
        List<Long> again = new ArrayList<>();
        events.stream().filter(e -> e.kind() == Event.Kind.TRY_CAME && !known.add(e.request())).forEach(e -> again.add(e.at()));
        return again;
    }

    private static Day spoilt() {
        Day day = FleetDay.CALM.draw(3, 3, 1);
        return DayEdit.withLength(DayEdit.withFaults(day, List.of(day.faults().get(0), new Fault(Fault.Kind.SPOILT,
                Duration.ofSeconds(5), Duration.ofSeconds(5), Fault.ALL, 0.4))), Duration.ofSeconds(11));
    }

    /** 15 a second with a burst of 6, and 0.3 s for the ways there: without the switch there are several times as many. */
    @Test
    void triesBeyondTheFirstKeepToTheFleetsRate() {
        Sharing on = bounding(List.of(new Budget("again", true, 15, 6, 0, 3)), new Sharing.Uses("again", 1000, null));
        assertTrue(most(triesAgain(play(spoilt(), on)), 2) <= 15 * 2.3 + 6);
        assertTrue(most(triesAgain(play(spoilt(), Sharing.NONE)), 2) > 2 * (15 * 2.3 + 6), "the day asks for more");
        Sharing share = bounding(List.of(), new Sharing.Uses(null, 0.02, null));
        List<Event> events = play(spoilt(), share);
        List<Long> again = triesAgain(events);
        long first = events.stream().filter(e -> e.kind() == Event.Kind.TRY_CAME).count() - again.size();
        assertTrue(again.size() <= 0.02 * first + 3 * 10, again.size() + " of " + first);
        assertTrue(again.size() > 20);
    }

    /** The most in any stretch of so many seconds. */
    private static int most(List<Long> times, int seconds) {
        int most = 0;
        int from = 0;
        for (int i = 0; i < times.size(); i++) {
            while (times.get(i) - times.get(from) > seconds * 1_000_000_000L) {
                from++;
            }
            most = Math.max(most, i - from + 1);
        }
        return most;
    }

    /** Servers are replaced while nodes are many: nodes stay well, and their talk bounded. */
    @Test
    void aListThatChangesAllAtOnceMakesNoStorm() {
        Sharing on = new Sharing(Duration.ofSeconds(4), List.of(), List.of(), PLACES);
        Day day = DayEdit.withLength(FleetDay.REPLACED.draw(1, 5, 1), Duration.ofSeconds(24));
        List<Event> events = play(day, on);
        long bytes = events.stream().filter(e -> e.kind() == Event.Kind.DATAGRAM).mapToLong(e -> e.value() * e.request()).sum();
        assertTrue(bytes / 5 / 149 < 8000, bytes / 5 / 149 + " bytes a node and second, over a day and its rest");
    }
}
