package routerfleet.control;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Plans the voters of the replica group. Each change is one joint consensus step:
 *
 * <ul>
 * <li>A departing member is replaced by a learner: a connected control node that has all committed entries but no vote yet.
 *     A member is departing if its node has returned with an empty disk, has announced its shutdown, or has been
 *     disconnected for {@value #REPLACE_AFTER_MS} ms.
 * <li>No member is removed without a successor; being disconnected is never enough. The only exception is a member that has
 *     announced its shutdown while the group is larger than the tolerated losses require.
 * <li>The group grows to the size that the tolerated losses require, in one step if enough control nodes are connected, and
 *     no further: an additional member that was lost for
 *     good without a successor would count towards the majority for ever. Further control nodes stay learners, ready to
 *     replace a member.
 * <li>A vacancy goes to a learner in the zone with the fewest members. If zone losses are to be tolerated and the loss of a
 *     single zone would take the majority, one of its members is replaced by a learner of another zone.
 * </ul>
 *
 * <p>So the group never shrinks below 2 f + 1 members once it has them, and committed entries are on at least f + 1 disks.
 */
class ReplicaPlanner {
    private static final int MIN_REPLICAS = 3;
    /** A member that has been disconnected for this long is replaced by a learner. */
    static final long REPLACE_AFTER_MS = 1_500;

    /** The leader's view of the control nodes. */
    interface ClusterView {
        /** Names of the replicas on the other connected control nodes. */
        List<String> connectedReplicas();

        /** Whether a replica without a vote has all committed entries. */
        boolean isCaughtUp(String replica);

        /** Whether a replica's node has announced its shutdown. */
        boolean isLeaving(String replica);

        /** The zone of the control node at an address; null if unknown. */
        String zone(String ip);

        /** For how long the control node at an address has not been connected, in milliseconds; 0 while it is. */
        long disconnectedMs(String ip);
    }

    private final String self;
    private final int wantedReplicas;
    private final boolean toleratesZoneLoss;

    /**
     * @param self name of this node's replica
     * @param toleratedHosts how many control nodes may be lost at the same time
     * @param toleratedZones how many zones may be lost at the same time
     */
    ReplicaPlanner(String self, int toleratedHosts, int toleratedZones) {
        this.self = self;
        wantedReplicas = Math.max(MIN_REPLICAS, 2 * toleratedHosts + 1);
        toleratesZoneLoss = toleratedZones > 0;
    }

    /** @return the voters that the group should have next; an equal list if nothing is to be changed */
    List<String> planMembers(List<String> replicas, ClusterView view) {
        List<String> learners = new ArrayList<>();
        for (String learner : learners(replicas, view)) {
            if (view.isCaughtUp(learner) && !view.isLeaving(learner)) {
                learners.add(learner);
            }
        }
        List<String> next = new ArrayList<>(replicas);
        for (String departing : membersToReplace(replicas, view)) {
            if (!learners.isEmpty()) {
                next.set(next.indexOf(departing), removeBestLearner(learners, next, departing, view));
            } else if (view.isLeaving(departing) && next.size() > wantedReplicas) {
                next.remove(departing);
            }
        }
        while (next.size() < wantedReplicas && !learners.isEmpty() && !awaitsMoreLearners(next.size(), learners, view)) {
            next.add(removeBestLearner(learners, next, null, view));
        }
        return toleratesZoneLoss && next.equals(replicas) ? spreadOverZones(next, learners, view) : next;
    }

    /**
     * Whether the group can soon grow to the wanted size in one step, with learners that are connected but not yet
     * caught up. Until it has that size, nothing is acknowledged, and each step costs all members a round of writes.
     */
    private boolean awaitsMoreLearners(int members, List<String> caughtUp, ClusterView view) {
        long connected = view.connectedReplicas().stream().filter(r -> !view.isLeaving(r)).distinct().count();
        return members + caughtUp.size() < wantedReplicas && connected + 1 >= wantedReplicas;
    }

    /**
     * Removes and returns the learner whose zone has the fewest members.
     *
     * @param departing the member to be replaced, which is not counted; null for none
     */
    private static String removeBestLearner(List<String> learners, List<String> members, String departing,
            ClusterView view) {
        List<String> staying = new ArrayList<>(members);
        staying.remove(departing);
        String best = learners.stream().min(Comparator.comparingLong(n -> countInZone(zone(n, view), staying, view)))
                .orElseThrow();
        learners.remove(best);
        return best;
    }

    /** If the loss of one zone would take the majority, replaces one of its members by a learner of another zone. */
    private List<String> spreadOverZones(List<String> replicas, List<String> learners, ClusterView view) {
        for (String member : replicas) {
            String crowdedZone = zone(member, view);
            boolean takesMajority = replicas.size() - countInZone(crowdedZone, replicas, view) <= replicas.size() / 2;
            if (crowdedZone == null || member.equals(self) || !takesMajority) {
                continue;
            }
            for (String learner : learners) {
                String zone = zone(learner, view);
                if (zone != null && countInZone(zone, replicas, view) + 1 < countInZone(crowdedZone, replicas, view)) {
                    List<String> next = new ArrayList<>(replicas);
                    next.set(next.indexOf(member), learner);
                    return next;
                }
            }
        }
        return replicas;
    }

    private static String zone(String replica, ClusterView view) {
        return view.zone(ReplicaNames.ip(replica));
    }

    private static long countInZone(String zone, List<String> replicas, ClusterView view) {
        return zone == null ? 0 : replicas.stream().filter(r -> zone.equals(zone(r, view))).count();
    }

    /** The replicas on connected control nodes that have no vote. */
    static List<String> learners(List<String> replicas, ClusterView view) {
        List<String> learners = new ArrayList<>();
        for (String replica : view.connectedReplicas()) {
            if (!replicas.contains(replica) && !learners.contains(replica)) {
                learners.add(replica);
            }
        }
        return learners;
    }

    /** Members to be replaced: first those whose disks are lost, then those that leave, then the disconnected ones. */
    private List<String> membersToReplace(List<String> replicas, ClusterView view) {
        List<String> lost = new ArrayList<>();
        List<String> leaving = new ArrayList<>();
        List<String> disconnected = new ArrayList<>();
        for (String replica : replicas) {
            if (replica.equals(self)) {
                continue;
            }
            if (hasLostDisk(replica, view)) {
                lost.add(replica);
            } else if (view.isLeaving(replica)) {
                leaving.add(replica);
            } else if (view.disconnectedMs(ReplicaNames.ip(replica)) >= REPLACE_AFTER_MS) {
                disconnected.add(replica);
            }
        }
        lost.addAll(leaving);
        lost.addAll(disconnected);
        return lost;
    }

    /** Whether the replica's node, possibly this one, has returned as a new replica with an empty disk. */
    private boolean hasLostDisk(String replica, ClusterView view) {
        String ip = ReplicaNames.ip(replica);
        return ReplicaNames.ip(self).equals(ip)
                || view.connectedReplicas().stream().anyMatch(r -> !r.equals(replica) && ReplicaNames.ip(r).equals(ip));
    }
}
