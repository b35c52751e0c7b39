package routerfleet.control;

import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import routerfleet.journal.JournalVector;
import routerfleet.journal.Origin;

/** What other control nodes have told to hold of the journal on their disks. */
final class TallyCopies {
    private record Holder(Origin disk, SortedMap<Origin, Long> upTo) { }

    private final Map<String, Holder> holders = new TreeMap<>();

    /** A node tells all that its disk holds. */
    void learn(Origin holder, JournalVector held) {
        holders.put(holder.node(), new Holder(holder, new TreeMap<>(held.upTo())));
    }

    /** A node tells that its disk holds more of an origin; what an earlier disk of it tells late is passed over. */
    void learn(Origin holder, Origin origin, long upTo) {
        Holder known = holders.get(holder.node());
        if (known != null && known.disk().equals(holder)) {
            known.upTo().merge(origin, upTo, Math::max);
        }
    }

    /** Gives up all nodes but these. */
    void keep(Set<String> nodes) {
        holders.keySet().retainAll(nodes);
    }

    /** What a node holds; nothing where it has not told. */
    JournalVector of(String node) {
        Holder known = holders.get(node);
        return known == null ? JournalVector.EMPTY : new JournalVector(known.upTo());
    }

    /** Which other nodes hold an entry. */
    Set<String> holding(Origin origin, long number) {
        Set<String> all = new TreeSet<>();
        holders.forEach((node, holder) -> {
            if (holder.upTo().getOrDefault(origin, 0L) >= number) {
                all.add(node);
            }
        });
        return all;
    }
}
