package routerfleet.log;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.matchesPattern;

import org.junit.jupiter.api.Test;

/** What is told of the steps of an operation. */
class StepTimesTest {
    @Test
    void eachStepIsToldWithItsWallTimeAndProcessorTime() {
        StepTimes steps = StepTimes.fromNow();
        steps.ended("read");
        steps.ended("on disk");
        assertThat(steps.toString(), matchesPattern("read \\d+/\\d+, on disk \\d+/\\d+"));
    }

    @Test
    void aStartIsCountedFromTheBeginningOfTheProcess() {
        assertThat(StepTimes.fromProcessStart().wallMs(), greaterThan(100L));
    }
}
