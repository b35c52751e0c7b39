package routerfleet.data;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.sameInstance;

import java.util.List;
import org.junit.jupiter.api.Test;
import routerfleet.wire.PeerMessage;
import routerfleet.wire.SessionRecord;
import routerfleet.wire.SessionView;

/** Tests which servers a data node may use, given what control nodes report. */
class ServerRegistryTest {
    private final ServerRegistry registry = new ServerRegistry(1, System::nanoTime, "a");

    private void reportSession(long revision, String uid, String backend, SessionRecord.Phase phase) {
        SessionRecord session = new SessionRecord(uid, backend, "127.0.0.1:1000", "a", 16, phase, revision, 0);
        registry.applySessionChanges("10.0.0.1", new PeerMessage.SessionChanges(1, revision, false,
                List.of(new SessionView(session, true))));
    }

    /** Guards memory: services are replaced under new names for as long as the node runs. */
    @Test
    void poolsWithoutServersAreRemoved() {
        reportSession(1, "s1", "llm", SessionRecord.Phase.READY);
        ServerPool used = registry.pool("llm");
        registry.removeStale();
        assertThat(registry.pool("llm"), is(sameInstance(used)));
        reportSession(2, "s1", "llm", SessionRecord.Phase.GONE);
        registry.removeStale();
        assertThat(registry.pool("llm"), is(not(sameInstance(used))));
        reportSession(3, "s2", "llm", SessionRecord.Phase.READY);
        assertThat(registry.pool("llm").size(), is(1));
    }

    private static SessionRecord earlierSession(String uid, SessionRecord.Phase phase) {
        return new SessionRecord(uid, "llm", "127.0.0.1:1000", "a", 16, phase, 1, 0);
    }

    /** Guards availability after a power failure: earlier sessions count until a control node's table is complete. */
    @Test
    void earlierServersAreUsedUntilATableIsComplete() {
        registry.addEarlierSessions(List.of(earlierSession("s1", SessionRecord.Phase.READY),
                earlierSession("s2", SessionRecord.Phase.READY), earlierSession("s3", SessionRecord.Phase.DRAINING)));
        assertThat(registry.pool("llm").size(), is(2));
        reportSession(1, "s1", "llm", SessionRecord.Phase.READY);
        registry.pollAnswered("10.0.0.1", true);
        assertThat("the table is incomplete", registry.pool("llm").size(), is(2));
        registry.pollAnswered("10.0.0.1", false);
        assertThat(registry.pool("llm").size(), is(1));
        registry.addEarlierSessions(List.of(earlierSession("s2", SessionRecord.Phase.READY)));
        assertThat("received too late", registry.pool("llm").size(), is(1));
    }

    /** Guards a drain acknowledged since the control nodes' restart against sessions from before it. */
    @Test
    void aDrainedServerIsNotUsedEvenIfItWasKnownEarlier() {
        registry.addEarlierSessions(List.of(earlierSession("s1", SessionRecord.Phase.READY)));
        reportSession(1, "s1", "llm", SessionRecord.Phase.DRAINING);
        assertThat(registry.pool("llm").size(), is(0));
        registry.addEarlierSessions(List.of(earlierSession("s1", SessionRecord.Phase.READY)));
        assertThat(registry.pool("llm").size(), is(0));
    }

    /** Guards drains: once this node counts as connected, only sessions since the control nodes' restart count. */
    @Test
    void earlierServersAreDroppedOnRequest() {
        registry.addEarlierSessions(List.of(earlierSession("s1", SessionRecord.Phase.READY)));
        registry.dropEarlierSessions();
        assertThat(registry.pool("llm").size(), is(0));
    }

    private boolean isUsed(String uid) {
        return registry.pool("llm").servers().stream().anyMatch(server -> server.uid().equals(uid));
    }

    /** Guards evacuations: no new or repeated report of a server in an evacuated zone makes it used before the end. */
    @Test
    void serversOfAnEvacuatedZoneAreNotUsedUntilItEnds() {
        reportSession(1, "s1", "llm", SessionRecord.Phase.READY);
        registry.setEvacuatedZones(List.of("a"));
        assertThat(isUsed("s1"), is(false));
        reportSession(2, "s2", "llm", SessionRecord.Phase.READY);
        registry.addEarlierSessions(List.of(earlierSession("s3", SessionRecord.Phase.READY)));
        registry.removeStale();
        assertThat("newly reported, or known from before", registry.pool("llm").size(), is(0));
        registry.setEvacuatedZones(List.of());
        assertThat(isUsed("s1") && isUsed("s2"), is(true));
    }

    /** Guards the health state of servers: an evacuation must not reset it, and a server that ends meanwhile is dropped. */
    @Test
    void aServerIsKeptDuringAnEvacuationUnlessItEnds() {
        reportSession(1, "s1", "llm", SessionRecord.Phase.READY);
        reportSession(2, "s2", "llm", SessionRecord.Phase.READY);
        Server before = registry.pool("llm").servers().get(0);
        registry.setEvacuatedZones(List.of("a"));
        reportSession(3, "s2", "llm", SessionRecord.Phase.GONE);
        registry.removeStale();
        registry.setEvacuatedZones(List.of("b"));
        assertThat(registry.pool("llm").servers(), is(List.of(before)));
    }

    /**
     * Guards against overloading cold servers: a server is known to be cold as soon as it is listed, and again when it
     * becomes cold later.
     */
    @Test
    void aServerIsColdForAsLongAsItReports() {
        for (long sequence : new long[] {1, 2}) {
            SessionRecord session = new SessionRecord("s1", "llm", "127.0.0.1:1000", "a", 16, SessionRecord.Phase.READY,
                    2 * sequence, 60_000);
            registry.applySessionChanges("10.0.0.1", new PeerMessage.SessionChanges(1, sequence, false,
                    List.of(new SessionView(session, true))));
            long nowMs = System.nanoTime() / 1_000_000;
            assertThat(registry.pool("llm").servers().get(0).warmupState().isCold(nowMs), is(true));
            reportSession(1, "s1", "llm", SessionRecord.Phase.READY);
            assertThat("an earlier heartbeat", registry.pool("llm").servers().get(0).warmupState().isCold(nowMs), is(true));
            registry.applySessionChanges("10.0.0.1", new PeerMessage.SessionChanges(1, 1, false, List.of(new SessionView(
                    new SessionRecord("s1", "llm", "127.0.0.1:1000", "a", 16, SessionRecord.Phase.READY,
                            2 * sequence + 1, 0), true))));
            assertThat("warm", registry.pool("llm").servers().get(0).warmupState().isCold(nowMs), is(false));
        }
    }

    /**
     * Guards against overloading cold servers: servers may have become cold shortly before the end of an evacuation, before
     * their heartbeats report it.
     */
    @Test
    void serversOfAFormerlyEvacuatedZoneAreAssumedCold() {
        reportSession(1, "s1", "llm", SessionRecord.Phase.READY);
        Server server = registry.pool("llm").servers().get(0);
        registry.setEvacuatedZones(List.of("a"));
        registry.setEvacuatedZones(List.of());
        long nowMs = System.nanoTime() / 1_000_000;
        assertThat(server.warmupState().isCold(nowMs), is(true));
        assertThat(server.warmupState().isCold(nowMs + 3_300), is(true));
        assertThat(server.warmupState().isCold(nowMs + 3_600), is(false));
        registry.setEvacuatedZones(List.of("b"));
        registry.setEvacuatedZones(List.of());
        assertThat("another zone", server.warmupState().isCold(nowMs + 3_600), is(false));
    }
}
