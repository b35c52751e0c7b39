package rowanplank.lab.policy;

/**
 * C3's rate control of one server (Suresh, Canini, Schmid, Feldmann: C3: Cutting tail latency in cloud data stores
 * via adaptive replica selection, NSDI 2015, section 3.2 and algorithm 2). The rate at which requests may be sent, in
 * requests every {@value #INTERVAL_MS} ms, follows that at which answers come. With each answer
 * <pre>
 *   sending &lt; receiving:  sending = min(sending + S_MAX, GAMMA * (T - cbrt(BETA * R0 / GAMMA))^3 + R0)
 *   sending &gt; receiving, and no increase in the last two intervals:  R0 = sending;  sending = BETA * sending
 * </pre>
 * with T the ms since the last decrease. BETA = 0.2 and S_MAX = 10 as in section 4; GAMMA = 0.000004, with which the
 * flat part at R0 is some 100 ms long as stated there, and the first rates (sending 5, receiving 10, R0 10), the rate
 * that is left at the least, the bucket of {@value #MOST_TOKENS} and the moving average of the receiving rate (0.9
 * for the newest interval) as in the authors' simulator.
 */
final class CubicRate {
    static final double INTERVAL_MS = 20;
    static final double BETA = 0.2;
    private static final double GAMMA = 0.000004;
    private static final double S_MAX = 10;
    private static final double NEWEST = 0.9;
    private static final double MOST_TOKENS = 50;
    private static final double LEAST_RATE = 0.0001;
    private static final double HYSTERESIS = 2 * INTERVAL_MS;

    private double sending = 5;
    private double receiving = 10;
    private double atDecrease = 10;
    private double decreasedAt;
    private double increasedAt;
    private double tokens;
    private double tokensAt;
    private double answers;
    private double interval;

    CubicRate(double nowMs) {
        decreasedAt = nowMs;
        increasedAt = nowMs;
        tokensAt = nowMs;
        tokens = sending;
        interval = Math.floor(nowMs / INTERVAL_MS);
    }

    boolean allows(double nowMs) {
        tokens = Math.min(MOST_TOKENS, tokens + (nowMs - tokensAt) * sending / INTERVAL_MS);
        tokensAt = nowMs;
        return tokens >= 1;
    }

    void sent() {
        tokens--;
    }

    void answered(double nowMs) {
        countTo(nowMs);
        answers++;
        if (sending < receiving) {
            double since = nowMs - decreasedAt;
            double cubic = GAMMA * Math.pow(since - Math.cbrt(BETA * atDecrease / GAMMA), 3) + atDecrease;
            sending = Math.max(LEAST_RATE, Math.min(sending + S_MAX, cubic));
            increasedAt = nowMs;
        } else if (sending > receiving && nowMs - increasedAt > HYSTERESIS) {
            atDecrease = sending;
            sending = Math.max(LEAST_RATE, sending * BETA);
            decreasedAt = nowMs;
        }
    }

    private void countTo(double nowMs) {
        double present = Math.floor(nowMs / INTERVAL_MS);
        if (present > interval) {
            receiving = NEWEST * answers / (present - interval) + (1 - NEWEST) * receiving;
            interval = present;
            answers = 0;
        }
    }

    double sending() {
        return sending;
    }

    double receiving() {
        return receiving;
    }
}
