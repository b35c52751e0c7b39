package rowanplank.lab.trial;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import rowanplank.lab.trial.judge.Event;
import rowanplank.lab.trial.judge.Event.Kind;

/** What a trial tells of its history, and when it tells nothing. */
class TrialFiguresTest {
    private static TrialPlan plan(String folder) {
        return new TrialPlan(TrialKind.LEASES, 3, 1, Duration.ofSeconds(9), Duration.ofSeconds(4), Duration.ofSeconds(1),
                List.of(), Trouble.GAP, List.of(), List.of("true"), folder);
    }

    private static Event event(long ms, Kind kind, String name, long fence) {
        return new Event(ms * 1000, kind, "n1", name, fence, 0, "");
    }

    /** Guards what staff plan by: how long a task waits after a kill says nothing of how long it waits after a release. */
    @Test
    void theTimeWithoutAHolderIsToldOfEachKindOfFault() {
        TrialResult.Figures told = new LeaseSubject(plan("")).figures(List.of(
                event(0, Kind.DRAWN, "STALL", 0),
                event(10, Kind.BEGIN, TrialPlan.LEASE, 3), event(30, Kind.END, TrialPlan.LEASE, 3),
                event(40, Kind.DRAWN, "HOLDER_GONE", 0), event(50, Kind.DRAWN, "SICK", 0),
                event(930, Kind.BEGIN, TrialPlan.LEASE, 5), event(935, Kind.DRAWN, "RELEASE", 0),
                event(950, Kind.END, TrialPlan.LEASE, 5), event(960, Kind.BEGIN, TrialPlan.LEASE, 8),
                event(980, Kind.END, TrialPlan.LEASE, 8), event(1000, Kind.BEGIN, TrialPlan.LEASE, 9)));
        assertEquals("{\"HOLDER_GONE\":{\"takeovers\":1,\"gap_ms_median\":900,\"gap_ms_99\":900},"
                + "\"RELEASE\":{\"takeovers\":2,\"gap_ms_median\":20,\"gap_ms_99\":20}}", told.json().get("by_fault").toString());
        assertTrue(told.line().contains("at HOLDER_GONE          1, median 900 ms, 99 % 900 ms"), told.line());
    }

    /** Guards the verdict: a history that was cut where it became too long told of no breach, and passed for kept rules. */
    @Test
    @Timeout(value = 30, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void aHistoryThatCantBeKeptIsNoVerdict(@TempDir Path folder) {
        Trial trial = new Trial(plan(folder.toString()), Trial.DRIFT, null, 4); // its nodes end at once: three start, three end
        assertTrue(assertThrows(Trial.UnplayableException.class, trial::play).getMessage().startsWith("its history is longer"));
    }
}
