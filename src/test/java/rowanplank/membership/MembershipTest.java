package rowanplank.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import rowanplank.membership.MemberUpdate.State;

/** Nodes that tell each other who lives, on a network whose ways can be cut one by one; a step is 10 ms. */
class MembershipTest {
    private static final Instant ZERO = Instant.parse("2026-01-01T00:00:00Z");
    private static final Duration PERIOD = Duration.ofMillis(200);

    private record Sent(String from, String to, GossipMessage note) { }

    private final Map<String, Membership> nodes = new TreeMap<>();
    private final TreeSet<String> cut = new TreeSet<>();
    private final TreeSet<String> still = new TreeSet<>();
    private final List<String> told = new ArrayList<>();
    private List<Sent> under = new ArrayList<>();
    private Instant now = ZERO;

    private void start(int count) {
        for (int n = 1; n <= count; n++) {
            start("n" + n, 100, "n1");
        }
    }

    private void start(String name, long incarnation, String known) {
        start(name, name, incarnation, known);
    }

    private void start(String name, String address, long incarnation, String known) {
        nodes.put(address, new Membership(new Membership.Settings(name, address, incarnation, Map.of(known, known),
                PERIOD, address.hashCode()), now, new Membership.Actions() {
                    @Override
                    public void send(String to, GossipMessage note) {
                        under.add(new Sent(address, to, note));
                    }

                    @Override
                    public void memberChanged(MemberUpdate news) {
                        told.add(address + ": " + news.name() + " " + news.state());
                    }

                    @Override
                    public void duplicateName(String other) {
                        told.add(address + ": twin at " + other);
                    }
                }));
    }

    private void run(int ms) {
        for (int step = 0; step < ms / 10; step++) {
            now = now.plusMillis(10);
            List<Sent> arrived = under;
            under = new ArrayList<>();
            for (Sent s : arrived) {
                if (still.contains(s.to())) {
                    under.add(s); // it waits there to be read
                } else if (nodes.containsKey(s.to()) && !cut.contains(s.from() + " " + s.to())) {
                    String from = nodes.get(s.from()) == null ? s.from() : nodes.get(s.from()).self().name();
                    nodes.get(s.to()).onMessage(now, from, s.from(), s.note());
                }
            }
            nodes.forEach((name, node) -> {
                if (!still.contains(name) && !now.isBefore(node.due())) {
                    node.onTime(now);
                }
            });
        }
    }

    private State state(String viewer, String name) {
        return nodes.get(viewer).members().stream().filter(m -> m.update().name().equals(name))
                .map(m -> m.update().state()).findFirst().orElse(null);
    }

    private void allSee(State state, String name) {
        nodes.keySet().stream().filter(v -> !v.equals(name)).forEach(v -> assertEquals(state, state(v, name), v));
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 7, 40})
    void allFindEachOtherFromOne(int count) {
        start(count);
        run(3000);
        nodes.keySet().forEach(n -> allSee(State.ALIVE, n));
    }

    @Test
    void whoIsSilentIsSuspectedAndThenDead() {
        start(5);
        run(2000);
        nodes.remove("n3");
        run(600);
        assertTrue(nodes.keySet().stream().anyMatch(v -> state(v, "n3") == State.SUSPECT));
        run(4000);
        allSee(State.DEAD, "n3");
    }

    /** Guards against a cut between two taken for a death: others still reach both. */
    @Test
    void whoIsCutOffFromOneOnlyStaysAlive() {
        start(5);
        run(2000);
        told.clear();
        cut.addAll(List.of("n2 n3", "n3 n2", "n4 n3"));
        run(10_000);
        assertEquals(List.of(), told.stream().filter(t -> t.contains("DEAD")).toList());
        assertEquals(State.ALIVE, state("n1", "n3"));
    }

    /** Guards against a node that was away itself, and blames all others for its own silence. */
    @Test
    void whoStoodStillBlamesNobodyAndIsBack() {
        start(5);
        run(2000);
        told.clear();
        still.add("n2");
        run(700);
        still.clear();
        run(3000);
        assertEquals(List.of(), told.stream().filter(t -> t.startsWith("n2") && !t.contains("ALIVE")).toList());
        allSee(State.ALIVE, "n2");
        assertEquals(List.of(), told.stream().filter(t -> t.contains("DEAD")).toList());
    }

    @Test
    void partsFindTogetherAgain() {
        start(6);
        run(2000);
        for (String a : List.of("n1", "n2", "n3")) {
            for (String b : List.of("n4", "n5", "n6")) {
                cut.add(a + " " + b);
                cut.add(b + " " + a);
            }
        }
        run(8000);
        assertEquals(State.DEAD, state("n1", "n5"));
        assertEquals(State.DEAD, state("n5", "n1"));
        cut.clear();
        run(3000);
        nodes.keySet().forEach(n -> allSee(State.ALIVE, n));
    }

    @Test
    void aNodeThatLivesMayServeOrNot() {
        start(4);
        run(2000);
        nodes.get("n4").setServing(true);
        run(1000);
        for (String viewer : List.of("n1", "n2", "n3")) {
            assertTrue(nodes.get(viewer).members().stream().anyMatch(m -> m.update().name().equals("n4") && m.update().serves()));
        }
        nodes.get("n4").leave();
        nodes.remove("n4");
        run(500);
        allSee(State.LEFT, "n4");
    }

    /** Guards a name that two processes have: each hears of the other. */
    /** Found by the trial of the order of work, 5 nodes, seed 153: whoever came back was thought not to serve, for good. */
    @Test
    void whatAnEarlierProcessSaidUnderTheSameNumberDoesNotStand() {
        start(3);
        nodes.get("n2").setServing(true);
        nodes.get("n2").setServing(false);
        run(2000);
        start("n2", 101, "n1");
        nodes.get("n2").setServing(true);
        run(3000);
        assertTrue(nodes.get("n1").members().stream().anyMatch(m -> m.update().name().equals("n2") && m.update().serves()));
    }

    @Test
    void twinsAreNoticed() {
        start(3);
        run(1000);
        start("n2", "n2b", 200, "n1");
        run(2000);
        assertTrue(told.contains("n2: twin at n2b"), told::toString);
    }

    /** A restart is news of its own, however dead its node was thought to be. */
    @Test
    void aRestartIsBelieved() {
        start(3);
        run(2000);
        nodes.remove("n3");
        run(6000);
        assertEquals(State.DEAD, state("n1", "n3"));
        start("n3", 200, "n1");
        run(1000);
        allSee(State.ALIVE, "n3");
        assertFalse(told.contains("n3: twin at n3"));
    }
}
