package routerfleet.control;

import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import routerfleet.journal.JournalVector;
import routerfleet.journal.Origin;

/** Tracks which entries of the journal the other control nodes have reported to hold on their disks. */
final class TallyReplicaProgress {
    /**
     * What one node has reported.
     *
     * @param disk the origin that stands for the node's current disk
     * @param lastVector the last complete vector that it sent, a consistent state
     * @param upTo the same with what it has reported since
     */
    private record Progress(Origin disk, JournalVector lastVector, SortedMap<Origin, Long> upTo) { }

    private final Map<String, Progress> progressByNode = new TreeMap<>();

    /** Records the complete vector of a node's disk; reports on another connection may already go further. */
    void update(Origin holder, JournalVector held) {
        Progress known = progressByNode.get(holder.node());
        SortedMap<Origin, Long> upTo = new TreeMap<>(held.upTo());
        if (known != null && known.disk().equals(holder)) {
            known.upTo().forEach((origin, number) -> upTo.merge(origin, number, Math::max));
        }
        progressByNode.put(holder.node(), new Progress(holder, held, upTo));
    }

    /**
     * Records that a node's disk holds more entries of an origin; late reports about a node's earlier disk are ignored.
     */
    void update(Origin holder, Origin origin, long upTo) {
        Progress known = progressByNode.get(holder.node());
        if (known != null && known.disk().equals(holder)) {
            known.upTo().merge(origin, upTo, Math::max);
        }
    }

    /** Removes all nodes except these. */
    void retainNodes(Set<String> nodes) {
        progressByNode.keySet().retainAll(nodes);
    }

    /** Returns what a node holds; an empty vector if it has not reported. */
    JournalVector vectorOf(String node) {
        Progress known = progressByNode.get(node);
        return known == null ? JournalVector.EMPTY : new JournalVector(known.upTo());
    }

    /**
     * Returns up to which number of each origin all nodes hold all entries.
     *
     * @param nodes the other nodes
     * @param own what this node holds
     * @return an empty vector if a node has not reported, or holds more than this one: then this node does not know all
     * entries that the other may have accepted
     */
    JournalVector heldByAll(Set<String> nodes, JournalVector own) {
        SortedMap<Origin, Long> minimum = new TreeMap<>(own.upTo());
        for (String node : nodes) {
            Progress known = progressByNode.get(node);
            if (known == null || !own.covers(known.lastVector())) {
                return JournalVector.EMPTY;
            }
            minimum.replaceAll((origin, number) -> Math.min(number, known.lastVector().of(origin)));
        }
        return new JournalVector(minimum);
    }

    /** Returns the other nodes that hold an entry on disk. */
    Set<String> holdersOf(Origin origin, long number) {
        Set<String> all = new TreeSet<>();
        progressByNode.forEach((node, holder) -> {
            if (holder.upTo().getOrDefault(origin, 0L) >= number) {
                all.add(node);
            }
        });
        return all;
    }
}
