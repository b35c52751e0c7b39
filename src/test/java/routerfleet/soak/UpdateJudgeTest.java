package routerfleet.soak;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The judge finds what the soak of starts relies on it to find. */
class UpdateJudgeTest {
    private static final int OK = 200;
    private static final int INVALID = 400;

    private final UpdateJudge judge = new UpdateJudge(5_000, 4_000);

    private static SoakUpdate update(long sentMs, long endMs, boolean valid, int status) {
        return new SoakUpdate(1, 8, valid, TimeUnit.MILLISECONDS.toNanos(sentMs), TimeUnit.MILLISECONDS.toNanos(endMs),
                status, 1);
    }

    private List<String> violations(List<Long> disturbancesMs, SoakUpdate... updates) {
        Stream<Long> nanos = disturbancesMs.stream().map(TimeUnit.MILLISECONDS::toNanos);
        return judge.violations(Arrays.asList(updates), nanos.toList(), 0);
    }

    @Test
    void anUpdateHasAckMsAndThreeMoreForEachRouteInOneStretchOfCalm() {
        assertThat(violations(List.of(0L), update(600, 9_024, true, OK)), is(empty()));
        assertThat(violations(List.of(0L), update(600, 9_025, true, OK)), hasSize(1));
        assertThat(violations(List.of(0L), update(600, 60_000, true, 0)), hasSize(1));
    }

    @Test
    void stretchesOfCalmDoNotAddUp() {
        assertThat(violations(List.of(0L, 8_000L), update(600, 16_000, true, OK)), is(empty()));
        assertThat(violations(List.of(0L, 9_500L), update(600, 13_000, true, OK)), hasSize(1));
    }

    @Test
    void whatMustNotBeAcknowledgedOrRefusedIsFound() {
        assertThat(violations(List.of(), update(0, 1, false, OK)), hasSize(1));
        assertThat(violations(List.of(), update(0, 1, false, INVALID)), is(empty()));
        assertThat(violations(List.of(), update(0, 1, true, INVALID)), hasSize(1));
        assertThat(violations(List.of(), update(0, 1, true, OK), update(0, 1, true, OK)), hasSize(1));
    }
}
