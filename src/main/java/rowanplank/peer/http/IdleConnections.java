package rowanplank.peer.http;

import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeSet;

/**
 * Connections to peers that wait for their next try: the newest one to a peer, and the one that has rested longest of
 * all, found without a look at the others. It touches no socket and no clock.
 *
 * <p>Cost: each call O(log n) for n connections at rest (red-black trees, one of all and one a peer). Bound: as many
 * as its caller keeps; a peer takes room only while something rests there.
 */
final class IdleConnections<C> {
    private final TreeSet<Kept<C>> all = new TreeSet<>();
    private final Map<Long, TreeSet<Kept<C>>> byPeer = new LinkedHashMap<>();
    private long count;

    /** A connection at rest; they are in the order in which they came to it. */
    record Kept<C>(C connection, long peer, Instant since, long number) implements Comparable<Kept<C>> {
        @Override
        public int compareTo(Kept<C> other) {
            int earlier = since.compareTo(other.since);
            return earlier != 0 ? earlier : Long.compare(number, other.number);
        }
    }

    /** @param now no earlier than at the last call */
    Kept<C> keep(C connection, long peer, Instant now) {
        Kept<C> kept = new Kept<>(connection, peer, now, count++);
        all.add(kept);
        byPeer.computeIfAbsent(peer, p -> new TreeSet<>()).add(kept);
        return kept;
    }

    /** Takes out the one that came last, so that those not needed grow old; null if none rests at this peer. */
    Kept<C> takeNewest(long peer) {
        return takeNewest(peer, Instant.MAX);
    }

    /** The same of those that have rested since that time or longer. */
    Kept<C> takeNewest(long peer, Instant until) {
        TreeSet<Kept<C>> there = byPeer.get(peer);
        Kept<C> newest = there == null ? null : there.floor(new Kept<>(null, peer, until, Long.MAX_VALUE));
        return newest == null ? null : take(newest);
    }

    /** Takes out the one that has rested longest; null if there is none. */
    Kept<C> takeOldest() {
        return all.isEmpty() ? null : take(all.first());
    }

    /** The same if it has rested since that time or longer, else null. */
    Kept<C> takeOldest(Instant until) {
        return all.isEmpty() || all.first().since().isAfter(until) ? null : take(all.first());
    }

    private Kept<C> take(Kept<C> kept) {
        remove(kept);
        return kept;
    }

    /** One that is no longer here is no concern. */
    void remove(Kept<C> kept) {
        if (all.remove(kept)) {
            TreeSet<Kept<C>> there = byPeer.get(kept.peer());
            there.remove(kept);
            if (there.isEmpty()) {
                byPeer.remove(kept.peer());
            }
        }
    }

    int size() {
        return all.size();
    }
}
