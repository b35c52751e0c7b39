package routerfleet.data;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;
import static org.hamcrest.Matchers.sameInstance;

import java.util.List;
import org.junit.jupiter.api.Test;
import routerfleet.wire.PeerMessage;
import routerfleet.wire.SessionRecord;
import routerfleet.wire.SessionView;

/** Tests how zones that can't be reached are avoided. */
class ZoneReachabilityTest {
    private static final PromptProfile PROFILE = new PromptProfile("draft", PromptPrefix.NONE, 600);
    private final ServerRegistry registry = new ServerRegistry(1, () -> 1_000_000_000L, "c");

    private static SessionView server(String uid, String zone) {
        return new SessionView(new SessionRecord(uid, "llm", "127.0.0.1:1000", zone, 16, SessionRecord.Phase.READY, 1, 0),
                true);
    }

    private ServerPool pool() {
        registry.applySessionChanges("control", new PeerMessage.SessionChanges(1, 1, true,
                List.of(server("a1", "a"), server("b1", "b"), server("b2", "b"), server("b3", "b"))));
        return registry.pool("llm");
    }

    private Server find(String uid) {
        for (Server server : registry.servers()) {
            if (server.uid().equals(uid)) {
                return server;
            }
        }
        throw new AssertionError(uid);
    }

    /** Guards requests on both sides of a partition: each server alone would cost a connect timeout. */
    @Test
    void aZoneIsAvoidedWhenConnectsToItTimeOut() {
        ServerPool pool = pool();
        find("b1").connectTimedOut(1_000, 1_250);
        find("b2").connectTimedOut(1_000, 1_250);
        for (int i = 0; i < 100; i++) {
            assertThat(pool.choose(PROFILE, 8, List.of(), 1_300), is(sameInstance(find("a1"))));
        }
        assertThat("used if there is no other server",
                pool.choose(PROFILE, 8, List.of(find("a1")), 1_300).zone(), is("b"));
    }

    /** Guards a reachable zone in which single servers have stopped. */
    @Test
    void aZoneIsNotAvoidedWhileAnyOfItsServersResponds() {
        pool();
        find("b1").connectTimedOut(1_000, 1_250);
        find("b3").bytesReceived(1_260);
        find("b2").connectTimedOut(1_100, 1_350);
        assertThat(find("b3").isAvoided(1_360), is(false));
        find("b1").connectTimedOut(1_300, 1_550);
        assertThat("a single timeout is not enough", find("b3").isAvoided(1_560), is(false));
    }

    @Test
    void oneRequestProbesTheZoneAfterAnInterval() {
        pool();
        find("b1").connectTimedOut(1_000, 1_250);
        find("b2").connectTimedOut(1_000, 1_250);
        long triedMs = 1_251 + ZoneReachability.PROBE_INTERVAL_MS;
        assertThat(find("b3").isAvoided(triedMs), is(false));
        find("b3").requestSent(triedMs);
        assertThat(find("b3").isAvoided(triedMs + 1), is(true));
        assertThat("on a new connection", find("b3").takeIdleConnection(triedMs, Long.MAX_VALUE), is(nullValue()));
        find("b3").connected(triedMs + 2);
        assertThat(find("b3").isAvoided(triedMs + 3), is(false));
    }
}
