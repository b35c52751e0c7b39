package routerfleet.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Which faults strike a simulated core that keeps tallies, and when; drawn beforehand, so that one can be left out. */
record TallyFaultPlan(List<Fault> faults) {
    /** What strikes. Cuts come first: they are drawn more often, and last longer. */
    enum Kind {
        CUT_ZONE, CUT_HALVES, CUT_ONE_WAY, CUT_BRIDGE, CUT_MACHINE,
        KILL, KILL_ALL, POWER, POWER_ZONE, POWER_ALL, POWER_IN_A_WRITE, FREEZE, RESET, WIPE, WIPE_ZONE,
        WIPE_ON_EACH_SIDE, WIPE_AND_POWER, WIPE_AFTER_ACK, DISK_SLOW, DISK_HANGS, DISK_FULL, ANSWERS_LOST, SLOW_LINK;

        private static final int CUTS = CUT_MACHINE.ordinal() + 1;
    }

    /**
     * One fault.
     *
     * @param target which machine or zone, counted over those that are there
     * @param variant chooses among forms of the same
     */
    record Fault(int number, long atMs, Kind kind, int target, long durationMs, int variant) { }

    private static final int LONG_CUT_MS = 18_000;
    private static final int MOST_MS = 6_000;
    /** Most between two faults: where one follows on another, and where each has time to show what it does. */
    private static final int DENSE_MS = 4_000;
    private static final int SPARSE_MS = 20_000;

    /** Draws a plan. */
    static TallyFaultPlan generate(long seed, long fromMs, long untilMs) {
        Random random = new Random(seed);
        List<Fault> faults = new ArrayList<>();
        int pace = random.nextBoolean() ? DENSE_MS / 8 + random.nextInt(DENSE_MS) : DENSE_MS + random.nextInt(SPARSE_MS);
        Kind[] kinds = Kind.values();
        Kind favourite = kinds[random.nextInt(kinds.length)];
        for (long at = fromMs; at < untilMs; at += 50 + random.nextInt(pace)) {
            int lot = random.nextInt(4);
            Kind kind = lot == 0 ? kinds[random.nextInt(Kind.CUTS)]
                    : lot == 1 ? favourite : kinds[random.nextInt(kinds.length)];
            boolean lasts = kind.ordinal() < Kind.CUTS && random.nextBoolean();
            long length = lasts ? LONG_CUT_MS / 2 + random.nextInt(LONG_CUT_MS) : 100 + random.nextInt(MOST_MS);
            faults.add(new Fault(faults.size(), at, kind, random.nextInt(1_000), length, random.nextInt(1_000)));
        }
        return new TallyFaultPlan(faults);
    }

    /** The plan without one of its faults. */
    TallyFaultPlan without(Fault fault) {
        return new TallyFaultPlan(faults.stream().filter(f -> f.number() != fault.number()).toList());
    }
}
