package rowanplank.lab.hunt;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * Takes out of a list whatever is not needed: halves, then quarters, down to one. After Zeller and Hildebrandt,
 * "Simplifying and Isolating Failure-Inducing Input", IEEE TSE 28(2), 2002, section 3.
 */
final class Fewer {
    private Fewer() { }

    /** @param keeps asked of shorter and shorter lists: whether what they are needed for is still so */
    static <T> List<T> of(List<T> all, Predicate<List<T>> keeps) {
        List<T> best = all;
        for (int size = Math.max(1, best.size() / 2); size >= 1 && !best.isEmpty(); size /= 2) {
            for (int from = 0; from < best.size();) {
                List<T> fewer = new ArrayList<>(best);
                fewer.subList(from, Math.min(from + size, best.size())).clear();
                if (keeps.test(fewer)) {
                    best = fewer;
                } else {
                    from += size;
                }
            }
        }
        return best;
    }
}
