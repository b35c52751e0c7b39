package routerfleet.wire;

/**
 * What a model server has said of itself, as it is replicated between control nodes and told to data nodes.
 *
 * @param uid names one incarnation of a server
 * @param backend the service it belongs to
 * @param address {@code host:port} where it takes requests
 * @param capacity requests that it works on at once
 * @param sequence of the heartbeat, rising
 */
public record SessionRecord(String uid, String backend, String address, String zone, int capacity, Phase phase,
        long sequence, long warmupLeftMs) {
    /** Phases in the order in which a server passes through them; it never goes back. */
    public enum Phase { READY, DRAINING, GONE }

    /** This record at a phase that is at least as late as another one's. */
    public SessionRecord notBefore(Phase other) {
        Phase later = phase.compareTo(other) >= 0 ? phase : other;
        return new SessionRecord(uid, backend, address, zone, capacity, later, sequence, warmupLeftMs);
    }

    /** Whether a data node would act differently on the two. */
    public boolean differsFrom(SessionRecord other) {
        return phase != other.phase || !address.equals(other.address) || !backend.equals(other.backend)
                || capacity != other.capacity;
    }
}
