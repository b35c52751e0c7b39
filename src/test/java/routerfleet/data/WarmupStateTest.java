package routerfleet.data;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

/** Tests until when a server counts as cold. */
class WarmupStateTest {
    private final WarmupState state = new WarmupState();

    @Test
    void aServerIsColdForTheReportedTimeAfterTheReceipt() {
        assertThat(state.heartbeatReported(1, 3_000, true, 10_000), is(true));
        assertThat(state.isCold(13_000), is(true));
        assertThat(state.isCold(13_200), is(false));
    }

    @Test
    void theNewestHeartbeatAppliesInAnyOrderOfReceipt() {
        state.heartbeatReported(5, 2_000, true, 10_000);
        state.heartbeatReported(4, 9_000, true, 10_010);
        assertThat(state.isCold(12_200), is(false));
        state.heartbeatReported(6, 0, true, 10_500);
        assertThat("warm sooner", state.isCold(10_501), is(false));
        state.heartbeatReported(5, 2_000, true, 10_600);
        assertThat("an earlier heartbeat", state.isCold(10_601), is(false));
        assertThat("cold again", state.heartbeatReported(7, 500, true, 11_000), is(true));
    }

    /** Guards against idle servers: a heartbeat that another control node reports again does not keep the server cold. */
    @Test
    void aRepeatedHeartbeatDoesNotExtendTheColdTime() {
        state.heartbeatReported(1, 3_000, true, 10_000);
        state.heartbeatReported(1, 3_000, true, 12_900);
        assertThat(state.isCold(13_200), is(false));
    }

    @Test
    void anAssumedColdServerIsColdUntilALaterHeartbeatOrATimeout() {
        state.heartbeatReported(1, 0, true, 10_000);
        state.assumeCold(3_500, 10_100);
        state.heartbeatReported(2, 0, true, 10_300);
        assertThat("sent before the assumption", state.isCold(10_301), is(true));
        state.heartbeatReported(3, 0, true, 11_000);
        assertThat(state.isCold(11_001), is(false));
        state.assumeCold(3_500, 12_000);
        assertThat(state.isCold(15_499), is(true));
        assertThat(state.isCold(15_500), is(false));
    }

    /**
     * Guards against overloading cold servers: a heartbeat from before the assumption, reported late by a control node that
     * has reconnected, is no evidence that the server is warm.
     */
    @Test
    void aStaleHeartbeatDoesNotEndTheAssumption() {
        state.heartbeatReported(1, 0, true, 10_000);
        state.assumeCold(3_500, 10_100);
        state.heartbeatReported(2, 0, false, 11_000);
        assertThat(state.isCold(11_001), is(true));
    }

    @Test
    void aResponseCanReportThatTheServerIsCold() {
        state.heartbeatReported(1, 0, true, 10_000);
        state.responseReported(800, 10_100);
        assertThat(state.isCold(10_900), is(true));
    }
}
