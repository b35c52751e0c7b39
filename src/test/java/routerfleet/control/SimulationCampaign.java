package routerfleet.control;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;

/**
 * Command line program that runs many control plane simulations on several threads. Arguments: tolerated losses, first
 * seed, number of runs, number of threads, and optionally the name of an {@link InjectedFault}. Prints the violations
 * found, the first three with a reduced fault plan that still causes them. Exits with status 1 if there was any.
 *
 * <p>{@code planted RUNS THREADS} prints for each injected fault the first run that finds it. {@code trace TOLERATED SEED
 * INTERVAL_MS} runs one seed with a reduced fault plan and prints the state of the replicas at the given interval.
 */
final class SimulationCampaign {
    private SimulationCampaign() { }

    public static void main(String[] arguments) throws InterruptedException {
        if (arguments[0].equals("trace")) {
            trace(Integer.parseInt(arguments[1]), Long.parseLong(arguments[2]), Long.parseLong(arguments[3]));
            return;
        }
        if (arguments[0].equals("planted")) {
            findInjected(Integer.parseInt(arguments[1]), Integer.parseInt(arguments[2]));
            return;
        }
        int tolerated = Integer.parseInt(arguments[0]);
        long first = Long.parseLong(arguments[1]);
        int count = Integer.parseInt(arguments[2]);
        int threads = Integer.parseInt(arguments[3]);
        InjectedFault fault = arguments.length > 4 ? InjectedFault.valueOf(arguments[4]) : InjectedFault.NONE;
        AtomicInteger broken = new AtomicInteger();
        AtomicLong next = new AtomicLong(first);
        List<Thread> workers = IntStream.range(0, threads).mapToObj(i -> new Thread(() -> {
            for (long seed = next.getAndIncrement(); seed < first + count; seed = next.getAndIncrement()) {
                runSeed(seed, tolerated, fault, broken);
            }
        })).toList();
        workers.forEach(Thread::start);
        for (Thread thread : workers) {
            thread.join();
        }
        System.out.println(count + " runs that tolerate " + tolerated + " losses, from seed " + first + ", fault " + fault
                + ": " + broken + " broken");
        System.exit(broken.get() == 0 ? 0 : 1);
    }

    /** Reduces the fault plan of a failing run and traces that run. */
    private static void trace(int tolerated, long seed, long everyMs) {
        FaultPlan smallest = shrink(seed, tolerated, ControlPlaneSimulation.randomPlan(seed), InjectedFault.NONE);
        smallest.faults().forEach(System.out::println);
        System.out.println(new ControlPlaneSimulation(seed, tolerated, smallest, InjectedFault.NONE).withTrace(everyMs)
                .run());
    }

    /**
     * Prints for each injected fault the first run that finds it.
     *
     * @param maxRuns limit for three replicas, then for five
     */
    private static void findInjected(int maxRuns, int threads) throws InterruptedException {
        AtomicInteger next = new AtomicInteger(1);
        List<Thread> workers = IntStream.range(0, threads).mapToObj(i -> new Thread(() -> {
            for (int f = next.getAndIncrement(); f < InjectedFault.values().length; f = next.getAndIncrement()) {
                InjectedFault fault = InjectedFault.values()[f];
                if (fault.isTallyFault()) {
                    continue;
                }
                String found = findFirst(fault, 1, maxRuns);
                System.out.println(fault + " | " + (found != null ? found : findFirst(fault, 2, maxRuns)));
            }
        })).toList();
        workers.forEach(Thread::start);
        for (Thread thread : workers) {
            thread.join();
        }
    }

    private static String findFirst(InjectedFault fault, int tolerated, int maxRuns) {
        for (int seed = 1; seed <= maxRuns; seed++) {
            String violation = violation(seed, tolerated, ControlPlaneSimulation.randomPlan(seed), fault);
            if (violation != null) {
                return (2 * tolerated + 1) + " replicas, run " + seed + ": " + violation;
            }
        }
        return null;
    }

    private static void runSeed(long seed, int tolerated, InjectedFault fault, AtomicInteger broken) {
        FaultPlan plan = ControlPlaneSimulation.randomPlan(seed);
        String violation = violation(seed, tolerated, plan, fault);
        if (violation != null && broken.incrementAndGet() <= 3) {
            FaultPlan smallest = shrink(seed, tolerated, plan, fault);
            System.out.println("seed " + seed + ": " + violation
                    + "\n  still with: " + violation(seed, tolerated, smallest, fault)
                    + "\n  " + smallest.faults());
        } else if (violation != null) {
            System.out.println("seed " + seed + ": " + violation);
        }
    }

    private static String violation(long seed, int tolerated, FaultPlan plan, InjectedFault fault) {
        try {
            return new ControlPlaneSimulation(seed, tolerated, plan, fault).run();
        } catch (RuntimeException e) {
            return "failed: " + e;
        }
    }

    private static FaultPlan shrink(long seed, int tolerated, FaultPlan plan, InjectedFault fault) {
        FaultPlan smallest = plan;
        for (FaultPlan.Fault omitted : plan.faults()) {
            FaultPlan fewer = smallest.without(omitted);
            if (violation(seed, tolerated, fewer, fault) != null) {
                smallest = fewer;
            }
        }
        return smallest;
    }
}
