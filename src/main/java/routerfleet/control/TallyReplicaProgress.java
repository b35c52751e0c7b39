package routerfleet.control;

import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import routerfleet.journal.JournalVector;
import routerfleet.journal.Origin;

/** What other control nodes have told to hold of the journal on their disks. */
final class TallyReplicaProgress {
    /**
     * What is known of one node.
     *
     * @param whole the last vector that it told, all at one moment
     * @param upTo the same, and what it told since
     */
    private record Holder(Origin disk, JournalVector whole, SortedMap<Origin, Long> upTo) { }

    private final Map<String, Holder> holders = new TreeMap<>();

    /** A node tells all that its disk holds; what it told on another connection may go further. */
    void update(Origin holder, JournalVector held) {
        Holder known = holders.get(holder.node());
        SortedMap<Origin, Long> upTo = new TreeMap<>(held.upTo());
        if (known != null && known.disk().equals(holder)) {
            known.upTo().forEach((origin, number) -> upTo.merge(origin, number, Math::max));
        }
        holders.put(holder.node(), new Holder(holder, held, upTo));
    }

    /** A node tells that its disk holds more of an origin; what an earlier disk of it tells late is passed over. */
    void update(Origin holder, Origin origin, long upTo) {
        Holder known = holders.get(holder.node());
        if (known != null && known.disk().equals(holder)) {
            known.upTo().merge(origin, upTo, Math::max);
        }
    }

    /** Gives up all nodes but these. */
    void retainNodes(Set<String> nodes) {
        holders.keySet().retainAll(nodes);
    }

    /** What a node holds; nothing where it has not told. */
    JournalVector vectorOf(String node) {
        Holder known = holders.get(node);
        return known == null ? JournalVector.EMPTY : new JournalVector(known.upTo());
    }

    /**
     * Up to where all nodes hold all entries.
     *
     * @param nodes the others
     * @param own what this node holds
     * @return nothing where a node has not told, or holds more than this one: not all that it had taken is known here
     */
    JournalVector heldByAll(Set<String> nodes, JournalVector own) {
        SortedMap<Origin, Long> least = new TreeMap<>(own.upTo());
        for (String node : nodes) {
            Holder known = holders.get(node);
            if (known == null || !own.covers(known.whole())) {
                return JournalVector.EMPTY;
            }
            least.replaceAll((origin, number) -> Math.min(number, known.whole().of(origin)));
        }
        return new JournalVector(least);
    }

    /** Which other nodes hold an entry. */
    Set<String> holdersOf(Origin origin, long number) {
        Set<String> all = new TreeSet<>();
        holders.forEach((node, holder) -> {
            if (holder.upTo().getOrDefault(origin, 0L) >= number) {
                all.add(node);
            }
        });
        return all;
    }
}
