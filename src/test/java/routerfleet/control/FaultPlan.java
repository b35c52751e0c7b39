package routerfleet.control;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

/** Which faults strike a simulated control plane, and when; drawn beforehand, so that one can be left out. */
record FaultPlan(List<Fault> faults) {
    /** What strikes. */
    enum Kind {
        KILL, POWER, POWER_IN_A_WRITE, FREEZE, CUT_OFF, CUT_OFF_FROM_ALL, CUT_ONE_WAY, SPLIT, RESET, WIPE, KILL_ALL,
        POWER_ALL, POWER_EVERYTHING, BEHIND, REPLACE, REPLACE_PLANNED, STOP, DISK_SLOW, DISK_HANGS, DISK_FULL, ANSWERS_LOST,
        SLOW_LINK, KILL_DATA_NODE, STRIKE_AFTER_ACK, WIPE_AND_POWER, AT_A_CHANGE,
        AT_AN_ELECTION,
        /** Not drawn, so that a seed's plan stays what it was; scenarios name it. */
        POWER_IN_SNAPSHOTS;

        private static final Kind[] DRAWN = Arrays.copyOf(values(), POWER_IN_SNAPSHOTS.ordinal());
    }

    /**
     * One fault.
     *
     * @param target which machine, counted over those that are there
     * @param variant chooses among forms of the same
     */
    record Fault(int number, long atMs, Kind kind, int target, long durationMs, int variant) {
        /** The same as another kind. */
        Fault withKind(Kind other) {
            return new Fault(number, atMs, other, target, durationMs, variant);
        }
    }

    private static final int LONG_MS = 20_000;

    /** Draws a plan. */
    static FaultPlan random(long seed, long fromMs, long untilMs) {
        Random random = new Random(seed);
        List<Fault> faults = new ArrayList<>();
        int pace = 300 + random.nextInt(3_500);
        Kind favourite = Kind.DRAWN[random.nextInt(Kind.DRAWN.length)];
        for (long at = fromMs; at < untilMs; at += 50 + random.nextInt(pace)) {
            Kind kind = random.nextInt(3) == 0 ? favourite : Kind.DRAWN[random.nextInt(Kind.DRAWN.length)];
            long length = random.nextInt(8) == 0 ? LONG_MS : 100 + random.nextInt(6_000);
            faults.add(new Fault(faults.size(), at, kind, random.nextInt(1_000), length, random.nextInt(1_000)));
        }
        return new FaultPlan(faults);
    }

    /** The plan without one of its faults. */
    FaultPlan without(Fault fault) {
        return new FaultPlan(faults.stream().filter(f -> f.number() != fault.number()).toList());
    }
}
