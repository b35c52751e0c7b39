package rowanplank.measure;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.lang.ref.Reference;
import java.util.Arrays;
import java.util.function.Supplier;

/**
 * What this thread has spent: processor time by the system's count, which other work on the machine disturbs little, and
 * bytes that were allocated. The collector and the compiler are threads of their own and are in neither.
 */
record Spent(long nanos, long bytes) {
    private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    private static final int LOOKS = 20_000;
    private static final int BATCHES = 3;
    private static boolean heap = true;

    /** Since the thread began. */
    static Spent now() {
        return new Spent(THREADS.getCurrentThreadCpuTime(), THREADS.getCurrentThreadAllocatedBytes());
    }

    static long nanosNow() {
        return THREADS.getCurrentThreadCpuTime();
    }

    /** By the thread since then. */
    Spent since(Spent then) {
        return new Spent(nanos - then.nanos, bytes - then.bytes);
    }

    /** What a look at the thread's time costs by its own count: to be taken off where each small task is counted. */
    static double nanosOfALook() {
        long[] rounds = new long[5];
        for (int r = 0; r < rounds.length; r++) {
            long from = nanosNow();
            for (int i = 0; i < LOOKS; i++) {
                nanosNow();
            }
            rounds[r] = nanosNow() - from;
        }
        Arrays.sort(rounds);
        return (double) rounds[rounds.length / 2] / LOOKS;
    }

    /**
     * What each of these things takes of the heap: the median of some batches, since what the machine lets go of its own
     * meanwhile falls into one of them.
     */
    static <T> double retained(int copies, Supplier<T> make) {
        if (!heap) {
            return 0;
        }
        Object[][] kept = new Object[BATCHES][copies];
        make.get(); // what is made once, classes above all, is no part of each
        long[] used = new long[BATCHES + 1];
        used[0] = used();
        for (int b = 0; b < BATCHES; b++) {
            for (int i = 0; i < copies; i++) {
                kept[b][i] = make.get();
            }
            used[b + 1] = used();
        }
        double[] each = new double[BATCHES];
        for (int b = 0; b < BATCHES; b++) {
            each[b] = (double) (used[b + 1] - used[b]) / copies;
        }
        Arrays.sort(each);
        Reference.reachabilityFence(kept);
        return each[BATCHES / 2];
    }

    /** Whether the heap is looked at: each look takes a whole collection. Where it is not, nothing is held. */
    static void heap(boolean looks) {
        heap = looks;
    }

    /** Bytes of the heap that are in use, after a collection. */
    static long used() {
        if (!heap) {
            return 0;
        }
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
