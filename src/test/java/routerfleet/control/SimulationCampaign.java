package routerfleet.control;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;

/**
 * Many simulated control planes, one after the other on each of so many threads. Arguments: tolerated losses, first seed,
 * count, threads, and a planted fault where there is to be one. Prints what was found, with the fewest faults that bring it
 * about.
 */
final class SimulationCampaign {
    private SimulationCampaign() { }

    public static void main(String[] arguments) throws InterruptedException {
        if (arguments[0].equals("trace")) {
            trace(Integer.parseInt(arguments[1]), Long.parseLong(arguments[2]), Long.parseLong(arguments[3]));
            return;
        }
        if (arguments[0].equals("planted")) {
            findPlanted(Integer.parseInt(arguments[1]), Integer.parseInt(arguments[2]));
            return;
        }
        int tolerated = Integer.parseInt(arguments[0]);
        long first = Long.parseLong(arguments[1]);
        int count = Integer.parseInt(arguments[2]);
        int threads = Integer.parseInt(arguments[3]);
        InjectedFault fault = arguments.length > 4 ? InjectedFault.valueOf(arguments[4]) : InjectedFault.NONE;
        AtomicInteger broken = new AtomicInteger();
        AtomicLong next = new AtomicLong(first);
        List<Thread> all = IntStream.range(0, threads).mapToObj(i -> new Thread(() -> {
            for (long seed = next.getAndIncrement(); seed < first + count; seed = next.getAndIncrement()) {
                play(seed, tolerated, fault, broken);
            }
        })).toList();
        all.forEach(Thread::start);
        for (Thread thread : all) {
            thread.join();
        }
        System.out.println(count + " runs that tolerate " + tolerated + " losses, from seed " + first + ", fault " + fault
                + ": " + broken + " broken");
        System.exit(broken.get() == 0 ? 0 : 1);
    }

    /** Shows one run with the fewest faults that break it. */
    private static void trace(int tolerated, long seed, long everyMs) {
        FaultPlan fewest = shrunk(seed, tolerated, ControlPlaneSimulation.randomPlan(seed), InjectedFault.NONE);
        fewest.faults().forEach(System.out::println);
        System.out.println(new ControlPlaneSimulation(seed, tolerated, fewest, InjectedFault.NONE).withTrace(everyMs).run());
    }

    /** Says of each planted fault in which run it is found first. @param most runs of three replicas, then of five */
    private static void findPlanted(int most, int threads) throws InterruptedException {
        AtomicInteger next = new AtomicInteger(1);
        List<Thread> all = IntStream.range(0, threads).mapToObj(i -> new Thread(() -> {
            for (int f = next.getAndIncrement(); f < InjectedFault.values().length; f = next.getAndIncrement()) {
                InjectedFault fault = InjectedFault.values()[f];
                if (fault.isTallyFault()) {
                    continue;
                }
                String found = found(fault, 1, most);
                System.out.println(fault + " | " + (found != null ? found : found(fault, 2, most)));
            }
        })).toList();
        all.forEach(Thread::start);
        for (Thread thread : all) {
            thread.join();
        }
    }

    private static String found(InjectedFault fault, int tolerated, int most) {
        for (int seed = 1; seed <= most; seed++) {
            String wrong = wrong(seed, tolerated, ControlPlaneSimulation.randomPlan(seed), fault);
            if (wrong != null) {
                return (2 * tolerated + 1) + " replicas, run " + seed + ": " + wrong;
            }
        }
        return null;
    }

    private static void play(long seed, int tolerated, InjectedFault fault, AtomicInteger broken) {
        FaultPlan plan = ControlPlaneSimulation.randomPlan(seed);
        String wrong = wrong(seed, tolerated, plan, fault);
        if (wrong != null && broken.incrementAndGet() <= 3) {
            FaultPlan fewest = shrunk(seed, tolerated, plan, fault);
            System.out.println("seed " + seed + ": " + wrong + "\n  still with: " + wrong(seed, tolerated, fewest, fault)
                    + "\n  " + fewest.faults());
        } else if (wrong != null) {
            System.out.println("seed " + seed + ": " + wrong);
        }
    }

    private static String wrong(long seed, int tolerated, FaultPlan plan, InjectedFault fault) {
        try {
            return new ControlPlaneSimulation(seed, tolerated, plan, fault).run();
        } catch (RuntimeException e) {
            return "failed: " + e;
        }
    }

    private static FaultPlan shrunk(long seed, int tolerated, FaultPlan plan, InjectedFault fault) {
        FaultPlan fewest = plan;
        for (FaultPlan.Fault left : plan.faults()) {
            FaultPlan fewer = fewest.without(left);
            if (wrong(seed, tolerated, fewer, fault) != null) {
                fewest = fewer;
            }
        }
        return fewest;
    }
}
