package rowanplank.measure;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;

/** What the fleet's roles cost each node at several numbers of nodes: members, voters, holders, the order of work, staff. */
final class FleetCapacity {
    private static final Duration LONGEST_NEWS = Duration.ofSeconds(120);
    private static final int CALLS = 50;
    /** Four times the 16 s after which each member asks another one for its list. */
    private static final int AFTER_SECONDS = 64;
    private static final Duration AFTER = Duration.ofSeconds(AFTER_SECONDS);

    /**
     * @param seen at rest
     * @param heldBytes of the heap, a node, all its parts
     * @param statusMicros processor time of a node's status for staff, at the leader
     * @param statusBytes of it
     * @param diskBytes of the leader's log with its last snapshot
     * @param knownMs until all had found out of a death; -1 where it was not looked at
     * @param deathBytes a node and death: that each sent more than at rest within {@value #AFTER_SECONDS} s
     * @param restartBytes the same, of a dead node that comes back
     * @param order the order of work, as staff are told it: milliseconds, bytes, datagrams of all nodes meanwhile; null for none
     */
    record Cost(HollowFleet.Seen seen, double heldBytes, double statusMicros, int statusBytes, long diskBytes, long knownMs,
            double deathBytes, double restartBytes, long[] order) { }

    private FleetCapacity() { }

    /** A fleet that has come to rest. */
    static HollowFleet settled(HollowFleet.Plan plan, Duration settle) {
        HollowFleet fleet = new HollowFleet(plan);
        fleet.pass(settle);
        if (fleet.leader() < 0 || fleet.leastAlive() < plan.nodes() - 1) {
            throw new IllegalStateException("not at rest after " + settle + ": the fewest known are " + fleet.leastAlive()
                    + " of " + plan.nodes() + ", leader " + fleet.leader() + "; " + fleet.lines());
        }
        return fleet;
    }

    /** @param deaths whether a node is killed at the end */
    static Cost measure(HollowFleet.Plan plan, Duration settle, Duration length, boolean deaths) {
        long before = Spent.used();
        HollowFleet fleet = settled(plan, settle);
        double held = (double) (Spent.used() - before) / plan.nodes();
        fleet.count();
        fleet.pass(length);
        HollowFleet.Seen seen = fleet.seen(length);
        int leader = fleet.leader();
        double[] micros = new double[CALLS];
        int bytes = 0;
        for (int i = 0; i < CALLS; i++) {
            Spent from = Spent.now();
            bytes = fleet.status(leader).toString().length();
            micros[i] = Spent.now().since(from).nanos() / 1e3;
        }
        long[] order = plan.work() ? fleet.work(plan.nodes() - 1) : null;
        long known = -1;
        double deathBytes = 0;
        double restartBytes = 0;
        if (deaths) {
            int last = plan.nodes() - 1;
            double rest = bytesOf(fleet, AFTER);
            fleet.count();
            fleet.kill(last);
            known = fleet.until(List.of(last), "dead", LONGEST_NEWS);
            fleet.pass(AFTER.minusMillis(Math.min(Math.max(0, known), AFTER.toMillis())));
            deathBytes = (fleet.bytesOfAll() - rest) / plan.nodes();
            fleet.startAgain(last);
            restartBytes = (bytesOf(fleet, AFTER) - rest) / plan.nodes();
        }
        return new Cost(seen, held, ModuleCapacity.median(micros), bytes, fleet.diskBytes(leader), known, deathBytes, restartBytes, order);
    }

    private static double bytesOf(HollowFleet fleet, Duration time) {
        fleet.count();
        fleet.pass(time);
        return fleet.bytesOfAll();
    }

    /** @return milliseconds until all know of a whole zone's death, and until all know of its return; the most of any */
    static long[] zone(HollowFleet.Plan plan, Duration settle, int zones) {
        HollowFleet fleet = settled(plan, settle);
        List<Integer> lost = IntStream.range(plan.voters(), plan.nodes()).filter(n -> n % zones == 0).boxed().toList();
        lost.forEach(fleet::kill);
        long dead = fleet.until(lost, "dead", LONGEST_NEWS);
        lost.forEach(fleet::startAgain);
        return new long[] {lost.size(), dead, fleet.until(lost, "alive", LONGEST_NEWS)};
    }
}
