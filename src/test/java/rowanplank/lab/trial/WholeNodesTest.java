package rowanplank.lab.trial;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import rowanplank.config.FleetConfig;
import rowanplank.fleet.wire.VoterFileCodec;

/** Whole nodes in virtual time whose files do not fit each other: names, fleets, and what is told anew. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class WholeNodesTest {
    private static final Duration SESSION = Duration.ofSeconds(3);

    private final VirtualFleet fleet = new VirtualFleet(5);

    private static FleetConfig config(String fleet, String name, int place, Duration election, String... leases) {
        return new FleetConfig(fleet, name, VirtualFleet.at(place), VirtualFleet.at(place), VirtualFleet.voters(3), new TreeMap<>(), new TreeMap<>(), name,
                new FleetConfig.Timing(election, Duration.ofMillis(75), 0.01, SESSION, Duration.ofMillis(200), 1024),
                Stream.of(leases).map(l -> new FleetConfig.Lease(l, Duration.ofSeconds(1))).toList(), List.of(), null);
    }

    private static FleetConfig config(String fleet, String name, int place, String... leases) {
        return config(fleet, name, place, Duration.ofMillis(300), leases);
    }

    private static byte[] state(String fleet, String name) {
        return VoterFileCodec.create(fleet, name, List.of("n1", "n2", "n3")).bytes();
    }

    private List<VirtualFleet.Node> press(String... leases) {
        return Stream.of(1, 2, 3).map(n -> fleet.start(config("press", "n" + n, n, leases), state("press", "n" + n))).toList();
    }

    /** Guards what rests on one voter of a name: both step aside within a session's length and some probes, and the others go on. */
    @Test
    void twinsOfAVoterStepAside() {
        List<VirtualFleet.Node> press = press("nightly");
        fleet.pass(Duration.ofSeconds(3));
        VirtualFleet.Node twin = fleet.start(config("press", "n2", 9, "nightly"), state("press", "n2"));
        fleet.pass(SESSION.multipliedBy(2));
        for (VirtualFleet.Node n : List.of(press.get(1), twin)) {
            assertTrue(n.status().getString("halted", "").startsWith("another process calls itself n2"), n.status()::toString);
        }
        for (VirtualFleet.Node n : List.of(press.get(0), press.get(2))) {
            assertNull(n.status().get("halted"), n.status()::toString);
        }
        fleet.pass(Duration.ofSeconds(5));
        assertTrue(press.get(0).status().getString("role", "").equals("leader")
                || press.get(2).status().getString("role", "").equals("leader"));
        assertEquals(1, Stream.concat(press.stream(), Stream.of(twin)).filter(n -> n.holds("nightly")).count());
    }

    /** Guards what staff see at a node that does not vote: whom it asks, and whether a leader has answered it at all. */
    @Test
    void aNodeThatDoesNotVoteTellsWhatItKnowsOfTheLeader() {
        VirtualFleet.Node client = fleet.start(config("press", "n4", 4, "nightly"), null);
        fleet.pass(Duration.ofSeconds(2));
        assertNull(client.status().get("answered_ms"), client.status()::toString);
        List<VirtualFleet.Node> press = press();
        fleet.pass(Duration.ofSeconds(5));
        String leader = press.stream().filter(n -> n.status().getString("role", "").equals("leader")).findFirst().orElseThrow()
                .status().getString("node", "");
        assertEquals(leader, client.status().getString("asks", ""));
        assertTrue(client.status().getLong("answered_ms", -1) >= 0, client.status()::toString);
        assertTrue(client.holds("nightly"));
        fleet.pass(Duration.ofMillis(100));
        press.forEach(VirtualFleet.Node::kill);
        fleet.pass(Duration.ofSeconds(5));
        assertTrue(client.status().getLong("answered_ms", 0) > 4500, client.status()::toString);
    }

    /** Guards a voter that staff started twice by mistake, for a moment and another day again: it is no twin that stays. */
    @Test
    void twinsThatWereEndedSoonHaltNobody() {
        List<VirtualFleet.Node> press = press("nightly");
        fleet.pass(Duration.ofSeconds(3));
        for (int day = 0; day < 3; day++) {
            VirtualFleet.Node twin = fleet.start(config("press", "n2", 9, "nightly"), state("press", "n2"));
            fleet.pass(SESSION.dividedBy(2));
            assertNotNull(press.get(1).status().get("twin"), press.get(1).status()::toString);
            twin.kill();
            fleet.pass(SESSION.multipliedBy(4));
            press.forEach(n -> assertNull(n.status().get("halted"), n.status()::toString));
        }
        assertEquals(1, press.stream().filter(n -> n.holds("nightly")).count());
    }

    /** Guards the goal for a fleet at rest, whatever its size; and that all hear of a death. */
    @ParameterizedTest
    @ValueSource(ints = {5, 20, 100})
    void atRestANodeSendsLittle(int nodes) {
        VirtualFleet.Rest rest = VirtualFleet.rest(nodes, 1, Duration.ofSeconds(20), Duration.ofSeconds(4));
        assertTrue(rest.perNode() < 2000 && rest.mostOther() < 2000, rest::toString);
        assertTrue(rest.leader() > rest.mostOther() && rest.leader() < 2000 + 200.0 * nodes, rest::toString);
        assertTrue(rest.knownMs() < 30_000, rest::toString);
    }

    /** Guards a fleet against another one's nodes that were given its addresses: neither datagrams nor state count. */
    @Test
    void aVoterOfAnotherFleetIsNotHeard() {
        List<VirtualFleet.Node> press = press("nightly");
        fleet.pass(Duration.ofSeconds(3));
        String before = press.get(0).status().get("term").toString();
        VirtualFleet.Node other = fleet.start(config("other", "n2", 9, "nightly"), state("other", "n2"));
        VirtualFleet.Node wrong = fleet.start(config("press", "n3", 10), state("other", "n3"));
        fleet.pass(Duration.ofSeconds(20));
        assertEquals("the state in n3 can't be used: of node n3 in fleet other", wrong.failed());
        for (VirtualFleet.Node n : press) {
            assertTrue(n == press.get(1) || n.status().getLong("datagrams_dropped", 0) > 10, n.status()::toString);
            assertEquals(before, n.status().get("term").toString());
            assertNull(n.status().get("twin"));
        }
        assertEquals(0, other.status().get("holds").asArray().size());
        assertEquals("", other.status().getString("leader", ""));
        assertTrue(fleet.lines().stream().filter(l -> l.contains("was dropped")).count() <= 3 * 3, "each is not a line");
    }

    /** Guards against a file that is taken up by half: where one thing can't be, nothing is, nowhere. */
    @Test
    void aFileThatCantBeTakenUpChangesNothing() {
        List<VirtualFleet.Node> press = press("nightly");
        fleet.pass(Duration.ofSeconds(3));
        Map<VirtualFleet.Node, String> told = new LinkedHashMap<>();
        for (int n = 1; n <= 3; n++) {
            VirtualFleet.Node node = press.get(n - 1);
            FleetConfig fresh = config("press", "n" + n, n, Duration.ofMillis(500), "other");
            node.reload(fresh, what -> told.put(node, what));
        }
        fleet.pass(Duration.ofSeconds(10));
        assertEquals(3, told.size());
        told.forEach((node, what) -> assertTrue(what.contains("election"), what));
        assertEquals(1, press.stream().filter(n -> n.holds("nightly")).count());
        assertEquals(0, press.stream().filter(n -> n.holds("other")).count());
        assertFalse(fleet.lines().stream().anyMatch(l -> l.contains("lease other")), fleet.lines()::toString);
        press.forEach(n -> n.reload(config("press", n.status().getString("node", ""), press.indexOf(n) + 1, "other"),
                what -> told.put(n, what)));
        fleet.pass(Duration.ofSeconds(10));
        told.forEach((node, what) -> assertNull(what));
        assertEquals(0, press.stream().filter(n -> n.holds("nightly")).count());
        assertEquals(1, press.stream().filter(n -> n.holds("other")).count());
    }
}
