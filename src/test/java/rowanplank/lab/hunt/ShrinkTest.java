package rowanplank.lab.hunt;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import rowanplank.lab.day.Day;
import rowanplank.lab.day.DayDraw;
import rowanplank.lab.day.Fault;
import rowanplank.lab.run.DayPlayer;
import rowanplank.lab.run.DayResult;
import rowanplank.lab.run.ServiceMeter;

class ShrinkTest {
    private static final String RULE = "ONE_TRY";

    /** Breaks the rule on the days that fit, and another one on all. */
    private static DayPlayer breaking(Predicate<Day> where) {
        return day -> {
            TreeMap<String, Long> broken = new TreeMap<>();
            broken.put("OTHER", 1L);
            if (where.test(day)) {
                broken.put(RULE, 2L);
            }
            return new DayResult(day, DayResult.How.ENDED, "", 1, new ServiceMeter(day).service(), broken, List.of(),
                    day.length(), Duration.ZERO);
        };
    }

    private static boolean has(Day day, Fault.Kind kind) {
        return day.faults().stream().anyMatch(f -> f.kind() == kind);
    }

    private static Day dayWith(Predicate<Day> what) {
        for (long seed = 0;; seed++) {
            Day day = DayDraw.random(seed, 9);
            if (what.test(day)) {
                return day;
            }
        }
    }

    @Test
    void onlyWhatTheBreakNeedsIsLeft() {
        Predicate<Day> needs = d -> has(d, Fault.Kind.SLOW) && has(d, Fault.Kind.CUT) && d.nodes().count() > 2
                && d.length().compareTo(Duration.ofSeconds(5)) > 0;
        DayPlayer player = breaking(needs);
        Shrink.Smaller smaller =
                Shrink.shrink(player, player.play(dayWith(needs)), RULE, 500, () -> false);
        Day day = smaller.day();
        assertTrue(smaller.result().broken().containsKey(RULE));
        assertEquals(2, day.faults().size());
        assertEquals(3, day.nodes().count());
        assertEquals(1, day.servers().count());
        assertEquals(1, day.classes().size());
        assertTrue(day.length().toMillis() < 6000, day.length().toString());
        assertTrue(day.clients().rate() < 2);
    }

    /** Else a day that takes a minute to play would be made smaller for hours. */
    @Test
    void itEndsAfterSoManyPlaysWithADayThatStillBreaksTheRule() {
        Predicate<Day> needs = d -> has(d, Fault.Kind.SLOW);
        DayPlayer player = breaking(needs);
        Shrink.Smaller smaller = Shrink.shrink(player, player.play(dayWith(needs)), RULE, 7, () -> false);
        assertEquals(7, smaller.plays());
        assertTrue(needs.test(smaller.day()));
    }

    @Test
    void aHuntEndsAtTheFirstBreakOrAfterItsDays() throws InterruptedException {
        ExecutorService threads = Executors.newFixedThreadPool(3);
        try {
            Hunt.Plan plan = new Hunt.Plan(seed -> DayDraw.random(seed, 3), 10, 40, Instant.MAX, 3, true);
            Hunt.Report all = new Hunt(breaking(d -> has(d, Fault.Kind.SLOW)), () -> Instant.EPOCH, plan).run(threads);
            assertEquals(40, all.days());
            assertEquals(40, all.broken().get("OTHER"));
            assertEquals(10, all.finds().get(1).found().day().seed());
            assertFalse(all.interrupted());
            Hunt.Plan first = new Hunt.Plan(plan.draw(), 10, 40, Instant.MAX, 1, false);
            assertEquals(1, new Hunt(breaking(d -> true), () -> Instant.EPOCH, first).run(threads).days());
        } finally {
            threads.shutdownNow();
        }
    }
}
