package rowanplank.lab.policy;

/**
 * Envoy's slow start (Architecture overview, Load balancing, Slow start mode): for the window after a server was first
 * seen its weight is multiplied by
 * <pre>
 *   max(min_weight_percent / 100, (max(time since then, 1 s) / window) ^ (1 / aggression))
 * </pre>
 * with the defaults of {@code SlowStartConfig}: aggression 1, min_weight_percent 10. The window has no default there;
 * users take the time in which their servers warm up, which here the site's rules tell.
 *
 * @param windowMs 0 for none
 */
record SlowStart(double windowMs) {
    static final SlowStart NONE = new SlowStart(0);
    private static final double AGGRESSION = 1;
    private static final double LEAST = 0.1;
    private static final double FIRST_MS = 1000;

    double factor(double sinceMs) {
        return isOver(sinceMs) ? 1
                : Math.max(LEAST, Math.pow(Math.max(sinceMs, FIRST_MS) / windowMs, 1 / AGGRESSION));
    }

    boolean isOver(double sinceMs) {
        return sinceMs >= windowMs;
    }
}
