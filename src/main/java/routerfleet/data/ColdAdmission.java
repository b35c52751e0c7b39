package routerfleet.data;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Limits the requests that this node sends to the cold servers of one service. In each time slice the node has at most one
 * permit for each cold server, drawn at random with the probability from {@link WarmupRate}. Nodes draw independently of
 * each other, so no message is exchanged on a request's path. Permits do not accumulate: one that is not used expires with
 * its slice. Not thread-safe; used on one event loop.
 */
final class ColdAdmission {
    /** The permit probability of a service without a warm-up limit: all its servers count as warm. */
    static final double UNLIMITED = Double.POSITIVE_INFINITY;
    /** Stands for the permit's slice where a request needs no permit. */
    static final long NO_PERMIT = -1;

    /** This node's permit for one server, in the slice for which it was drawn last. */
    static final class Permit {
        private long slice = NO_PERMIT;
        private boolean available;
    }

    private final SplittableRandom random;
    private double permitProbability = UNLIMITED;
    private long permittedServersSlice = NO_PERMIT;
    private final List<Server> permittedServers = new ArrayList<>();

    ColdAdmission(long seed) {
        random = new SplittableRandom(seed);
    }

    /** @param probability of a permit in a slice, from {@link WarmupRate#permitProbability}, or {@link #UNLIMITED} */
    void permitProbability(double probability) {
        permitProbability = probability;
    }

    private static long slice(long nowMs) {
        return Math.floorDiv(nowMs, WarmupRate.SLICE_MS);
    }

    private boolean needsPermit(Server server, long nowMs) {
        return permitProbability != UNLIMITED && server.warmupState().isCold(nowMs);
    }

    /** Whether a request may go to the server now: it is warm, or there is a permit for it in this slice. */
    boolean permits(Server server, long nowMs) {
        return !needsPermit(server, nowMs) || permitFor(server.coldPermit(), nowMs).available;
    }

    /** Draws the permit anew if it belongs to an earlier slice. */
    private Permit permitFor(Permit permit, long nowMs) {
        long now = slice(nowMs);
        if (permit.slice != now) {
            permit.slice = now;
            permit.available = random.nextDouble() < permitProbability;
        }
        return permit;
    }

    /**
     * The cold servers for which a permit was drawn in this slice. {@link #permits} says whether it is still available.
     * Takes O(n) time for n servers once per slice.
     */
    List<Server> serversWithPermit(List<Server> servers, long nowMs) {
        if (permittedServersSlice != slice(nowMs)) {
            permittedServersSlice = slice(nowMs);
            permittedServers.clear();
            for (Server server : servers) {
                if (needsPermit(server, nowMs) && permitFor(server.coldPermit(), nowMs).available) {
                    permittedServers.add(server);
                }
            }
        }
        return permittedServers;
    }

    /** Takes the permit for a request that was assigned to the server. @return its slice, for {@link #maySend} */
    long acquirePermit(Server server, long nowMs) {
        if (!needsPermit(server, nowMs)) {
            return NO_PERMIT;
        }
        permitFor(server.coldPermit(), nowMs).available = false;
        return slice(nowMs);
    }

    /**
     * Whether a request may be sent now, possibly some time after {@link #acquirePermit}. This is the case if the server is
     * warm or if the acquired permit belongs to the current slice. Otherwise, if a permit is available now, it is taken.
     *
     * @param permitSlice result of {@link #acquirePermit}
     */
    boolean maySend(Server server, long permitSlice, long nowMs) {
        if (!needsPermit(server, nowMs) || permitSlice == slice(nowMs)) {
            return true;
        }
        boolean available = permitFor(server.coldPermit(), nowMs).available;
        server.coldPermit().available = false;
        return available;
    }
}
