package routerfleet.control;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

/** The faults to inject into a simulated control plane, fixed in advance so that single faults can be left out. */
record FaultPlan(List<Fault> faults) {
    /** The kinds of faults; {@link FaultInjector} defines what each of them does. */
    enum Kind {
        KILL, POWER, POWER_IN_A_WRITE, FREEZE, CUT_OFF, CUT_OFF_FROM_ALL, CUT_ONE_WAY, SPLIT, RESET, WIPE, KILL_ALL,
        POWER_ALL, POWER_EVERYTHING, BEHIND, REPLACE, REPLACE_PLANNED, STOP, DISK_SLOW, DISK_HANGS, DISK_FULL, ANSWERS_LOST,
        SLOW_LINK, KILL_DATA_NODE, STRIKE_AFTER_ACK, WIPE_AND_POWER, AT_A_CHANGE,
        AT_AN_ELECTION,
        /** Never part of a random plan, so that the plans of earlier seeds stay the same; used by explicit scenarios. */
        POWER_IN_SNAPSHOTS;

        private static final Kind[] RANDOM_KINDS = Arrays.copyOf(values(), POWER_IN_SNAPSHOTS.ordinal());
    }

    /**
     * One fault.
     *
     * @param number identifies the fault within its plan
     * @param atMs when it is injected, in virtual time
     * @param target index of the machine, modulo the number of present machines
     * @param durationMs how long it lasts
     * @param variant selects a variant of the kind; divisible by 3 to hit the leader, if there is one
     */
    record Fault(int number, long atMs, Kind kind, int target, long durationMs, int variant) {
        /** A copy of this fault with another kind. */
        Fault withKind(Kind other) {
            return new Fault(number, atMs, other, target, durationMs, variant);
        }
    }

    private static final int LONG_DURATION_MS = 20_000;

    /** Creates a random plan. @param seed determines the plan */
    static FaultPlan random(long seed, long fromMs, long untilMs) {
        Random random = new Random(seed);
        List<Fault> faults = new ArrayList<>();
        int maxGapMs = 300 + random.nextInt(3_500);
        Kind frequentKind = Kind.RANDOM_KINDS[random.nextInt(Kind.RANDOM_KINDS.length)];
        for (long at = fromMs; at < untilMs; at += 50 + random.nextInt(maxGapMs)) {
            Kind kind = random.nextInt(3) == 0 ? frequentKind : Kind.RANDOM_KINDS[random.nextInt(Kind.RANDOM_KINDS.length)];
            long durationMs = random.nextInt(8) == 0 ? LONG_DURATION_MS : 100 + random.nextInt(6_000);
            faults.add(new Fault(faults.size(), at, kind, random.nextInt(1_000), durationMs, random.nextInt(1_000)));
        }
        return new FaultPlan(faults);
    }

    /** A copy of the plan without one of its faults. */
    FaultPlan without(Fault fault) {
        return new FaultPlan(faults.stream().filter(f -> f.number() != fault.number()).toList());
    }
}
