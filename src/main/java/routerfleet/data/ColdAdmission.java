package routerfleet.data;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Which requests of this node may go to cold servers of one service: in each slice of time one for each server, where the
 * lot says so ({@link WarmupRate}). Nodes draw independently of each other, with no message on a request's path.
 * Permissions do not accumulate: one that is not used in its slice is gone. For one event loop.
 */
final class ColdAdmission {
    /** The chance where a service tells no bound: all servers count as warm. */
    static final double UNLIMITED = Double.POSITIVE_INFINITY;
    /** Of a send that needs no permission. */
    static final long NO_PERMIT = -1;

    /** One node's permission for one server, in the slice that was drawn for last. */
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

    /** @param probability the chance of a permission in a slice, from {@link WarmupRate#permitProbability}, or {@link #UNLIMITED} */
    void permitProbability(double probability) {
        permitProbability = probability;
    }

    private static long slice(long nowMs) {
        return Math.floorDiv(nowMs, WarmupRate.SLICE_MS);
    }

    private boolean needsPermit(Server server, long nowMs) {
        return permitProbability != UNLIMITED && server.warmupState().isCold(nowMs);
    }

    /** Whether the server is warm, or there is a permission for it now. */
    boolean permits(Server server, long nowMs) {
        return !needsPermit(server, nowMs) || permitFor(server.coldPermit(), nowMs).available;
    }

    private Permit permitFor(Permit permit, long nowMs) {
        long now = slice(nowMs);
        if (permit.slice != now) {
            permit.slice = now;
            permit.available = random.nextDouble() < permitProbability;
        }
        return permit;
    }

    /**
     * The cold servers for which this slice began with a permission; whether it is still there {@link #permits} tells.
     * Costs O(n) for n servers once a slice.
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

    /** Takes the permission for a request that was given that server. @return what {@link #maySend} is asked with */
    long acquirePermit(Server server, long nowMs) {
        if (!needsPermit(server, nowMs)) {
            return NO_PERMIT;
        }
        permitFor(server.coldPermit(), nowMs).available = false;
        return slice(nowMs);
    }

    /**
     * Whether a request may be sent now: the server is warm, or the permission that was claimed is of this slice, or the
     * server has turned cold since and there is one now, which this takes.
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
