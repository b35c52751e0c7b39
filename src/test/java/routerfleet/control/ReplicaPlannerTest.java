package routerfleet.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests which replicas the leader of the configuration shard plans as voters. */
class ReplicaPlannerTest {
    private static final String SELF = "10.0.0.1/0";
    private static final String SECOND = "10.0.0.2/0";
    private static final String SECOND_WIPED = "10.0.0.2/77";
    private static final String THIRD = "10.0.0.3/0";
    private static final String FOURTH = "10.0.0.4/4";
    private static final String FIFTH = "10.0.0.5/5";
    private static final List<String> THREE = List.of(SELF, SECOND, THIRD);
    private static final List<String> FIVE = List.of(SELF, SECOND, THIRD, FOURTH, FIFTH);

    /** A view of the control nodes that a test defines. */
    private static final class Nodes implements ReplicaPlanner.ClusterView {
        private final List<String> connected;
        private final Map<String, Long> disconnected = new HashMap<>();
        private final Set<String> leaving = new HashSet<>();
        private final Set<String> behind = new HashSet<>();
        private final Map<String, String> zones = new HashMap<>();

        Nodes(String... connected) {
            this.connected = List.of(connected);
        }

        Nodes down(String replica, long disconnectedMs) {
            disconnected.put(ReplicaNames.ip(replica), disconnectedMs);
            return this;
        }

        Nodes leaving(String replica) {
            leaving.add(replica);
            return this;
        }

        Nodes behind(String replica) {
            behind.add(replica);
            return this;
        }

        Nodes in(String zone, String... replicas) {
            for (String replica : replicas) {
                zones.put(ReplicaNames.ip(replica), zone);
            }
            return this;
        }

        @Override
        public String zone(String ip) {
            return zones.get(ip);
        }

        @Override
        public List<String> connectedReplicas() {
            return connected;
        }

        @Override
        public boolean isCaughtUp(String replica) {
            return !behind.contains(replica);
        }

        @Override
        public boolean isLeaving(String replica) {
            return leaving.contains(replica);
        }

        @Override
        public long disconnectedMs(String ip) {
            return disconnected.getOrDefault(ip, 0L);
        }
    }

    private static List<String> next(int tolerated, List<String> replicas, Nodes nodes) {
        return new ReplicaPlanner(SELF, tolerated, 1).planMembers(replicas, nodes);
    }

    private static List<String> replaced(List<String> replicas, String old, String successor) {
        List<String> changed = new ArrayList<>(replicas);
        changed.set(changed.indexOf(old), successor);
        return changed;
    }

    /** Guards acknowledged entries: a smaller group would store them on no more disks than may be lost. */
    @Test
    void aDisconnectedMemberIsNotRemovedWithoutASuccessor() {
        assertThat(next(1, THREE, new Nodes(THIRD).down(SECOND, 600_000)), is(THREE));
        assertThat(next(2, FIVE, new Nodes(FOURTH, FIFTH).down(SECOND, 600_000).down(THIRD, 600_000)), is(FIVE));
        assertThat(next(1, FIVE, new Nodes(FOURTH, FIFTH).down(SECOND, 600_000).down(THIRD, 600_000)), is(FIVE));
    }

    /** Guards against a second loss during a replacement: the old and the new member are exchanged in one step. */
    @Test
    void aDisconnectedMemberIsReplacedByALearnerInOneStep() {
        Nodes nodes = new Nodes(THIRD, FOURTH).down(SECOND, ReplicaPlanner.REPLACE_AFTER_MS);
        assertThat(next(1, THREE, nodes), is(replaced(THREE, SECOND, FOURTH)));
    }

    @Test
    void aBrieflyDisconnectedMemberIsNotReplaced() {
        Nodes nodes = new Nodes(THIRD, FOURTH).down(SECOND, ReplicaPlanner.REPLACE_AFTER_MS - 1);
        assertThat(next(1, THREE, nodes), is(THREE));
    }

