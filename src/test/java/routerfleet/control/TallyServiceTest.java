package routerfleet.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import routerfleet.journal.JournalEntry;
import routerfleet.journal.JournalVector;
import routerfleet.journal.Origin;
import routerfleet.settings.Bounds;
import routerfleet.settings.LocalSettings;
import routerfleet.simulation.VirtualProcess;
import routerfleet.simulation.VirtualWorld;
import routerfleet.wire.LinkTiming;
import routerfleet.wire.PeerCodec;
import routerfleet.wire.PeerLink;
import routerfleet.wire.PeerMessage;

/** Exchange of tally entries between control nodes. */
class TallyServiceTest {
    private static final Origin OTHER = new Origin("10.0.0.2", 5);
    private static final Origin SELF = new Origin("10.0.0.1", 7);

    private final PeerCodec codec = new PeerCodec();
    private final VirtualWorld world = new VirtualWorld();
    private final VirtualProcess process = new VirtualProcess(world, -1_000_000_000_000L, () -> { });
    private final List<PeerMessage> sent = new ArrayList<>();
    private final PeerLink link = new PeerLink(codec, process, LinkTiming.CONTROL, null, new RecordingCarrier());
    private final ControlPeers peers = new ControlPeers("10.0.0.1", 7_001);
    private final TallyService service = new TallyService(settings(), process, peers,
            new TallyStorage(new SimulatedDisk(new Random(1), false, false), new SimulatedDisk.Writer(world, process),
                    process), TallyLimits.DEFAULT, new ControlServiceFactory(1).tallyReach(settings(), peers));

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

    private static LocalSettings settings() {
        return new LocalSettings("core-1", "10.0.0.1", "a", null, null, null, 7_000, List.of(), false, Path.of("/"), 400,
                2, 1, Set.of("a"), Bounds.defaults());
    }

    private static JournalEntry entry(long number) {
        return new JournalEntry(OTHER, number, "t", "u" + number, 1);
    }

    private static JournalVector vector(Origin origin, long upTo) {
        return new JournalVector(new TreeMap<>(Map.of(origin, upTo)));
    }

    private void receive(long... numbers) {
        List<JournalEntry> entries = new ArrayList<>();
        for (long number : numbers) {
            entries.add(entry(number));
        }
        service.received(link, new PeerMessage.TallyEntries(entries, false, false, true));
        world.runUntilMs(world.nowMs() + 10);
    }

    @BeforeEach
    void begin() throws Exception {
        service.load(SELF.life());
        service.start();
        world.runUntilMs(10);
    }

    /** Guards acknowledgements: adds after a missing one are not delayed until the next regular exchange. */
    @Test
    void entriesMissingBeforeANewOneAreRequestedAtOnce() {
        receive(1);
        sent.clear();
        receive(3);
        assertThat(sent, contains(new PeerMessage.TallyHeld(SELF, OTHER, 1),
                new PeerMessage.TallyVector(SELF, vector(OTHER, 1), true)));
    }

    /**
     * Guards the regular exchange: it sends all entries up to the newest, since otherwise each new one would be reported
     * as following a gap.
     */
    @Test
    void aNodeThatLacksAnEntryGetsAllLaterOnesToo() {
        receive(1, 2);
        world.runUntilMs(world.nowMs() + 600);
        receive(3);
        sent.clear();
        service.received(link, new PeerMessage.TallyVector(OTHER, vector(OTHER, 1), false));
        assertThat(sent, contains(new PeerMessage.TallyEntries(List.of(entry(2), entry(3)), false, false, false)));
    }

    /** Guards the network: an entry that is in transit is not sent twice. */
    @Test
    void anEntryInTransitIsNotSentAgain() {
        receive(1);
        sent.clear();
        service.received(link, new PeerMessage.TallyVector(OTHER, JournalVector.EMPTY, false));
        assertThat(sent.size(), is(0));
    }

    private int read() {
        List<Integer> statuses = new ArrayList<>();
        service.handle(new String[] {"t", "get"}, new ControlHttp.Request("GET", "/rowanplank/tallies/t/get", null,
                new byte[0]), response -> statuses.add(response.status()));
        return statuses.get(0);
    }

    /**
     * Guards the rule LOST: two nodes that lost their disks at the same time must not take each other's empty response as
     * complete.
     */
    @Test
    void theResponseOfAnIncompleteNodeCompletesNoOther() {
        service.received(link, new PeerMessage.TallyEntries(List.of(), false, true, false));
        world.runUntilMs(world.nowMs() + 10);
        assertThat(read(), is(503));
        service.received(link, new PeerMessage.TallyEntries(List.of(entry(1)), false, true, true));
        world.runUntilMs(world.nowMs() + 10);
        assertThat(read(), is(200));
    }

    /** Guards reads: if the request of a node that lacks entries is lost, it is repeated. */
    @Test
    void anIncompleteNodeRepeatsItsRequest() {
        service.received(link, new PeerMessage.TallyVector(OTHER, JournalVector.EMPTY, true));
        sent.clear();
        world.runUntilMs(world.nowMs() + 5_100);
        service.received(link, new PeerMessage.TallyEntries(List.of(), false, true, false));
        assertThat("no other node to wait for", read(), is(200));
    }
}
