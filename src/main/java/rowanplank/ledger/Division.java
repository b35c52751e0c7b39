package rowanplank.ledger;

import java.time.Duration;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;

/**
 * How a whole is divided among those who want some of it: weighted max-min fair (progressive filling, Bertsekas and
 * Gallager, Data Networks, 6.5.2), with a floor for each that asks and something kept back for those that come.
 * <pre>
 *   want i = max(wish i, floor), and nothing where wish i is
 *   part i = min(want i, max(floor, level * weight i)), with the highest level at which the parts sum to no more than
 *            whole - reserve
 * </pre>
 * So the weights, the worth of what each would use its part for, count only where the whole is short: where the wants sum
 * to no more, each has all of its want. Where not even the floors fit, each has an even part, whatever its weight.
 *
 * <p>In whole units, since a broken one is worth nothing: what the level leaves over goes, at most one unit (times the
 * weight) each, to those who come first. Whoever has none of a page server's places is told so, and that is enough: its
 * choice leaves that server out and goes to those where it has some, and who comes first is who has the fewest of all
 * others ({@link BudgetDesk}), so nobody is left with none anywhere while there are as many places as members.
 *
 * <p><b>How far from the fair division, after how long.</b> {@link #next} moves only what has to be moved. Once what has
 * been taken is given back, with wishes that stand still:
 * <pre>
 *   part i >= fair i                  of a count
 *   part i >= fair i (1 - 1 / slack)  of a rate, and its part of the burst
 * </pre>
 * and above its fair part is only what nobody else is below theirs for. What is free is there with the entry of the
 * division (at most 100 ms and a round after the wish came in), what is taken from another once its uses fit: after its
 * next renewal and the longest use, or, where it is gone, after L + U and the bound on clocks. A wish that falls counts
 * for {@code hold} more ({@link Wishes}): wishes that come back within that move nothing.
 *
 * <p>Costs O(n log n) and, where the whole is short, a pass over n for each binary digit of the level.
 */
public final class Division {
    /** A weight of one. */
    public static final int NORMAL = 1000;
    private static final int MOST_WEIGHT = 1_000_000;

    /**
     * How a budget is to be divided.
     *
     * @param floor for each member that lives and wishes for any; in uses, of a rate in thousandths a second
     * @param reserve kept for those that come, until they are there
     * @param hold for so long a wish counts that has fallen
     */
    public record Terms(long floor, long reserve, Duration hold) {
        public static final Terms NONE = new Terms(0, 0, Duration.ZERO);
    }

    /**
     * Who wants how much.
     *
     * @param wish at least 0
     * @param weight in thousandths; {@link #NORMAL} where all are worth the same
     * @param first who comes first where units are left that do not do for all: the least goes before
     */
    public record Claim(long wish, int weight, long first) {
        public Claim {
            weight = Math.max(1, Math.min(MOST_WEIGHT, weight));
        }

        /** At most so much. */
        long at(double level, long floor) {
            return Math.min(want(floor), Math.max(floor, (long) Math.floor(level * weight / NORMAL)));
        }

        /** Who wishes for none has none. */
        long want(long floor) {
            return wish == 0 ? 0 : Math.max(wish, floor);
        }
    }

    /** @param whole at least 0, without what is to be kept back */
    public static long[] fair(long whole, List<Claim> claims, long wantedFloor) {
        int n = claims.size();
        long floor = Math.min(wantedFloor, whole / Math.max(1, claims.stream().filter(c -> c.wish() > 0).count()));
        long[] wants = claims.stream().mapToLong(c -> c.want(floor)).toArray();
        if (Arrays.stream(wants).sum() <= whole) {
            return wants;
        }
        long level = level(whole, claims, floor);
        long[] parts = claims.stream().mapToLong(c -> c.at(level, floor)).toArray();
        long left = whole - Arrays.stream(parts).sum();
        int[] order = IntStream.range(0, n).boxed().sorted(Comparator.comparingLong(i -> claims.get(i).first()))
                .mapToInt(i -> i).toArray();
        for (int i : order) {
            long more = Math.min(left, claims.get(i).at(level + 1, floor) - parts[i]);
            parts[i] += more;
            left -= more;
        }
        return parts;
    }

    /** The highest one at which the parts fit. */
    private static long level(long whole, List<Claim> claims, long floor) {
        long fits = 0;
        long most = Math.min(whole, claims.stream().mapToLong(Claim::wish).max().orElse(0));
        long tooHigh = 1 + (long) Math.ceil((double) most * NORMAL / claims.stream().mapToInt(Claim::weight).min().orElse(1));
        while (tooHigh - fits > 1) {
            long middle = fits + (tooHigh - fits) / 2;
            long sum = 0;
            for (Claim c : claims) {
                sum += c.at(middle, floor);
            }
            if (sum <= whole) {
                fits = middle;
            } else {
                tooHigh = middle;
            }
        }
        return fits;
    }

    private Division() { }

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
