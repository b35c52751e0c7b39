package routerfleet.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import routerfleet.settings.HostPort;
import routerfleet.simulation.SimulatedNetwork;
import routerfleet.simulation.VirtualWorld;
import routerfleet.wire.PeerCodec;

/**
 * Simulates a control plane in several zones in virtual time, applications in each zone that use tallies, and long
 * partitions, losses of disks and power, and other faults. The control services are real, and accessed through their HTTP
 * interface only. What callers observe is checked by {@link TallyHistoryChecker}. At the end all faults are over, in some
 * runs after a final one, and every tally is read at every machine.
 */
final class TallySimulation {
    static final long MERGE_MS = 3_000;
    /**
     * During a lasting partition, time until each machine serves alone what it can't share: it includes the delay after a
     * start, and that after the loss of connections.
     */
    static final long SETTLED_MS = 8_000;
    private static final long FAULTS_FROM_MS = 3_000;
    private static final long FAULTS_MS = 40_000;
    private static final long RECOVERY_MS = 15_000;
    /** Time without adds before the final reads. */
    private static final long QUIET_MS = 5_000;
    private static final long CALM_MS = 4_000;
    private static final long CHECK_MS = 100;
    private static final long LAST_READS_MS = 2_000;

    private final VirtualWorld world = new VirtualWorld();
    private final TallyHistory history = new TallyHistory();
    private final int tolerated;
    private final SplittableRandom random;
    private final List<SimulatedMachine> machines = new ArrayList<>();
    private final List<String> zones;
    private final TallyClients clients;
    private final TallyFaultInjector faults;
    private final boolean endsWithFault;
    private long healthySinceMs;

    private static final ThreadLocal<PeerCodec> CODEC = ThreadLocal.withInitial(PeerCodec::new);

    TallySimulation(long seed, int tolerated, TallyFaultPlan plan, InjectedFault fault) {
        this(seed, tolerated, plan, fault, machine -> UnaryOperator.identity());
    }

    /** @param interceptors wraps the HTTP handler of each machine's control service */
    TallySimulation(long seed, int tolerated, TallyFaultPlan plan, InjectedFault fault,
            Function<SimulatedMachine, UnaryOperator<ControlHttp.Handler>> interceptors) {
        this.tolerated = tolerated;
        random = new SplittableRandom(seed);
        SimulatedNetwork network = new SimulatedNetwork(world, random.nextLong(), CODEC.get());
        SimulatedMachine.Environment surroundings =
                new SimulatedMachine.Environment(world, network, CODEC.get(), tolerated, fault);
        // the links are those of the fault injector, which needs the clients
        TallyFaultInjector[] links = new TallyFaultInjector[1];
        SimulatedHttp http = new SimulatedHttp(world, random.nextLong(), fault, (from, to) -> links[0].canReach(from, to));
        clients = new TallyClients(world, random.nextLong(), http, this::machines, history);
        faults = new TallyFaultInjector(this, world, network, http, clients, history, new Random(random.nextLong()));
        links[0] = faults;
        zones = chooseZones();
        for (int i = 0; i < 2 * tolerated + 1; i++) {
            SimulatedMachine.Location place =
                    new SimulatedMachine.Location(zones.get(i % zones.size()), 1, Set.copyOf(zones));
            SimulatedMachine machine =
                    new SimulatedMachine("10.0.0." + (i + 1), place, surroundings, random.nextLong());
            machine.intercept(interceptors.apply(machine));
            machines.add(machine);
        }
        endsWithFault = random.nextBoolean();
        plan.faults().forEach(f -> world.afterMs(f.atMs(), () -> faults.inject(f)));
    }

    private List<String> chooseZones() {
        int count = tolerated == 1 ? 3 : 3 + random.nextInt(2);
        return List.of("a", "b", "c", "d").subList(0, count);
    }

    static TallyFaultPlan plan(long seed) {
        return TallyFaultPlan.generate(seed * 37 + 11, FAULTS_FROM_MS, FAULTS_FROM_MS + FAULTS_MS);
    }

    /** Runs the simulation. @return the violation, in one line that begins with a rule; null if there is none */
    String run() {
        history.disruptions.add(new TallyHistory.Disruption("start", false, 0, 0));
        machines.forEach(m -> m.start(true, seeds()));
        clients.start(zones, 2, FAULTS_FROM_MS + FAULTS_MS + RECOVERY_MS - QUIET_MS);
        world.afterMs(CHECK_MS, this::check);
        world.runUntilMs(FAULTS_FROM_MS + FAULTS_MS);
        faults.endAll();
        world.runUntilMs(world.nowMs() + RECOVERY_MS);
        if (endsWithFault) {
            faults.injectFinalFault();
            world.runUntilMs(world.nowMs() + RECOVERY_MS);
        }
        clients.readAllFinally();
        world.runUntilMs(world.nowMs() + LAST_READS_MS);
        return TallyHistoryChecker.check(history, MERGE_MS, SETTLED_MS);
    }

    TallyHistory history() {
        return history;
    }

    List<SimulatedMachine> machines() {
        return machines;
    }

    List<String> zones() {
        return zones;
    }

    int tolerated() {
        return tolerated;
    }

    List<HostPort> seeds() {
        return machines.stream().limit(3).map(m -> new HostPort(m.ip, SimulatedMachine.INTERNAL_PORT)).toList();
    }

    private void check() {
        if (!faults.isIdle() || !machines.stream().allMatch(SimulatedMachine::isHealthy)) {
            healthySinceMs = world.nowMs();
        } else if (world.nowMs() - healthySinceMs >= CALM_MS) {
            faults.lossesRepaired();
        }
        world.afterMs(CHECK_MS, this::check);
    }
}
