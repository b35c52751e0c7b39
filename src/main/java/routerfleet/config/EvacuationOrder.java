package routerfleet.config;

import java.util.Objects;

/**
 * Evacuates a zone or takes that back, if nothing has changed the evacuations since: an order that was held up can't undo
 * a later one.
 *
 * @param baseRevision the revision of the {@link Evacuations} that it builds on
 * @param start whether the zone is to be evacuated; else its evacuation ends
 */
public record EvacuationOrder(long baseRevision, String zone, boolean start) {
    public EvacuationOrder {
        Objects.requireNonNull(zone);
    }
}
