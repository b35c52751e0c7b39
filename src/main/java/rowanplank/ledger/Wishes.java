package rowanplank.ledger;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;

/**
 * What one member wishes for of each budget. One that rises counts at once; from when one begins to fall, what counted
 * before counts for {@code hold} more. So wishes that swing within that time move no parts, and what was given up for good
 * is had by others after it.
 *
 * <p>Bound: {@value Budgets#MOST} budgets; of each three numbers and a time.
 */
final class Wishes {
    private static final class One {
        long wish;
        int weight = Division.NORMAL;
        /** Counts until then, where it is more. */
        long peak;
        Instant until;
    }

    private final Map<String, One> all = new TreeMap<>();

    /** @return whether anything is other than before */
    boolean tell(Instant now, String budget, long wish, int weight, Duration hold) {
        One one = all.get(budget);
        boolean changed = one == null || one.wish != wish || one.weight != weight;
        if (one == null) {
            if (all.size() >= Budgets.MOST) {
                all.remove(all.keySet().iterator().next());
            }
            one = new One();
            one.until = now;
            all.put(budget, one);
        }
        long counted = counts(now, one);
        if (wish >= counted) {
            one.peak = wish;
            one.until = now;
        } else if (!now.isBefore(one.until)) { // it begins to fall now
            one.peak = one.wish;
            one.until = now.plus(hold);
        }
        one.wish = wish;
        one.weight = weight;
        return changed;
    }

    private static long counts(Instant now, One one) {
        return now.isBefore(one.until) ? Math.max(one.wish, one.peak) : one.wish;
    }

    /** Whether it takes part in that budget at all. */
    boolean knows(String budget) {
        return all.containsKey(budget);
    }

    long counts(Instant now, String budget) {
        One one = all.get(budget);
        return one == null ? 0 : counts(now, one);
    }

    int weight(String budget) {
        One one = all.get(budget);
        return one == null ? Division.NORMAL : one.weight;
    }

    /** Those that it wishes for now. */
    Collection<String> wanted() {
        return all.entrySet().stream().filter(e -> e.getValue().wish > 0).map(Map.Entry::getKey).toList();
    }

    /** When the next of them counts for less by itself; null where none will. */
    Instant due(Instant now) {
        return all.values().stream().filter(o -> now.isBefore(o.until) && o.peak > o.wish).map(o -> o.until)
                .min(Instant::compareTo).orElse(null);
    }
}
