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
    static final double NO_BOUND = Double.POSITIVE_INFINITY;
    /** Of a send that needs no permission. */
    static final long NO_CLAIM = -1;

    /** One node's permission for one server, in the slice that was drawn for last. */
    static final class Permission {
        private long slice = NO_CLAIM;
        private boolean open;
    }

    private final SplittableRandom random;
    private double chance = NO_BOUND;
    private long openSlice = NO_CLAIM;
    private final List<Server> open = new ArrayList<>();

    ColdAdmission(long seed) {
        random = new SplittableRandom(seed);
    }

    /** @param aSlice the chance of a permission in a slice, from {@link WarmupRate#chance}, or {@link #NO_BOUND} */
    void chance(double aSlice) {
        chance = aSlice;
    }

    private static long slice(long nowMs) {
        return Math.floorDiv(nowMs, WarmupRate.SLICE_MS);
    }

    private boolean isBound(Server server, long nowMs) {
        return chance != NO_BOUND && server.warmth().isCold(nowMs);
    }

    /** Whether the server is warm, or there is a permission for it now. */
    boolean permits(Server server, long nowMs) {
        return !isBound(server, nowMs) || drawn(server.permission(), nowMs).open;
    }

    private Permission drawn(Permission permission, long nowMs) {
        long now = slice(nowMs);
        if (permission.slice != now) {
            permission.slice = now;
            permission.open = random.nextDouble() < chance;
        }
        return permission;
    }

    /**
     * The cold servers for which this slice began with a permission; whether it is still there {@link #permits} tells.
     * Costs O(n) for n servers once a slice.
     */
    List<Server> open(List<Server> servers, long nowMs) {
        if (openSlice != slice(nowMs)) {
            openSlice = slice(nowMs);
            open.clear();
            for (Server server : servers) {
                if (isBound(server, nowMs) && drawn(server.permission(), nowMs).open) {
                    open.add(server);
                }
            }
        }
        return open;
    }

    /** Takes the permission for a request that was given that server. @return what {@link #holds} is asked with */
    long claim(Server server, long nowMs) {
        if (!isBound(server, nowMs)) {
            return NO_CLAIM;
        }
        drawn(server.permission(), nowMs).open = false;
        return slice(nowMs);
    }

    /**
     * Whether a request may be sent now: the server is warm, or the permission that was claimed is of this slice, or the
     * server has turned cold since and there is one now, which this takes.
     */
    boolean holds(Server server, long claimed, long nowMs) {
        if (!isBound(server, nowMs) || claimed == slice(nowMs)) {
            return true;
        }
        boolean open = drawn(server.permission(), nowMs).open;
        server.permission().open = false;
        return open;
    }
}
