package routerfleet.config;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * The evacuated zones: nothing new is sent to servers there. Immutable.
 *
 * @param revision counts the orders taken since the first state, which is 0; the state with the higher one is newer
 * @param zones in their natural order
 */
public record Evacuations(long revision, List<String> zones) {
    /** The state before the first order. */
    public static final Evacuations NONE = new Evacuations(0, List.of());

    public Evacuations {
        zones = List.copyOf(new TreeSet<>(zones));
    }

    /** Whether a zone is evacuated. */
    public boolean includes(String zone) {
        return zones.contains(zone);
    }

    /** Whether an order may be taken: it builds on this state. */
    public boolean takes(EvacuationOrder order) {
        return order.baseRevision() == revision;
    }

    /**
     * The state that an order which is taken leads to. The revision rises also where the zone is as it was before: an
     * earlier order that is still under way must not be taken after this one is acknowledged.
     */
    public Evacuations after(EvacuationOrder order) {
        Set<String> changed = new TreeSet<>(zones);
        if (order.start()) {
            changed.add(order.zone());
        } else {
            changed.remove(order.zone());
        }
        return new Evacuations(revision + 1, List.copyOf(changed));
    }
}
