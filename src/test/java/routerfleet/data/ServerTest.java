package routerfleet.data;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;
import routerfleet.wire.SessionRecord;

/** Tests the state that a node keeps for a server. */
class ServerTest {
    private final Server server = new Server(new SessionRecord("s", "llm", "127.0.0.1:1000", "a", 16,
            SessionRecord.Phase.READY, 1, 0));

    /** Guards long prompts: a single request that waits for its first event does not mean that the server has failed. */
    @Test
    void silenceWithTwoRequestsCountsFromTheSecondRequest() {
        server.requestSent(1_000);
        assertThat(server.silentMs(2_500), is(1_500L));
        assertThat(server.silentWithTwoRequestsMs(2_500), is(0L));
        server.requestSent(2_500);
        assertThat(server.silentWithTwoRequestsMs(3_000), is(500L));
        server.bytesReceived(3_100);
        assertThat(server.silentMs(3_200), is(100L));
        assertThat(server.silentWithTwoRequestsMs(3_200), is(100L));
        server.requestEnded();
        assertThat(server.silentWithTwoRequestsMs(3_500), is(0L));
        assertThat(server.silentMs(3_500), is(400L));
        server.requestEnded();
        assertThat(server.silentMs(3_500), is(0L));
    }
}
