package rowanplank.lab.run;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
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
    /** So long after discovery wrote of a start, a node has read it. */
    private static final long HEARD_BY = 100_000_000;
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

    /** Of tries out at once, at all nodes together, at a server in its cold time, from nodes that had heard of its start. */
    private static int mostAtACold(List<Event> events, Duration cold) {
        Map<Integer, Long> started = new TreeMap<>();
        Map<Integer, Set<Long>> out = new TreeMap<>();
        Map<String, Long> told = new TreeMap<>();
        int most = 0;
        for (Event e : events) {
            switch (e.kind()) {
                case SERVER_STARTED -> {
                    started.put(e.server(), e.at());
                    out.put(e.server(), new TreeSet<>());
                    told.keySet().removeIf(k -> k.endsWith(" " + e.server()));
                }
                case TOLD -> {
                    if (e.server() != Event.NONE && started.get(e.server()) > 0 && e.value() == 1 && e.request() > 0) {
                        told.putIfAbsent(e.node() + " " + e.server(), e.at());
                    }
                }
                case TRY_CAME -> {
                    long heard = told.getOrDefault(e.node() + " " + e.server(), Long.MAX_VALUE - HEARD_BY);
                    if (e.value() > heard + HEARD_BY && e.at() < started.get(e.server()) + cold.toNanos()) {
                        out.get(e.server()).add(e.request());
                        most = Math.max(most, out.get(e.server()).size());
                    }
                }
                case TRY_ANSWERED, TRY_WITHDRAWN, TRY_LOST -> out.get(e.server()).remove(e.request());
                default -> { }
            }
        }
        return most;
    }

    @Test
    void aColdServerHasNoMoreThanItsColdPlacesOfAllNodes() {
        Day day = FleetDay.CALM.draw(5, 4, 2.2);
        List<Fault> faults = new ArrayList<>(day.faults());
        for (int s = 0; s < 6; s++) {
            faults.add(new Fault(Fault.Kind.SERVER_KILLED, Duration.ofSeconds(5), Duration.ofSeconds(1), s, 0));
        }
        Day cold = DayEdit.withLength(DayEdit.withFaults(day, faults), Duration.ofSeconds(16));
        Places one = new Places(8, 0, 4, Duration.ofMillis(50), Duration.ofSeconds(4), Sharing.Terms.NONE, false, 1);
        Places all = new Places(8, 0, 4, Duration.ofMillis(50), Duration.ofSeconds(4));
        Duration coldTime = day.rules().cold();
        assertEquals(1, mostAtACold(play(cold, new Sharing(Duration.ofSeconds(4), List.of(), List.of(), one)), coldTime));
        assertTrue(mostAtACold(play(cold, new Sharing(Duration.ofSeconds(4), List.of(), List.of(), all)), coldTime) > 1);
    }

    /** A node that starts asks discovery with a use of its part, and no more often than the fleet may. */
    @Test
    void callsToDiscoveryKeepToTheFleetsRate() {
        Day day = FleetDay.CALM.draw(3, 3, 1);
        Day out = DayEdit.withLength(DayEdit.withFaults(day, List.of(day.faults().get(0), new Fault(
                Fault.Kind.DISCOVERY_MALFORMED, Duration.ofSeconds(4), Duration.ofSeconds(6), Fault.ALL, 1),
                new Fault(Fault.Kind.SERVER_REPLACED, Duration.ofMillis(4500), Duration.ZERO, 2, 0))), Duration.ofSeconds(12));
        Sharing on = bounding(List.of(new Budget("calls", true, 2, 4, 0, 3)), new Sharing.Uses(null, 1000, "calls"));
        assertTrue(malformed(play(out, on)) <= 2 * 6 + 4);
        assertTrue(malformed(play(out, Sharing.NONE)) > 2 * (2 * 6 + 4), "the day asks for more");
    }

    private static long malformed(List<Event> events) {
        return events.stream().filter(e -> e.kind() == Event.Kind.NODE_LOGGED && e.text().contains("of discovery")).count();
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
