package routerfleet.control;

import java.util.EnumSet;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;

/**
 * Many {@link TallySimulation}s, one after the other on each of so many threads. Arguments: tolerated losses, first seed,
 * count, threads, and a planted fault where there is to be one; or {@code trace}, tolerated losses and a seed; or
 * {@code planted} and most runs. Prints what was found, with the fewest faults that bring it about.
 */
final class TallyCampaign {
    private static final int MOST_SHRUNK = 3;

    /** Faults of the disk itself, which strike tallies too. */
    private static final Set<InjectedFault> OF_DISKS =
            EnumSet.of(InjectedFault.SYNC_DOES_NOTHING, InjectedFault.FOLDER_IS_NOT_SYNCED);

    private TallyCampaign() { }

    public static void main(String[] arguments) throws InterruptedException {
        if (arguments[0].equals("trace")) {
            trace(Integer.parseInt(arguments[1]), Long.parseLong(arguments[2]));
            return;
        }
        if (arguments[0].equals("planted")) {
            findPlanted(Integer.parseInt(arguments[1]));
            return;
        }
        int tolerated = Integer.parseInt(arguments[0]);
        long first = Long.parseLong(arguments[1]);
        int count = Integer.parseInt(arguments[2]);
        InjectedFault fault = arguments.length > 4 ? InjectedFault.valueOf(arguments[4]) : InjectedFault.NONE;
        AtomicInteger broken = new AtomicInteger();
        AtomicLong next = new AtomicLong(first);
        Thread[] all = IntStream.range(0, Integer.parseInt(arguments[3])).mapToObj(i -> new Thread(() -> {
            for (long seed = next.getAndIncrement(); seed < first + count; seed = next.getAndIncrement()) {
                play(seed, tolerated, fault, broken);
            }
        })).toArray(Thread[]::new);
        for (Thread thread : all) {
            thread.start();
        }
        for (Thread thread : all) {
            thread.join();
        }
        System.out.println(count + " runs that tolerate " + tolerated + " losses, from seed " + first + ", fault " + fault
                + ": " + broken + " broken");
        System.exit(broken.get() == 0 ? 0 : 1);
    }

    /** Says of each planted fault in which run it is found first. @param most runs of three nodes, then of five */
    private static void findPlanted(int most) {
        for (InjectedFault fault : InjectedFault.values()) {
            if (fault.isTallyFault() || OF_DISKS.contains(fault)) {
                String found = found(fault, 1, most);
                System.out.println(fault + " | " + (found != null ? found : found(fault, 2, most)));
            }
        }
    }

    private static String found(InjectedFault fault, int tolerated, int most) {
        for (int seed = 1; seed <= most; seed++) {
            String wrong = wrong(seed, tolerated, TallySimulation.plan(seed), fault);
            if (wrong != null && wrong(seed, tolerated, TallySimulation.plan(seed), InjectedFault.NONE) == null) {
                return (2 * tolerated + 1) + " nodes, run " + seed + ": " + wrong;
            }
        }
        return null;
    }

    private static void play(long seed, int tolerated, InjectedFault fault, AtomicInteger broken) {
        TallyFaultPlan plan = TallySimulation.plan(seed);
        String wrong = wrong(seed, tolerated, plan, fault);
        if (wrong == null) {
            return;
        }
        System.out.println("seed " + seed + ": " + wrong);
        if (broken.incrementAndGet() <= MOST_SHRUNK) {
            TallyFaultPlan fewest = shrunk(seed, tolerated, plan, fault);
            System.out.println("seed " + seed + " still with: " + wrong(seed, tolerated, fewest, fault) + "\n  "
                    + fewest.faults());
        }
    }

    /** Shows one run with the fewest faults that break it, and when each struck and ended. */
    private static void trace(int tolerated, long seed) {
        TallyFaultPlan fewest = shrunk(seed, tolerated, TallySimulation.plan(seed), InjectedFault.NONE);
        fewest.faults().forEach(System.out::println);
        TallySimulation simulation = new TallySimulation(seed, tolerated, fewest, InjectedFault.NONE);
        String wrong = String.valueOf(simulation.run());
        System.out.println(wrong);
        simulation.history().adds.stream().filter(a -> wrong.contains(" " + a + " ") || wrong.contains(" " + a + ","))
                .forEach(a -> a.attempts.forEach(t -> System.out.println(a + ": " + t)));
        simulation.machines().forEach(m -> System.out.println(m.zone() + " " + m.describe()));
        simulation.history().disruptions.forEach(System.out::println);
    }

    private static String wrong(long seed, int tolerated, TallyFaultPlan plan, InjectedFault fault) {
        try {
            return new TallySimulation(seed, tolerated, plan, fault).run();
        } catch (RuntimeException e) {
            return "failed: " + e;
        }
    }

    private static TallyFaultPlan shrunk(long seed, int tolerated, TallyFaultPlan plan, InjectedFault fault) {
        TallyFaultPlan fewest = plan;
        for (TallyFaultPlan.Fault left : plan.faults()) {
            TallyFaultPlan fewer = fewest.without(left);
            if (wrong(seed, tolerated, fewer, fault) != null) {
                fewest = fewer;
            }
        }
        return fewest;
    }
}
