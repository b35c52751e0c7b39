package routerfleet.data;

/**
 * What this node may admit of one tenant's limit without asking a control node: a fixed amount in any window of the
 * rules. Counted in slots of a part of a window, so that its size does not grow with requests.
 */
final class QuotaReserve {
    private static final int SLOTS = 8;

    private final double[] used = new double[SLOTS + 1];
    private final long slotMs;
    private long newestSlot;

    /** @param windowMs length of the window */
    QuotaReserve(long windowMs) {
        slotMs = Math.max(1, (windowMs + SLOTS - 1) / SLOTS);
    }

    /** Takes an amount, where the window's total stays within the most that is allowed. */
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
