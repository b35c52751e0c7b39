package rowanplank.ledger;

import java.util.Arrays;
import java.util.Comparator;
import java.util.stream.IntStream;

/**
 * How a whole is divided among those who want some of it: max-min fair (progressive filling, Bertsekas and Gallager, Data
 * Networks, 6.5.2). Nobody's part could be larger without making smaller one that is no larger:
 * <pre>
 *   part i = min(wish i, level), with the highest level at which the parts sum to no more than the whole
 * </pre>
 * In whole units: what is left below one unit each goes to those who come first. Costs O(n log n).
 *
 * <p>What stands is moved as little as that needs: while the whole does, nobody loses anything.
 */
public final class Division {
    private Division() { }

    /**
     * @param whole at least 0
     * @param wishes each at least 0
     * @param first who comes first where units are left that do not do for all: the least goes before
     */
    public static long[] fair(long whole, long[] wishes, long[] first) {
        long[] sorted = wishes.clone();
        Arrays.sort(sorted);
        long left = whole;
        long level = 0;
        for (int k = 0; k < sorted.length; k++) {
            level = left / (sorted.length - k);
            if (sorted[k] > level) {
                left -= level * (sorted.length - k);
                break;
            }
            left -= sorted[k];
            level = sorted[k];
        }
        long[] parts = new long[wishes.length];
        for (int i = 0; i < parts.length; i++) {
            parts[i] = Math.min(wishes[i], level);
        }
        long all = level;
        int[] order = IntStream.range(0, wishes.length).filter(i -> wishes[i] > all).boxed()
                .sorted(Comparator.comparingLong(i -> first[i])).mapToInt(i -> i).toArray();
        for (int k = 0; k < order.length && k < left; k++) {
            parts[order[k]]++;
        }
        return parts;
    }

    /**
     * From how it is to how it shall be.
     *
     * @param whole at least 0
     * @param now what each has, or is to have already
     * @param fair what each would have, in sum at most the whole
     * @param slack who is within one part in so many of it is left as it is; 0 where all is to be exact
     */
    public static long[] next(long whole, long[] now, long[] fair, int slack) {
        long[] next = now.clone();
        long missing = Arrays.stream(now).sum() - whole;
        for (int i = 0; i < next.length; i++) {
            if (now[i] < fair[i] - (slack == 0 ? 0 : fair[i] / slack)) {
                missing += fair[i] - now[i];
                next[i] = fair[i];
            }
        }
        while (missing > 0) {
            int richest = -1;
            for (int i = 0; i < next.length; i++) {
                if (next[i] > fair[i] && (richest < 0 || next[i] - fair[i] > next[richest] - fair[richest])) {
                    richest = i;
                }
            }
            long taken = Math.min(missing, next[richest] - fair[richest]);
            next[richest] -= taken;
            missing -= taken;
        }
        return next;
    }

    /**
     * The burst that goes with each part of a rate: in proportion, but at least one use, as without one nothing can be
     * used. Where there are too few for all, the larger parts have one, and the others' parts are worth nothing.
     *
     * @param parts of the rate; set to 0 where there is no burst for one
     */
    public static long[] bursts(long burst, long[] parts) {
        long[] bursts = new long[parts.length];
        Integer[] order = new Integer[parts.length];
        Arrays.setAll(order, i -> i);
        Arrays.sort(order, (a, b) -> Long.compare(parts[b], parts[a]));
        long left = burst;
        long sum = 0;
        for (int i : order) {
            if (parts[i] > 0 && left >= Share.USE) {
                bursts[i] = Share.USE;
                left -= Share.USE;
                sum += parts[i];
            } else {
                parts[i] = 0;
            }
        }
        for (int i = 0; i < parts.length && sum > 0; i++) {
            bursts[i] += (long) Math.floor((double) left * parts[i] / sum);
        }
        return bursts;
    }
}
