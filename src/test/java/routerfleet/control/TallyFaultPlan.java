package routerfleet.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * The faults that are injected into a simulated control plane with tallies, and their times; generated in advance, so
 * that single ones can be left out.
 */
record TallyFaultPlan(List<Fault> faults) {
    /** Kind of fault. Partitions come first: they are chosen more often, and last longer. */
    enum Kind {
        CUT_ZONE, CUT_HALVES, CUT_ONE_WAY, CUT_BRIDGE, CUT_MACHINE,
        KILL, KILL_ALL, POWER, POWER_ZONE, POWER_ALL, POWER_IN_A_WRITE, FREEZE, RESET, WIPE, WIPE_ZONE,
        WIPE_ON_EACH_SIDE, WIPE_AND_POWER, WIPE_AFTER_ACK, DISK_SLOW, DISK_HANGS, DISK_FULL, ANSWERS_LOST, SLOW_LINK;

        private static final int CUTS = CUT_MACHINE.ordinal() + 1;
    }

    /**
     * One fault.
     *
     * @param target selects the machine or zone, modulo their number
     * @param durationMs how long it lasts
     * @param variant selects a variant of the same kind
     */
    record Fault(int number, long atMs, Kind kind, int target, long durationMs, int variant) { }

    private static final int LONG_CUT_MS = 18_000;
    private static final int MAX_DURATION_MS = 6_000;
    /**
     * Maximum time between two faults: short in plans whose faults overlap, long in those where each can show its
     * effects.
     */
    private static final int DENSE_INTERVAL_MS = 4_000;
    private static final int SPARSE_INTERVAL_MS = 20_000;

    /** Generates a plan. */
    static TallyFaultPlan generate(long seed, long fromMs, long untilMs) {
        Random random = new Random(seed);
        List<Fault> faults = new ArrayList<>();
        int maxInterval = random.nextBoolean() ? DENSE_INTERVAL_MS / 8 + random.nextInt(DENSE_INTERVAL_MS)
                : DENSE_INTERVAL_MS + random.nextInt(SPARSE_INTERVAL_MS);
        Kind[] kinds = Kind.values();
        Kind frequentKind = kinds[random.nextInt(kinds.length)];
        for (long atMs = fromMs; atMs < untilMs; atMs += 50 + random.nextInt(maxInterval)) {
            int choice = random.nextInt(4);
            Kind kind = choice == 0 ? kinds[random.nextInt(Kind.CUTS)]
                    : choice == 1 ? frequentKind : kinds[random.nextInt(kinds.length)];
            boolean isLong = kind.ordinal() < Kind.CUTS && random.nextBoolean();
            long durationMs = isLong ? LONG_CUT_MS / 2 + random.nextInt(LONG_CUT_MS)
                    : 100 + random.nextInt(MAX_DURATION_MS);
            faults.add(new Fault(faults.size(), atMs, kind, random.nextInt(1_000), durationMs, random.nextInt(1_000)));
        }
        return new TallyFaultPlan(faults);
    }

    /** Returns the plan without one of its faults. */
    TallyFaultPlan without(Fault fault) {
        return new TallyFaultPlan(faults.stream().filter(f -> f.number() != fault.number()).toList());
    }
}
