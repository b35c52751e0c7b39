package rowanplank.lab.trial;

import java.time.Duration;
import org.apache.commons.rng.UniformRandomProvider;

/** How datagrams fare from one node to another, in one direction; as of a fault, until it is mended. */
final class Way {
    boolean cut;
    double loss;
    double doubled;
    /** Share of datagrams of which only a part comes. */
    double shortened;
    Duration delay = Duration.ZERO;
    /** Each takes up to so much longer, so that they overtake one another. */
    Duration spread = Duration.ZERO;

    void mend() {
        cut = false;
        loss = 0;
        doubled = 0;
        shortened = 0;
        delay = Duration.ZERO;
        spread = Duration.ZERO;
    }

    boolean isClean() {
        return !cut && loss == 0 && doubled == 0 && shortened == 0 && delay.isZero() && spread.isZero();
    }

    Duration transit(UniformRandomProvider chance) {
        return spread.isZero() ? delay : delay.plusNanos((long) (chance.nextDouble() * spread.toNanos()));
    }
}
