package routerfleet.data;

/**
 * The amount of one tenant's limit that this node may admit without asking a control node: a fixed amount in any window of
 * the quota rules. Usage is counted in slots of an eighth of a window, so memory does not grow with the number of requests.
 */
final class QuotaReserve {
    private static final int SLOTS = 8;

    private final double[] used = new double[SLOTS + 1];
    private final long slotMs;
    private long newestSlot;

    /** @param windowMs length of the window, in milliseconds */
    QuotaReserve(long windowMs) {
        slotMs = Math.max(1, (windowMs + SLOTS - 1) / SLOTS);
    }

    /** Takes an amount if the window's total stays within a limit. @return whether it was taken */
    boolean tryAcquire(double amount, double limit, long nowMs) {
        advance(nowMs / slotMs);
        double total = 0;
        for (double slot : used) {
            total += slot;
        }
        if (total + amount > limit) {
            return false;
        }
        used[(int) (newestSlot % used.length)] += amount;
        return true;
    }

    private void advance(long slot) {
        if (slot - newestSlot > used.length) {
            newestSlot = slot - used.length;
        }
        while (newestSlot < slot) {
            newestSlot++;
            used[(int) (newestSlot % used.length)] = 0;
        }
    }
}
