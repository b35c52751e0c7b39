package routerfleet.soak;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import routerfleet.demo.EmulatedServer.Run;
import routerfleet.demo.EmulatedServer.RunEnd;
import routerfleet.demo.EventNumbering;
import routerfleet.soak.RequestRecord.Outcome;

/** Tests that the judge of the soak finds faults, and excuses no more than the rule does. Times in milliseconds. */
class ShutdownJudgeTest {
    private static final long GRACE_MS = 8_000;
    private static final long DEADLINE_MS = 6_000;
    private static final long SIGTERM_MS = 10_000;
    private static final String WHOLE = EventNumbering.TIME_AND_COUNTER.stream(4);
    private static final String EVENT_MISSING = WHOLE.replace(EventNumbering.TIME_AND_COUNTER.event(1), "");

    private static long nanos(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }

    private static RequestRecord request(long sentMs, long endMs, Outcome outcome, int status, String body,
            boolean executedOnce) {
        FleetProcess.Life life = new FleetProcess.Life(null, nanos(SIGTERM_MS));
        return new RequestRecord("id", "data-1", life, "briefs", executedOnce, true, nanos(sentMs),
                nanos(sentMs), nanos(endMs), DEADLINE_MS, outcome, status, WHOLE, body, null);
    }

    private static RequestRecord cut(long sentMs, long endMs) {
        return request(sentMs, endMs, Outcome.CLOSED, 200, "", false);
    }

    private static Run run(String server, long startMs, long endMs, RunEnd end) {
        return new Run("id", server, nanos(startMs), nanos(endMs), end);
    }

    private static List<String> violations(RequestRecord request, Run... runs) {
        return new ShutdownJudge(GRACE_MS, List.of(runs)).violations(List.of(request));
    }

    private static void assertFound(String rule, List<String> violations) {
        assertThat(violations, hasItem(startsWith(rule)));
    }

    @Test
    void findsAStreamThatWasCutWhileItsServerWasAtWork() {
        assertFound("LOST", violations(cut(9_000, 10_500), run("a", 9_000, 10_600, RunEnd.CALLER_GONE)));
        assertFound("LOST", violations(cut(9_000, 10_500), run("a", 9_000, 9_010, RunEnd.REFUSED),
                run("b", 9_020, 10_600, RunEnd.CALLER_GONE)));
    }

    @Test
    void excusesAServerThatBrokeOffOnlyWhereNoneWasAskedToContinue() {
        assertThat(violations(cut(9_000, 10_500), run("a", 9_000, 10_500, RunEnd.BROKEN_OFF)), is(empty()));
        assertFound("LOST", violations(cut(9_000, 10_500), run("a", 9_000, 9_500, RunEnd.BROKEN_OFF),
                run("b", 9_510, 10_600, RunEnd.CALLER_GONE)));
    }

    @Test
    void excusesTheEndOfTheProcessOnlyForRequestsThatWereSentInTime() {
        assertThat(violations(cut(12_500, 17_000), run("a", 12_500, 17_050, RunEnd.CALLER_GONE)), is(empty()));
        assertFound("LOST", violations(cut(13_500, 17_000), run("a", 13_500, 17_050, RunEnd.CALLER_GONE)));
        assertFound("LOST", violations(cut(12_500, 15_000), run("a", 12_500, 15_050, RunEnd.CALLER_GONE)));
    }

    @Test
    void countsARequestAtNoServerOnceTheSlackIsOver() {
        assertThat(violations(cut(10_600, 10_790)), is(empty()));
        assertFound("LOST", violations(cut(10_600, 10_837)));
    }

    @Test
    void findsEventsThatAreMissingFromAStreamThatEndsAsComplete() {
        assertThat(violations(request(9_000, 9_500, Outcome.COMPLETE, 200, WHOLE, false)), is(empty()));
        assertFound("ORDER", violations(request(9_000, 9_500, Outcome.COMPLETE, 200, EVENT_MISSING, false)));
    }

    @Test
    void findsRequestsThatWereExecutedTwiceOrRefusedAfterAnExecution() {
        RequestRecord once = request(9_000, 9_500, Outcome.COMPLETE, 200, WHOLE, true);
        assertThat(violations(once, run("a", 9_000, 9_010, RunEnd.REFUSED), run("b", 9_020, 9_500, RunEnd.WHOLE)),
                is(empty()));
        assertFound("TWICE", violations(once, run("a", 9_000, 9_010, RunEnd.BROKEN_OFF),
                run("b", 9_020, 9_500, RunEnd.WHOLE)));
        assertFound("REFUSED", violations(request(9_000, 9_500, Outcome.COMPLETE, 503, "", true),
                run("a", 9_000, 9_010, RunEnd.BROKEN_OFF)));
    }

    @Test
    void findsAWholeResponseThatWasReplacedByAFailure() {
        RequestRecord replaced = request(9_000, 9_500, Outcome.COMPLETE, 502, "", true);
        assertFound("REPLACED", violations(replaced, run("a", 9_000, 9_490, RunEnd.WHOLE)));
        assertThat(violations(replaced, run("a", 9_000, 9_490, RunEnd.BROKEN_OFF)), is(empty()));
        assertThat(violations(replaced, run("a", 9_000, 9_510, RunEnd.WHOLE)), is(empty()));
    }
}
