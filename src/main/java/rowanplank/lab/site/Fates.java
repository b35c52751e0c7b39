package rowanplank.lab.site;

import org.apache.commons.rng.UniformRandomProvider;

/** What is to become of each request, as the faults in force have it. Of several that are drawn the first one holds. */
final class Fates {
    /** In the order in which they are drawn. */
    enum Fate {
        /** The connection ends as the request comes; it never runs. */
        RESET_BEFORE,
        /** It ends where the answer would begin. */
        RESET_AFTER,
        /** It ends half-way through the answer. */
        CUT,
        /** No answer comes, and nothing more on this connection, which stays open. */
        SILENT,
        /** 500 at once. */
        ERROR_BEFORE,
        /** 500 when the work is done. */
        ERROR_AFTER,
        /** An answer that can't be read; nothing more comes on this connection, which stays open. */
        SPOILT,
        /** An answer, and more than belongs to it. */
        EXTRA,
        /** An answer. */
        GOOD
    }

    private final UniformRandomProvider random;
    private final double errorsAlways;
    double resets;
    double silent;
    double errors;
    double spoilt;
    double extras;

    Fates(UniformRandomProvider random, double errorsAlways) {
        this.random = random;
        this.errorsAlways = errorsAlways;
    }

    Fate draw() {
        if (drawn(resets)) {
            return Fate.values()[random.nextInt(3)];
        }
        if (drawn(silent)) {
            return Fate.SILENT;
        }
        if (drawn(Math.max(errors, errorsAlways))) {
            return random.nextBoolean() ? Fate.ERROR_BEFORE : Fate.ERROR_AFTER;
        }
        return drawn(spoilt) ? Fate.SPOILT : drawn(extras) ? Fate.EXTRA : Fate.GOOD;
    }

    private boolean drawn(double share) {
        return share > 0 && random.nextDouble() < share;
    }
}
