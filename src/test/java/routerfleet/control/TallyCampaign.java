package routerfleet.control;

import java.util.EnumSet;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;

/**
 * Runs many {@link TallySimulation}s on a number of threads. Arguments: tolerated losses, first seed, count, threads, and
 * optionally an injected fault; or {@code trace}, tolerated losses and a seed; or {@code planted} and the maximum number
 * of runs. Prints the violations found, and for the first {@value #MAX_MINIMIZED} of them a minimal set of faults that
 * causes them.
 */
final class TallyCampaign {
    private static final int MAX_MINIMIZED = 3;

    /** Faults of the disk itself, which affect tallies too. */
    private static final Set<InjectedFault> DISK_FAULTS =
            EnumSet.of(InjectedFault.SYNC_DOES_NOTHING, InjectedFault.FOLDER_IS_NOT_SYNCED);

    private TallyCampaign() { }

    public static void main(String[] arguments) throws InterruptedException {
        if (arguments[0].equals("trace")) {
            trace(Integer.parseInt(arguments[1]), Long.parseLong(arguments[2]));
            return;
        }
        if (arguments[0].equals("planted")) {
            findInjectedFaults(Integer.parseInt(arguments[1]));
            return;
        }
        int tolerated = Integer.parseInt(arguments[0]);
        long first = Long.parseLong(arguments[1]);
        int count = Integer.parseInt(arguments[2]);
        InjectedFault fault = arguments.length > 4 ? InjectedFault.valueOf(arguments[4]) : InjectedFault.NONE;
        AtomicInteger failures = new AtomicInteger();
        AtomicLong next = new AtomicLong(first);
        Thread[] all = IntStream.range(0, Integer.parseInt(arguments[3])).mapToObj(i -> new Thread(() -> {
            for (long seed = next.getAndIncrement(); seed < first + count; seed = next.getAndIncrement()) {
                runSeed(seed, tolerated, fault, failures);
            }
        })).toArray(Thread[]::new);
        for (Thread thread : all) {
            thread.start();
        }
        for (Thread thread : all) {
            thread.join();
        }
        System.out.println(count + " runs that tolerate " + tolerated + " losses, from seed " + first + ", fault " + fault
                + ": " + failures + " broken");
        System.exit(failures.get() == 0 ? 0 : 1);
    }

    /**
     * Prints for each injected fault the first run that detects it.
     *
     * @param maxRuns maximum number of runs with three nodes, and then with five
     */
    private static void findInjectedFaults(int maxRuns) {
        for (InjectedFault fault : InjectedFault.values()) {
            if (fault.isTallyFault() || DISK_FAULTS.contains(fault)) {
                String detection = firstDetection(fault, 1, maxRuns);
                System.out.println(fault + " | " + (detection != null ? detection : firstDetection(fault, 2, maxRuns)));
            }
        }
    }

    private static String firstDetection(InjectedFault fault, int tolerated, int maxRuns) {
        for (int seed = 1; seed <= maxRuns; seed++) {
            String violation = violation(seed, tolerated, TallySimulation.plan(seed), fault);
            if (violation != null && violation(seed, tolerated, TallySimulation.plan(seed), InjectedFault.NONE) == null) {
                return (2 * tolerated + 1) + " nodes, run " + seed + ": " + violation;
            }
        }
        return null;
    }

    private static void runSeed(long seed, int tolerated, InjectedFault fault, AtomicInteger failures) {
        TallyFaultPlan plan = TallySimulation.plan(seed);
        String violation = violation(seed, tolerated, plan, fault);
        if (violation == null) {
            return;
        }
        System.out.println("seed " + seed + ": " + violation);
        if (failures.incrementAndGet() <= MAX_MINIMIZED) {
            TallyFaultPlan minimal = minimize(seed, tolerated, plan, fault);
            System.out.println("seed " + seed + " still with: " + violation(seed, tolerated, minimal, fault) + "\n  "
                    + minimal.faults());
        }
    }

    /** Prints one run with a minimal set of faults that makes it fail, and when each fault began and ended. */
    private static void trace(int tolerated, long seed) {
        TallyFaultPlan minimal = minimize(seed, tolerated, TallySimulation.plan(seed), InjectedFault.NONE);
        minimal.faults().forEach(System.out::println);
        TallySimulation simulation = new TallySimulation(seed, tolerated, minimal, InjectedFault.NONE);
        String violation = String.valueOf(simulation.run());
        System.out.println(violation);
        simulation.history().adds.stream().filter(a -> violation.contains(" " + a + " ")
                || violation.contains(" " + a + ","))
                .forEach(a -> a.attempts.forEach(t -> System.out.println(a + ": " + t)));
        simulation.machines().forEach(m -> System.out.println(m.zone() + " " + m.describe()));
        simulation.history().disruptions.forEach(System.out::println);
    }

    private static String violation(long seed, int tolerated, TallyFaultPlan plan, InjectedFault fault) {
        try {
            return new TallySimulation(seed, tolerated, plan, fault).run();
        } catch (RuntimeException e) {
            return "failed: " + e;
        }
    }

    private static TallyFaultPlan minimize(long seed, int tolerated, TallyFaultPlan plan, InjectedFault fault) {
        TallyFaultPlan minimal = plan;
        for (TallyFaultPlan.Fault candidate : plan.faults()) {
            TallyFaultPlan fewer = minimal.without(candidate);
            if (violation(seed, tolerated, fewer, fault) != null) {
                minimal = fewer;
            }
        }
        return minimal;
    }
}