    /** Guards the only copy of an entry: a learner that has not caught up is no successor. */
    @Test
    void noMemberIsReplacedBeforeASuccessorHasCaughtUp() {
        Nodes nodes = new Nodes(THIRD, FOURTH).down(SECOND, 60_000).behind(FOURTH);
        assertThat(next(1, THREE, nodes), is(THREE));
        assertThat(next(1, THREE, new Nodes(SECOND, THIRD, FOURTH).leaving(SECOND).behind(FOURTH)), is(THREE));
        assertThat(next(1, THREE, new Nodes(SECOND_WIPED, THIRD).behind(SECOND_WIPED)), is(THREE));
    }

    @Test
    void aNodeWithAnEmptyDiskReplacesItsFormerReplica() {
        assertThat(next(1, THREE, new Nodes(SECOND_WIPED, THIRD)), is(replaced(THREE, SECOND, SECOND_WIPED)));
    }

    /** Guards against a member that no longer exists but counts for ever: an earlier replica of the leader's own node. */
    @Test
    void anEarlierReplicaOfTheLeadersNodeIsReplaced() {
        List<String> replicas = List.of(SELF, THIRD, "10.0.0.1/11");
        assertThat(next(1, replicas, new Nodes(THIRD, FOURTH)), is(List.of(SELF, THIRD, FOURTH)));
    }

    /**
     * Guards against a lost majority: a disk that is certainly lost is replaced before a node that is only disconnected.
     */
    @Test
    void aLostDiskIsReplacedBeforeADisconnectedNode() {
        Nodes nodes = new Nodes(SECOND_WIPED, FOURTH).behind(SECOND_WIPED).down(THIRD, 60_000);
        assertThat(next(1, THREE, nodes), is(replaced(THREE, SECOND, FOURTH)));
    }

    /** Guards planned replacements: the successor is a member before the old node stops. */
    @Test
    void aLeavingMemberIsReplacedAtOnce() {
        Nodes nodes = new Nodes(SECOND, THIRD, FOURTH).leaving(SECOND);
        assertThat(next(1, THREE, nodes), is(replaced(THREE, SECOND, FOURTH)));
        assertThat(next(1, THREE, new Nodes(SECOND, THIRD).leaving(SECOND)), is(THREE));
        assertThat(next(1, THREE, new Nodes(SECOND, THIRD, FOURTH).leaving(FOURTH)), is(THREE));
    }

    /** Guards groups that have grown: a member that leaves for good must no longer count towards the majority. */
    @Test
    void aLeavingMemberOfALargerGroupThanNeededIsRemovedWithoutASuccessor() {
        Nodes nodes = new Nodes(SECOND, THIRD, FOURTH, FIFTH).leaving(SECOND);
        assertThat(next(1, FIVE, nodes), is(List.of(SELF, THIRD, FOURTH, FIFTH)));
        assertThat(next(2, FIVE, nodes), is(FIVE));
    }

    /**
     * Guards against members that are lost for good but count for ever, as replacements may connect before a loss is
     * detected.
     */
    @Test
    void aGroupThatIsLargeEnoughDoesNotGrow() {
        assertThat(next(1, THREE, new Nodes(SECOND, THIRD, FOURTH)), is(THREE));
        assertThat(next(1, THREE, new Nodes(SECOND, THIRD, FOURTH, FIFTH)), is(THREE));
        List<String> four = List.of(SELF, SECOND, THIRD, FOURTH);
        assertThat(next(2, four, new Nodes(SECOND, THIRD, FOURTH, FIFTH)), is(FIVE));
    }

    /** Guards fleets with more tolerated losses than usual: the group grows to the required size. */
    @Test
    void theGroupGrowsToTheSizeForTheToleratedLosses() {
        List<String> replicas = List.of(SELF);
        String[] others = new String[12];
        for (int i = 0; i < others.length; i++) {
            others[i] = "10.0.1." + i + "/0";
        }
        for (int i = 0; i < 20; i++) {
            replicas = next(4, replicas, new Nodes(others));
        }
        assertThat(replicas.size(), is(9));
    }

