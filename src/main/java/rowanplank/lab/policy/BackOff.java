package rowanplank.lab.policy;

import java.util.SplittableRandom;

/**
 * How long a retry waits: a random part of a time that grows with each retry.
 *
 * @param firstMs 0 for none
 * @param factor by which it grows
 * @param least the least part of it that is waited
 */
record BackOff(double firstMs, double factor, double mostMs, double least) {
    static final BackOff NONE = new BackOff(0, 1, 0, 0);

    /** @param before how many there were before this one */
    double drawMs(int before, SplittableRandom random) {
        double whole = Math.min(mostMs, firstMs * Math.pow(factor, before));
        return whole * (least + (1 - least) * random.nextDouble());
    }
}
