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

/** Which replicas the leader of a configuration shard wants in its group. */
class ReplicaPlannerTest {
    private static final String SELF = "10.0.0.1/0";
    private static final String SECOND = "10.0.0.2/0";
    private static final String SECOND_WIPED = "10.0.0.2/77";
    private static final String THIRD = "10.0.0.3/0";
    private static final String FOURTH = "10.0.0.4/4";
    private static final String FIFTH = "10.0.0.5/5";
    private static final List<String> THREE = List.of(SELF, SECOND, THIRD);
    private static final List<String> FIVE = List.of(SELF, SECOND, THIRD, FOURTH, FIFTH);

    /** Control nodes as a test has them. */
    private static final class Nodes implements ReplicaPlanner.ClusterView {
        private final List<String> present;
        private final Map<String, Long> absent = new HashMap<>();
        private final Set<String> leaving = new HashSet<>();
        private final Set<String> behind = new HashSet<>();
        private final Map<String, String> zones = new HashMap<>();

        Nodes(String... present) {
            this.present = List.of(present);
        }

        Nodes gone(String replica, long absentMs) {
            absent.put(ReplicaNames.ip(replica), absentMs);
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
            return present;
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
            return absent.getOrDefault(ip, 0L);
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

    /** Guards what was acknowledged: a thinner group would hold it on fewer disks than may be lost. */
    @Test
    void silenceAloneRemovesNoOne() {
        assertThat(next(1, THREE, new Nodes(THIRD).gone(SECOND, 600_000)), is(THREE));
        assertThat(next(2, FIVE, new Nodes(FOURTH, FIFTH).gone(SECOND, 600_000).gone(THIRD, 600_000)), is(FIVE));
        assertThat(next(1, FIVE, new Nodes(FOURTH, FIFTH).gone(SECOND, 600_000).gone(THIRD, 600_000)), is(FIVE));
    }

    /** Guards against a second loss in between: the old and the new one change places in one step. */
    @Test
    void whatIsGoneGivesWayToANewcomerInOneStep() {
        Nodes nodes = new Nodes(THIRD, FOURTH).gone(SECOND, ReplicaPlanner.REPLACE_AFTER_MS);
        assertThat(next(1, THREE, nodes), is(replaced(THREE, SECOND, FOURTH)));
    }

    @Test
    void whatIsOnlyJustSilentKeepsItsPlace() {
        Nodes nodes = new Nodes(THIRD, FOURTH).gone(SECOND, ReplicaPlanner.REPLACE_AFTER_MS - 1);
        assertThat(next(1, THREE, nodes), is(THREE));
    }

    /** Guards the only copy: who holds less than everything is no successor. */
    @Test
    void noOneGivesWayBeforeASuccessorHoldsAll() {
        Nodes gone = new Nodes(THIRD, FOURTH).gone(SECOND, 60_000).behind(FOURTH);
        assertThat(next(1, THREE, gone), is(THREE));
        assertThat(next(1, THREE, new Nodes(SECOND, THIRD, FOURTH).leaving(SECOND).behind(FOURTH)), is(THREE));
        assertThat(next(1, THREE, new Nodes(SECOND_WIPED, THIRD).behind(SECOND_WIPED)), is(THREE));
    }

    @Test
    void aNodeWithAnEmptyDiskTakesItsOwnPlaceAgain() {
        assertThat(next(1, THREE, new Nodes(SECOND_WIPED, THIRD)), is(replaced(THREE, SECOND, SECOND_WIPED)));
    }

    /** Guards against a member that counts for ever and is nowhere: an earlier replica of the leader's own node. */
    @Test
    void anEarlierReplicaOfTheLeadersNodeGivesWay() {
        List<String> replicas = List.of(SELF, THIRD, "10.0.0.1/11");
        assertThat(next(1, replicas, new Nodes(THIRD, FOURTH)), is(List.of(SELF, THIRD, FOURTH)));
    }

    /** Guards against a lost majority: a disk that is lost for certain goes before one that is only silent. */
    @Test
    void aLostDiskIsReplacedBeforeASilentOne() {
        Nodes nodes = new Nodes(SECOND_WIPED, FOURTH).behind(SECOND_WIPED).gone(THIRD, 60_000);
        assertThat(next(1, THREE, nodes), is(replaced(THREE, SECOND, FOURTH)));
    }

    /** Guards planned replacements: the successor is in before the old one is gone. */
    @Test
    void oneThatLeavesGivesWayAtOnce() {
        Nodes nodes = new Nodes(SECOND, THIRD, FOURTH).leaving(SECOND);
        assertThat(next(1, THREE, nodes), is(replaced(THREE, SECOND, FOURTH)));
        assertThat(next(1, THREE, new Nodes(SECOND, THIRD).leaving(SECOND)), is(THREE));
        assertThat(next(1, THREE, new Nodes(SECOND, THIRD, FOURTH).leaving(FOURTH)), is(THREE));
    }

    /** Guards groups that grew: who leaves for good must not count for the majority any longer. */
    @Test
    void oneThatLeavesAGroupThatIsLargerThanNeededGoesWithoutASuccessor() {
        Nodes nodes = new Nodes(SECOND, THIRD, FOURTH, FIFTH).leaving(SECOND);
        assertThat(next(1, FIVE, nodes), is(List.of(SELF, THIRD, FOURTH, FIFTH)));
        assertThat(next(2, FIVE, nodes), is(FIVE));
    }

    /** Guards against members that are gone for good and count for ever: newcomers come before a loss is noticed. */
    @Test
    void aGroupThatIsLargeEnoughDoesNotGrow() {
        assertThat(next(1, THREE, new Nodes(SECOND, THIRD, FOURTH)), is(THREE));
        assertThat(next(1, THREE, new Nodes(SECOND, THIRD, FOURTH, FIFTH)), is(THREE));
        List<String> four = List.of(SELF, SECOND, THIRD, FOURTH);
        assertThat(next(2, four, new Nodes(SECOND, THIRD, FOURTH, FIFTH)), is(FIVE));
    }

    /** Guards fleets that bear more losses than usual: the group grows until it does. */
    @Test
    void theGroupGrowsAsFarAsTheLossesToBearAsk() {
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

    /** Whoever is there, silent, wiped, behind or leaving: a group that was large enough stays so, and keeps its leader. */
    @Test
    void noPresenceMakesTheGroupThinnerThanItHasToBe() {
        Random random = new Random(4711);
        for (int run = 0; run < 20_000; run++) {
            int tolerated = 1 + random.nextInt(3);
            int wanted = 2 * tolerated + 1;
            List<String> replicas = new ArrayList<>(List.of(SELF));
            List<String> present = new ArrayList<>();
            for (int i = 2; i <= wanted + random.nextInt(3) || replicas.size() < wanted; i++) {
                replicas.add("10.0.0." + i + "/0");
            }
            for (int i = 2; i <= 10; i++) {
                if (random.nextBoolean()) {
                    present.add("10.0.0." + i + "/" + (random.nextInt(4) == 0 ? 1 : 0));
                }
            }
            Nodes nodes = new Nodes(present.toArray(String[]::new));
            for (int i = 2; i <= 10; i++) {
                String replica = "10.0.0." + i + "/0";
                nodes.gone(replica, random.nextInt(3) * 1_000L);
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

    /** Guards the majority against the loss of a zone: the seeds of a fleet may stand in one. */
    @Test
    void noZoneKeepsAMajorityWhereAnotherZoneHasANewcomer() {
        Nodes nodes = new Nodes(SECOND, THIRD, FOURTH, FIFTH).in("a", SELF, SECOND, THIRD).in("b", FOURTH, FIFTH);
        List<String> once = next(1, THREE, nodes);
        assertThat(once, is(replaced(THREE, SECOND, FOURTH)));
        assertThat("two zones can't do better", next(1, once, nodes), is(once));
        Nodes three = new Nodes(SECOND, THIRD, FOURTH, FIFTH).in("a", SELF, SECOND, THIRD).in("b", FOURTH).in("c", FIFTH);
        assertThat(next(1, once, three), is(List.of(SELF, FOURTH, FIFTH)));
        assertThat(next(1, THREE, nodes.behind(FOURTH).behind(FIFTH)), is(THREE));
    }

    /** Guards the spread of a group: a place that is free goes to the zone with the fewest members. */
    @Test
    void aPlaceGoesToTheZoneWithTheFewestMembers() {
        Nodes nodes = new Nodes(THIRD, FOURTH, FIFTH).gone(SECOND, 60_000).in("a", SELF, FOURTH).in("b", SECOND)
                .in("c", THIRD, FIFTH).in("b", FIFTH);
        assertThat(next(1, THREE, nodes), is(replaced(THREE, SECOND, FIFTH)));
    }

    /** Guards groups that are spread well enough against needless changes. */
    @Test
    void aGroupThatOutlivesEachZoneStaysAsItIs() {
        Nodes nodes = new Nodes(SECOND, THIRD, FOURTH, FIFTH, "10.0.0.6/6").in("a", SELF, SECOND).in("b", THIRD, FOURTH)
                .in("c", FIFTH).in("d", "10.0.0.6/6");
        assertThat(next(2, FIVE, nodes), is(FIVE));
    }
}
