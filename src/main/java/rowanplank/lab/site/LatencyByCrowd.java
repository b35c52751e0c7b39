package rowanplank.lab.site;

import java.util.Arrays;
import java.util.Locale;

/**
 * The servers' half of Prequal (Wydrowski, Kleinberg, Rumble, Archer: Load is not what you should balance, NSDI 2024,
 * section 4): each request is tagged with the requests in flight when it came; its latency is kept under that tag; a
 * probe is told the requests in flight now and the median of recent latencies under that number, or under the nearest
 * with any. How many are kept is not published: the newest {@value #KEPT} of each number.
 *
 * <p>Memory: {@value #KEPT} longs for each number of requests in flight that occurred, {@value #MOST} numbers at most;
 * what is above counts as that. A probe costs a look at each number.
 */
final class LatencyByCrowd {
    private static final int KEPT = 16;
    private static final int MOST = 128;

    private final long[][] latencies = new long[MOST][];
    private final int[] counts = new int[MOST];

    /** @param inFlight how many there were when it came; the latency is in nanoseconds */
    void served(int inFlight, long latency) {
        int tag = Math.min(inFlight, MOST - 1);
        if (latencies[tag] == null) {
            latencies[tag] = new long[KEPT];
        }
        latencies[tag][counts[tag]++ % KEPT] = latency;
    }

    /** @return nanoseconds, -1 where nothing was served yet */
    long median(int inFlight) {
        int tag = Math.min(inFlight, MOST - 1);
        for (int away = 0; away < MOST; away++) {
            int known = tag - away >= 0 && counts[tag - away] > 0 ? tag - away : tag + away;
            if (known < MOST && counts[known] > 0) {
                long[] sorted = Arrays.copyOf(latencies[known], Math.min(KEPT, counts[known]));
                Arrays.sort(sorted);
                return sorted[(sorted.length - 1) / 2];
            }
        }
        return -1;
    }

    /** As a probe's answer says it: requests in flight and milliseconds. */
    String text(int inFlight) {
        return String.format(Locale.ROOT, "%d;%.3f", inFlight, median(inFlight) / 1e6);
    }
}
