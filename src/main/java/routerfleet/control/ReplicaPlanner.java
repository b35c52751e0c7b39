package routerfleet.control;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Works out which replicas the group should have next. Each change is one step of the agreement (joint consensus):
 *
 * <ul>
 * <li>A member that is done with gives way to a control node that holds everything decided and has no vote yet. Done with
 *     is one whose node has come back with an empty disk, one that has said that it leaves, and one that has been silent
 *     for a while.
 * <li>Without a successor nobody goes: silence alone removes no one. Only a member that has said that it leaves goes
 *     without one, and only where the group is larger than the losses to be borne ask for.
 * <li>A group grows until it bears the losses that it has to, and no further: a member more may be one that is gone for
 *     good without a successor, and would then count for the majority for ever. Control nodes beyond that hold everything
 *     without a vote and are there to take a place.
 * <li>Places go to newcomers in the zones with the fewest members. Where zones may be lost and the loss of one would take
 *     the majority, one of its members gives way to a newcomer of another zone.
 * </ul>
 *
 * <p>So the group never has fewer than 2 f + 1 members once it had them, and what is decided is on f + 1 disks at least.
 */
class ReplicaPlanner {
    private static final int LEAST_REPLICAS = 3;
    /** A replica that has been silent for so long gives way to a newcomer. */
    static final long REPLACE_AFTER_MS = 1_500;

    /** Which control nodes are there. */
    interface ClusterView {
        /** Names of the replicas of the other control nodes that are connected. */
        List<String> connectedReplicas();

        /** Whether a replica without a vote holds all that is decided. */
        boolean isCaughtUp(String replica);

        /** Whether a replica's node has said that it is about to stop. */
        boolean isLeaving(String replica);

        /** The zone of the control node at an address; null where it is not known. */
        String zone(String ip);

        /** For how long the control node at an address has not been connected, in milliseconds; 0 while it is. */
        long disconnectedMs(String ip);
    }

    private final String self;
    private final int wantedReplicas;
    private final boolean bearsZoneLoss;

    /**
     * @param self name of this node's replica
     * @param toleratedHosts how many control nodes may be lost at once
     * @param toleratedZones how many zones may be
     */
    ReplicaPlanner(String self, int toleratedHosts, int toleratedZones) {
        this.self = self;
        wantedReplicas = Math.max(LEAST_REPLICAS, 2 * toleratedHosts + 1);
        bearsZoneLoss = toleratedZones > 0;
    }

    /** @return the replicas that the group should have next; the same list where nothing is to be changed */
    List<String> planMembers(List<String> replicas, ClusterView presence) {
        List<String> newcomers = new ArrayList<>();
        for (String newcomer : learners(replicas, presence)) {
            if (presence.isCaughtUp(newcomer) && !presence.isLeaving(newcomer)) {
                newcomers.add(newcomer);
            }
        }
        List<String> next = new ArrayList<>(replicas);
        for (String done : doneWith(replicas, presence)) {
            if (!newcomers.isEmpty()) {
                next.set(next.indexOf(done), take(newcomers, next, done, presence));
            } else if (presence.isLeaving(done) && next.size() > wantedReplicas) {
                next.remove(done);
            }
        }
        while (next.size() < wantedReplicas && !newcomers.isEmpty()) {
            next.add(take(newcomers, next, null, presence));
        }
        return bearsZoneLoss && next.equals(replicas) ? spread(next, newcomers, presence) : next;
    }

    /** The newcomer in whose zone the fewest members are, without the one that gives way. */
    private static String take(List<String> newcomers, List<String> members, String done, ClusterView presence) {
        List<String> staying = new ArrayList<>(members);
        staying.remove(done);
        String best = newcomers.stream().min(Comparator.comparingLong(n -> inZone(zone(n, presence), staying, presence)))
                .orElseThrow();
        newcomers.remove(best);
        return best;
    }

    /** Where a zone's loss would take the majority, one of its members gives way to a newcomer of another zone. */
    private List<String> spread(List<String> replicas, List<String> newcomers, ClusterView presence) {
        for (String member : replicas) {
            String crowded = zone(member, presence);
            boolean takesMajority = replicas.size() - inZone(crowded, replicas, presence) <= replicas.size() / 2;
            if (crowded == null || member.equals(self) || !takesMajority) {
                continue;
            }
            for (String newcomer : newcomers) {
                String zone = zone(newcomer, presence);
                if (zone != null && inZone(zone, replicas, presence) + 1 < inZone(crowded, replicas, presence)) {
                    List<String> next = new ArrayList<>(replicas);
                    next.set(next.indexOf(member), newcomer);
                    return next;
                }
            }
        }
        return replicas;
    }

    private static String zone(String replica, ClusterView presence) {
        return presence.zone(ReplicaNames.ip(replica));
    }

    private static long inZone(String zone, List<String> replicas, ClusterView presence) {
        return zone == null ? 0 : replicas.stream().filter(r -> zone.equals(zone(r, presence))).count();
    }

    /** Control nodes that are connected and have no vote. */
    static List<String> learners(List<String> replicas, ClusterView presence) {
        List<String> newcomers = new ArrayList<>();
        for (String replica : presence.connectedReplicas()) {
            if (!replicas.contains(replica) && !newcomers.contains(replica)) {
                newcomers.add(replica);
            }
        }
        return newcomers;
    }

    /** Members that are to give way: first those whose disks are lost, then those that leave, then the silent ones. */
    private List<String> doneWith(List<String> replicas, ClusterView presence) {
        List<String> lost = new ArrayList<>();
        List<String> leaving = new ArrayList<>();
        List<String> silent = new ArrayList<>();
        for (String replica : replicas) {
            if (replica.equals(self)) {
                continue;
            }
            if (hasLostItsDisk(replica, presence)) {
                lost.add(replica);
            } else if (presence.isLeaving(replica)) {
                leaving.add(replica);
            } else if (presence.disconnectedMs(ReplicaNames.ip(replica)) >= REPLACE_AFTER_MS) {
                silent.add(replica);
            }
        }
        lost.addAll(leaving);
        lost.addAll(silent);
        return lost;
    }

    /** Whether its node, which may be this one, has come back as another replica, with an empty disk. */
    private boolean hasLostItsDisk(String replica, ClusterView presence) {
        String ip = ReplicaNames.ip(replica);
        return ReplicaNames.ip(self).equals(ip)
                || presence.connectedReplicas().stream().anyMatch(r -> !r.equals(replica) && ReplicaNames.ip(r).equals(ip));
    }
}
