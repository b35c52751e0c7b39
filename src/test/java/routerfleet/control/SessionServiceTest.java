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

/** What a control node tells another one that it holds. */
class SessionServiceTest {
    private final PeerCodec codec = new PeerCodec();
    private final VirtualProcess process = new VirtualProcess(new VirtualWorld(), 0, () -> { });
    private final SessionTable table = new SessionTable(1_000);
    private final Deque<Runnable> disk = new ArrayDeque<>();
    private boolean dataNodesAreThere = true;
    private final ControlPeers peers = new ControlPeers("10.0.0.1", 7_001);
    private final SessionService service = new SessionService(process, table, peers,
            holders -> holders.size() > 1 && peers.spanZones(holders, "a", 2), () -> dataNodesAreThere, () -> { }, disk::add);
    private final List<PeerMessage> sent = new ArrayList<>();
    private final PeerLink link = new PeerLink(codec, process, LinkTiming.CONTROL, new Unheard(), new Wire());

    /** Keeps what is sent. */
    private final class Wire implements PeerLink.Carrier {
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
            // nothing to give back
        }
    }

    /** Nothing comes in here. */
    private static final class Unheard implements PeerLink.Listener {
        @Override
        public void opened(PeerLink opened) {
            // nobody waits for it
        }

        @Override
        public void received(PeerLink from, PeerMessage message) {
            // nothing comes
        }

        @Override
        public void closed(PeerLink closed) {
            // nobody waits for it
        }
    }

    /** Connects to nobody. */
    private static final class NoNetwork implements PeerNetwork {
        @Override
        public Connection connect(HostPort address, LinkTiming timing, PeerLink.Listener listener, Runnable ended) {
            return () -> { };
        }

        @Override
        public Listener listen(HostPort address, LinkTiming timing, Supplier<PeerLink.Listener> listeners) {
            throw new UnsupportedOperationException("nobody listens");
        }
    }

    private static SessionRecord server(String uid, SessionRecord.Phase phase) {
        return new SessionRecord(uid, "llm", "10.0.0.9:80", "a", 12, phase, 9, 0);
    }

    /** Guards what was acknowledged against a loss of power for all. */
    @Test
    void anEndIsToldAsHeldOnceItIsOnDisk() {
        service.received(link, new PeerMessage.Sessions(7, List.of(server("a", SessionRecord.Phase.DRAINING))));
        assertThat(sent, empty());
        disk.poll().run();
        assertThat(sent, contains(new PeerMessage.SessionsAck(7)));
    }

    /** Guards an acknowledgement that would rest on a table with no room for it. */
    @Test
    void whatAFullTableDoesNotTakeIsNotToldAsHeld() {
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

    /** Guards the servers of a side that is cut off: data nodes there would lose them all. */
    @Test
    void heartbeatsOfReadyServersAreTakenWhereTooFewControlNodesAreConnected() {
        assertThat(heartbeat("a", "ready"), is(200));
        assertThat(table.find("a").phase(), is(SessionRecord.Phase.READY));
    }

    /** Guards DRAIN: what one side alone knows of an end is no promise. */
    @Test
    void noEndIsAcknowledgedWhereTooFewControlNodesAreConnected() {
        heartbeat("a", "ready");
        assertThat(heartbeat("a", "draining"), is(503));
        assertThat(heartbeat("a", "ready"), is(503));
    }

    /** Guards servers against staying with a control node that can tell nobody of them. */
    @Test
    void aControlNodeThatReachesNobodySendsServersOn() {
        dataNodesAreThere = false;
        assertThat(heartbeat("a", "ready"), is(503));
        assertThat(table.find("a").phase(), is(SessionRecord.Phase.READY));
    }

    private void introduce(String ip, String zone) {
        peers.onHello(new PeerLink(codec, process, LinkTiming.CONTROL, new Unheard(), new Wire()),
                new PeerMessage.ControlHello("core", ip, zone, ip + "/0", List.of()), process.nanoTime());
        peers.outgoingOpened(ip, link);
    }

    /** Guards DRAIN against the loss of a zone: copies in one zone are lost together. */
    @Test
    void anEndIsAcknowledgedOnlyOnceItIsHeldInMoreZonesThanMayBeLost() {
        peers.start(new PeerDialer(process, new NoNetwork(), LinkTiming.CONTROL, address -> new Unheard()));
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

    /** Guards acknowledgements where a disk hangs: those of enough others will do. */
    @Test
    void anEndThatEnoughOthersHoldIsAcknowledgedWithoutTheDiskHere() {
        peers.start(new PeerDialer(process, new NoNetwork(), LinkTiming.CONTROL, address -> new Unheard()));
        introduce("10.0.0.2", "a");
        introduce("10.0.0.3", "b");
        List<Integer> statuses = new ArrayList<>();
        service.deregister("a", response -> statuses.add(response.status()));
        service.acknowledged(1, "10.0.0.2");
        service.acknowledged(1, "10.0.0.3");
        assertThat(statuses, contains(200));
    }
}
