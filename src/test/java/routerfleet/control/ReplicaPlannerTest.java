package routerfleet.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Which replicas the leader of a configuration shard wants in its group. */
class ReplicaPlannerTest {
    private static final String SELF = "10.0.0.1/0";
    private static final String SECOND = "10.0.0.2/0";
    private static final String THIRD = "10.0.0.3/0";
    private static final String FOURTH = "10.0.0.4/4";
    private static final String FIFTH = "10.0.0.5/5";

    /** Control nodes as a test has them. */
    private static final class Nodes implements ReplicaPlanner.Presence {
        private final List<String> present;
        private final Map<String, Long> absent = new HashMap<>();

        Nodes(String... present) {
            this.present = List.of(present);
        }

        Nodes gone(String replica, long absentMs) {
            absent.put(ReplicaNames.ip(replica), absentMs);
            return this;
        }

        @Override
        public List<String> replicas() {
            return present;
        }

        @Override
        public long absentMs(String ip) {
            return absent.getOrDefault(ip, 0L);
        }
    }

    private static List<String> without(List<String> replicas, String gone) {
        List<String> left = new ArrayList<>(replicas);
        left.remove(gone);
        return left;
    }

    /** Guards against a lost majority: of four, one gone for good and one wiped would be one too many. */
    @Test
    void whatIsGoneIsRemovedAsSoonAsItsSuccessorHasJoined() {
        List<String> replicas = List.of(SELF, SECOND, THIRD, FOURTH);
        Nodes nodes = new Nodes(THIRD, FOURTH).gone(SECOND, ReplicaPlanner.REPLACE_AFTER_MS);
        assertThat(new ReplicaPlanner(SELF, 1).next(replicas, nodes), is(without(replicas, SECOND)));
    }

    /** Guards the same where the next loss, an empty disk, has already been seen. */
    @Test
    void whatIsGoneIsRemovedBeforeANewReplicaIsSeenTo() {
        List<String> replicas = List.of(SELF, SECOND, THIRD, FOURTH, FIFTH);
        Nodes nodes = new Nodes(THIRD, FIFTH, "10.0.0.4/44").gone(SECOND, ReplicaPlanner.REPLACE_AFTER_MS);
        assertThat(new ReplicaPlanner(SELF, 1).next(replicas, nodes), is(without(replicas, SECOND)));
    }

    /** Guards quiet membership: a replica that restarts keeps its place where the group needs it. */
    @Test
    void aReplicaThatRestartsKeepsItsPlace() {
        List<String> replicas = List.of(SELF, SECOND, THIRD, FOURTH, FIFTH);
        Nodes nodes = new Nodes(THIRD, FOURTH, FIFTH).gone(SECOND, ReplicaPlanner.REMOVE_AFTER_MS - 1);
        assertThat(new ReplicaPlanner(SELF, 2).next(replicas, nodes), is(replicas));
        List<String> three = List.of(SELF, SECOND, THIRD);
        assertThat(new ReplicaPlanner(SELF, 1).next(three, new Nodes(THIRD).gone(SECOND, 60_000)), is(three));
    }

    @Test
    void oneThatIsGoneGivesWayToANewcomer() {
        List<String> replicas = List.of(SELF, SECOND, THIRD);
        Nodes nodes = new Nodes(THIRD, FOURTH).gone(SECOND, ReplicaPlanner.REPLACE_AFTER_MS);
        ReplicaPlanner planner = new ReplicaPlanner(SELF, 1);
        List<String> fewer = planner.next(replicas, nodes);
        assertThat(fewer, is(List.of(SELF, THIRD)));
        assertThat(planner.next(fewer, nodes), is(List.of(SELF, THIRD, FOURTH)));
    }

    @Test
    void aNodeWithAnEmptyDiskTakesItsOwnPlaceAgain() {
        List<String> replicas = List.of(SELF, SECOND, THIRD);
        Nodes nodes = new Nodes("10.0.0.2/77", THIRD);
        ReplicaPlanner planner = new ReplicaPlanner(SELF, 1);
        List<String> fewer = planner.next(replicas, nodes);
        assertThat(fewer, is(List.of(SELF, THIRD)));
        assertThat(planner.next(fewer, nodes), is(List.of(SELF, THIRD, "10.0.0.2/77")));
    }

    /** Guards fleets that bear more losses than usual: the group grows until it does. */
    @Test
    void theGroupGrowsAsFarAsTheLossesToBearAsk() {
        List<String> replicas = new ArrayList<>(List.of(SELF));
        List<String> others = new ArrayList<>();
        for (int i = 2; i <= 9; i++) {
            others.add("10.0.0." + i + "/0");
        }
        ReplicaPlanner planner = new ReplicaPlanner(SELF, 4);
        for (int i = 0; i < 20; i++) {
            replicas = planner.next(replicas, new Nodes(others.toArray(String[]::new)));
        }
        assertThat(replicas.size(), is(9));
    }
}
