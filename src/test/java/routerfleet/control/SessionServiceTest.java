package routerfleet.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;
import routerfleet.settings.HostPort;
import routerfleet.simulation.VirtualProcess;
import routerfleet.simulation.VirtualWorld;
import routerfleet.wire.LinkTiming;
import routerfleet.wire.PeerCodec;
import routerfleet.wire.PeerDialer;
import routerfleet.wire.PeerLink;
import routerfleet.wire.PeerMessage;
import routerfleet.wire.PeerNetwork;
import routerfleet.wire.SessionRecord;

/** Acknowledgement of heartbeats and of sessions from other control nodes. */
class SessionServiceTest {
    private final PeerCodec codec = new PeerCodec();
    private final VirtualProcess process = new VirtualProcess(new VirtualWorld(), 0, () -> { });
    private final SessionTable table = new SessionTable(1_000);
    private final Deque<Runnable> disk = new ArrayDeque<>();
    private boolean dataNodesPresent = true;
    private final ControlPeers peers = new ControlPeers("10.0.0.1", 7_001);
    private final SessionService service = new SessionService(process, table, peers,
            holders -> holders.size() > 1 && peers.spanZones(holders, "a", 2), () -> dataNodesPresent, () -> { },
            disk::add);
    private final List<PeerMessage> sent = new ArrayList<>();
    private final PeerLink link = new PeerLink(codec, process, LinkTiming.CONTROL, new IgnoringListener(),
            new RecordingCarrier());

    /** Records sent messages. */
    private final class RecordingCarrier implements PeerLink.Carrier {
        @Override
        public boolean isOpen() {
            return true;
        }

        @Override
        public long waitingBytes() {
            return 0;
        }

        @Override
        public void write(byte[] message) {
            try {
                sent.add(codec.decode(message, PeerMessage.class));
            } catch (PeerCodec.MalformedMessageException e) {
                throw new AssertionError(e);
            }
        }

        @Override
        public void close() {
            // nothing to release
        }
    }

    /** Ignores events of a connection. */
    private static final class IgnoringListener implements PeerLink.Listener {
        @Override
        public void opened(PeerLink opened) {
            // ignored
        }

        @Override
        public void received(PeerLink from, PeerMessage message) {
            // ignored
        }

        @Override
        public void closed(PeerLink closed) {
            // ignored
        }
    }

    /** A network without other nodes. */
    private static final class NoNetwork implements PeerNetwork {
        @Override
        public Connection connect(HostPort address, LinkTiming timing, PeerLink.Listener listener, Runnable ended) {
            return () -> { };
        }

        @Override
        public Listener listen(HostPort address, LinkTiming timing, Supplier<PeerLink.Listener> listeners) {
            throw new UnsupportedOperationException("no listening in this test");
        }
    }

    private static SessionRecord server(String uid, SessionRecord.Phase phase) {
        return new SessionRecord(uid, "llm", "10.0.0.9:80", "a", 12, phase, 9, 0);
    }

    /** Guards against acknowledging an end that a power loss at all nodes could undo. */
    @Test
    void anEndIsAcknowledgedOnceItIsOnDisk() {
        service.received(link, new PeerMessage.Sessions(7, List.of(server("a", SessionRecord.Phase.DRAINING))));
        assertThat(sent, empty());
        disk.poll().run();
        assertThat(sent, contains(new PeerMessage.SessionsAck(7)));
    }

    /** Guards against acknowledging a session for which the table has no space. */
    @Test
    void aSessionThatAFullTableRejectsIsNotAcknowledged() {
        for (int i = 0; i < SessionTable.MAX_SESSIONS; i++) {
            table.merge(server("s" + i, SessionRecord.Phase.READY), 0);
        }
        service.received(link, new PeerMessage.Sessions(7, List.of(server("a", SessionRecord.Phase.GONE))));
        assertThat(disk, empty());
        assertThat(sent, empty());
        service.received(link, new PeerMessage.Sessions(8, List.of(server("s1", SessionRecord.Phase.GONE))));
        disk.poll().run();
        assertThat(sent, contains(new PeerMessage.SessionsAck(8)));
    }

    private int heartbeat(String uid, String phase) {
        String body = "{\"backend\":\"llm\",\"address\":\"10.0.0.9:80\",\"zone\":\"a\",\"generation\":\"v1\","
                + "\"capacity\":12,\"phase\":\"" + phase + "\",\"warmup_left_ms\":0,\"sequence\":10}";
        List<Integer> statuses = new ArrayList<>();
        service.heartbeat(uid, body.getBytes(StandardCharsets.UTF_8), response -> statuses.add(response.status()));
        return statuses.isEmpty() ? 0 : statuses.get(0);
    }

    /**
     * Guards ready servers in a partition: if their heartbeats were refused, the data nodes on that side would lose all
     * of them.
     */
    @Test
    void heartbeatsOfReadyServersAreAcceptedWithTooFewControlNodesConnected() {
        assertThat(heartbeat("a", "ready"), is(200));
        assertThat(table.find("a").phase(), is(SessionRecord.Phase.READY));
    }

    /** Guards the rule DRAIN: an end that only one side of a partition knows must not be acknowledged. */
    @Test
    void noEndIsAcknowledgedWithTooFewControlNodesConnected() {
        heartbeat("a", "ready");
        assertThat(heartbeat("a", "draining"), is(503));
        assertThat(heartbeat("a", "ready"), is(503));
    }

    /** Guards servers against staying with a control node that can pass their heartbeats on to no one. */
    @Test
    void aControlNodeWithoutConnectionsRefusesHeartbeats() {
        dataNodesPresent = false;
        assertThat(heartbeat("a", "ready"), is(503));
        assertThat(table.find("a").phase(), is(SessionRecord.Phase.READY));
    }

    private void introduce(String ip, String zone) {
        peers.onHello(new PeerLink(codec, process, LinkTiming.CONTROL, new IgnoringListener(), new RecordingCarrier()),
                new PeerMessage.ControlHello("core", ip, zone, ip + "/0", List.of()), process.nanoTime());
        peers.outgoingOpened(ip, link);
    }

    /** Guards the rule DRAIN: copies in a single zone could be lost together. */
    @Test
    void anEndIsAcknowledgedOnlyOnceItIsHeldInMoreZonesThanMayBeLost() {
        peers.start(new PeerDialer(process, new NoNetwork(), LinkTiming.CONTROL, address -> new IgnoringListener()));
        introduce("10.0.0.2", "a");
        introduce("10.0.0.3", "b");
        List<Integer> statuses = new ArrayList<>();
        service.deregister("a", response -> statuses.add(response.status()));
        disk.poll().run();
        service.acknowledged(1, "10.0.0.2");
        assertThat(statuses, empty());
        service.acknowledged(1, "10.0.0.3");
        assertThat(statuses, contains(200));
    }

    /** Guards acknowledgements while this node's disk hangs: copies at enough other nodes suffice. */
    @Test
    void anEndThatEnoughOthersHoldIsAcknowledgedWithoutTheDiskHere() {
        peers.start(new PeerDialer(process, new NoNetwork(), LinkTiming.CONTROL, address -> new IgnoringListener()));
        introduce("10.0.0.2", "a");
        introduce("10.0.0.3", "b");
        List<Integer> statuses = new ArrayList<>();
        service.deregister("a", response -> statuses.add(response.status()));
        service.acknowledged(1, "10.0.0.2");
        service.acknowledged(1, "10.0.0.3");
        assertThat(statuses, contains(200));
    }
}