    /**
     * Whichever nodes are connected, wiped, behind or leaving: a group of sufficient size keeps it, and keeps its leader.
     */
    /** Guards the first acknowledgement: a group that grows one by one takes twice as long until it may give it. */
    @Test
    void theGroupGrowsInOneStepWhenTheOtherLearnersAreAboutToCatchUp() {
        ReplicaPlanner planner = new ReplicaPlanner(SELF, 2, 0);
        assertThat(planner.planMembers(THREE, new Nodes(SECOND, THIRD, FOURTH, FIFTH).behind(FIFTH)), is(THREE));
        assertThat(planner.planMembers(THREE, new Nodes(SECOND, THIRD, FOURTH, FIFTH)), is(FIVE));
        assertThat(planner.planMembers(THREE, new Nodes(SECOND, THIRD, FOURTH)), is(List.of(SELF, SECOND, THIRD, FOURTH)));
    }

    @Test
    void noStateOfTheNodesMakesTheGroupSmallerThanRequired() {
        Random random = new Random(4711);
        for (int run = 0; run < 20_000; run++) {
            int tolerated = 1 + random.nextInt(3);
            int wanted = 2 * tolerated + 1;
            List<String> replicas = new ArrayList<>(List.of(SELF));
            List<String> connected = new ArrayList<>();
            for (int i = 2; i <= wanted + random.nextInt(3) || replicas.size() < wanted; i++) {
                replicas.add("10.0.0." + i + "/0");
            }
            for (int i = 2; i <= 10; i++) {
                if (random.nextBoolean()) {
                    connected.add("10.0.0." + i + "/" + (random.nextInt(4) == 0 ? 1 : 0));
                }
            }
            Nodes nodes = new Nodes(connected.toArray(String[]::new));
            for (int i = 2; i <= 10; i++) {
                String replica = "10.0.0." + i + "/0";
                nodes.down(replica, random.nextInt(3) * 1_000L);
                if (random.nextInt(4) == 0) {
                    nodes.leaving(replica);
                }
                if (random.nextInt(4) == 0) {
                    nodes.behind(replica).behind("10.0.0." + i + "/1");
                }
            }
            List<String> next = next(tolerated, replicas, nodes);
            assertThat(next.size() >= wanted, is(true));
            assertThat(next.contains(SELF), is(true));
            assertThat(new HashSet<>(next).size(), is(next.size()));
            next.stream().filter(r -> !replicas.contains(r)).forEach(r -> assertThat(nodes.isCaughtUp(r), is(true)));
        }
    }

    /** Guards the majority against the loss of a zone, since all seeds of a fleet may be in the same zone. */
    @Test
    void noZoneKeepsAMajorityIfAnotherZoneHasALearner() {
        Nodes nodes = new Nodes(SECOND, THIRD, FOURTH, FIFTH).in("a", SELF, SECOND, THIRD).in("b", FOURTH, FIFTH);
        List<String> once = next(1, THREE, nodes);
        assertThat(once, is(replaced(THREE, SECOND, FOURTH)));
        assertThat("two zones don't allow more", next(1, once, nodes), is(once));
        Nodes three = new Nodes(SECOND, THIRD, FOURTH, FIFTH).in("a", SELF, SECOND, THIRD).in("b", FOURTH).in("c", FIFTH);
        assertThat(next(1, once, three), is(List.of(SELF, FOURTH, FIFTH)));
        assertThat(next(1, THREE, nodes.behind(FOURTH).behind(FIFTH)), is(THREE));
    }

    /** Guards the spread over zones: a vacancy goes to the zone with the fewest members. */
    @Test
    void aVacancyGoesToTheZoneWithTheFewestMembers() {
        Nodes nodes = new Nodes(THIRD, FOURTH, FIFTH).down(SECOND, 60_000).in("a", SELF, FOURTH).in("b", SECOND)
                .in("c", THIRD, FIFTH).in("b", FIFTH);
        assertThat(next(1, THREE, nodes), is(replaced(THREE, SECOND, FIFTH)));
    }

    /** Guards sufficiently spread groups against needless changes. */
    @Test
    void aGroupThatToleratesTheLossOfAnyZoneStaysAsItIs() {
        Nodes nodes = new Nodes(SECOND, THIRD, FOURTH, FIFTH, "10.0.0.6/6").in("a", SELF, SECOND).in("b", THIRD, FOURTH)
                .in("c", FIFTH).in("d", "10.0.0.6/6");
        assertThat(next(2, FIVE, nodes), is(FIVE));
    }
}
