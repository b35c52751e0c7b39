package routerfleet.control;

import java.util.ArrayList;
import java.util.List;

/**
 * Works out which replicas the group should have, one change at a time: a replica whose disk was lost gives way to its
 * node's new one, one that is gone gives way to a newcomer, and newcomers are added.
 *
 * <p>A replica that is gone for good still counts for the majority as long as it is in the group. So once a successor has
 * joined, so that the group is larger than its tolerated losses ask for, the one that is gone longest is removed without
 * delay: the next loss may follow as soon as the successor has caught up. Who is only down for a while and was taken for
 * gone comes back as a newcomer.
 */
final class ReplicaPlanner {
    private static final int MOST_REPLICAS = 7;
    private static final int LEAST_REPLICAS = 3;
    /** A replica that is gone for so long gives way where the group is larger than it has to be, or a newcomer waits. */
    static final long REPLACE_AFTER_MS = 1_500;
    /** And else, as long as enough are left to go on. */
    static final long REMOVE_AFTER_MS = 8_000;

    /** Which control nodes are there. */
    interface Presence {
        /** Names of the replicas of the other control nodes that are connected. */
        List<String> replicas();

        /** For how long the control node at an address has not been connected, in milliseconds; 0 while it is. */
        long absentMs(String ip);
    }

    private final String self;
    private final int wantedReplicas;
    private final int mostReplicas;

    /**
     * @param self name of this node's replica
     * @param toleratedHosts how many control nodes may be lost at once
     */
    ReplicaPlanner(String self, int toleratedHosts) {
        this.self = self;
        wantedReplicas = Math.max(LEAST_REPLICAS, 2 * toleratedHosts + 1);
        mostReplicas = Math.max(MOST_REPLICAS, wantedReplicas);
    }

    /** @return the replicas that the group should have next; the same list where nothing is to be changed */
    List<String> next(List<String> replicas, Presence presence) {
        String gone = longestGone(replicas, presence);
        long absentMs = gone == null ? 0 : presence.absentMs(ReplicaNames.ip(gone));
        if (absentMs >= REPLACE_AFTER_MS && replicas.size() > wantedReplicas) {
            return without(replicas, gone);
        }
        List<String> newcomers = newcomers(replicas, presence);
        String lost = replacedAtItsAddress(replicas, newcomers);
        if (lost != null) {
            return without(replicas, lost);
        }
        if (!newcomers.isEmpty()) {
            if (absentMs >= REPLACE_AFTER_MS) {
                return without(replicas, gone);
            }
            return replicas.size() < mostReplicas ? with(replicas, newcomers.get(0)) : replicas;
        }
        boolean enough = replicas.size() > LEAST_REPLICAS;
        return enough && absentMs >= REMOVE_AFTER_MS ? without(replicas, gone) : replicas;
    }

    private static List<String> newcomers(List<String> replicas, Presence presence) {
        List<String> newcomers = new ArrayList<>();
        for (String replica : presence.replicas()) {
            if (!replicas.contains(replica) && !newcomers.contains(replica)) {
                newcomers.add(replica);
            }
        }
        return newcomers;
    }

    /** A replica whose node has come back as another one, with an empty disk; null where there is none. */
    private String replacedAtItsAddress(List<String> replicas, List<String> newcomers) {
        for (String newcomer : newcomers) {
            for (String replica : replicas) {
                if (ReplicaNames.ip(replica).equals(ReplicaNames.ip(newcomer)) && !replica.equals(self)) {
                    return replica;
                }
            }
        }
        return null;
    }

    private String longestGone(List<String> replicas, Presence presence) {
        String gone = null;
        long longest = 0;
        for (String replica : replicas) {
            long absent = replica.equals(self) ? 0 : presence.absentMs(ReplicaNames.ip(replica));
            if (absent > longest) {
                longest = absent;
                gone = replica;
            }
        }
        return gone;
    }

    private static List<String> without(List<String> replicas, String gone) {
        List<String> changed = new ArrayList<>(replicas);
        changed.remove(gone);
        return changed;
    }

    private static List<String> with(List<String> replicas, String added) {
        List<String> changed = new ArrayList<>(replicas);
        changed.add(added);
        return changed;
    }
}
