package routerfleet.control;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import routerfleet.data.ControlClientProbe;
import routerfleet.settings.Bounds;
import routerfleet.settings.HostPort;
import routerfleet.settings.LocalSettings;
import routerfleet.simulation.SimulatedNetwork;
import routerfleet.simulation.VirtualProcess;
import routerfleet.simulation.VirtualWorld;
import routerfleet.wire.PeerCodec;

/**
 * Simulates a complete control plane in virtual time: real control services on simulated machines, the control clients of
 * data nodes, operators, readers and servers, and all kinds of faults that the operators' documentation names.
 * {@link HistoryChecker} checks what the clients observed. At the end all faults are over, and the control plane has to
 * serve again.
 */
final class ControlPlaneSimulation {
    static final long FAULTS_FROM_MS = 2_500;
    private static final long FAULTS_MS = 30_000;
    /** The time from the end of all faults until the control plane has to serve. */
    private static final long RECOVERY_MS = 12_000;
    private static final long CHECK_MS = 100;
    /** A lost disk counts as replaced once all machines have been healthy for this long. */
    private static final long CATCH_UP_MS = 4_000;
    private static final long DRAIN_MS = 2_000;
    private static final long SETTLED_MS = 3_000;
    private static final int DATA_NODES = 2;
    private static final int FINAL_READS = 4;
    private static final long FINAL_READ_MS = 1_000;
    private static final int FILLER = 40;
    private static final int LARGE_FILLER = 60_000;

    private final VirtualWorld world = new VirtualWorld();
    private final Observations observations = new Observations();
    private final int tolerated;
    private final boolean firstConfigurationUnconfirmed;
    private final SplittableRandom random;
    private final SimulatedMachine.Environment surroundings;
    private final SimulatedNetwork network;
    private final List<SimulatedMachine> machines = new ArrayList<>();
    private final List<DataNode> dataNodes = new ArrayList<>();
    private final SimulatedClients clients;
    private final FaultInjector faults;
    private final Set<String> reportedViolations = new HashSet<>();
    private int machinesCreated;
    private long healthySinceMs;
    private long faultsEndMs;

    /** A data node's machine with its control client. */
    private final class DataNode {
        private final String ip;
        private VirtualProcess process;
        private ControlClientProbe client;
        private long startedMs;
        private long newestAtStart;

        DataNode(String ip) {
            this.ip = ip;
        }

        void start() {
            startedMs = world.nowMs();
            newestAtStart = observations.newestAcknowledged();
            process = new VirtualProcess(world, random.nextLong() >> 2, () -> { });
            LocalSettings settings = new LocalSettings("data-" + ip, ip, "a", null, null, null,
                    SimulatedMachine.INTERNAL_PORT, seeds(), true, null, SimulatedMachine.HEARTBEAT_MS, tolerated, 0,
                    Set.of(), Bounds.defaults());
            VirtualProcess life = process;
            life.execute(() -> client = new ControlClientProbe(settings, life, network.of(ip, life), surroundings.codec()));
        }

        void kill() {
            process.kill();
            network.killed(ip, process);
            client = null;
        }
    }

    ControlPlaneSimulation(long seed, int tolerated, FaultPlan plan, InjectedFault fault) {
        this.tolerated = tolerated;
        firstConfigurationUnconfirmed = fault == InjectedFault.FIRST_CONFIGURATION_UNCONFIRMED;
        random = new SplittableRandom(seed);
        PeerCodec codec = CODEC.get();
        network = new SimulatedNetwork(world, random.nextLong(), codec);
        surroundings = new SimulatedMachine.Environment(world, network, codec, tolerated, fault);
        SimulatedHttp http = new SimulatedHttp(world, random.nextLong(), fault);
        int filler = random.nextInt(8) == 0 ? LARGE_FILLER : FILLER;
        clients = new SimulatedClients(world, random.nextLong(), http, this::presentMachines, observations, filler,
                filler == FILLER && random.nextInt(4) == 0);
        faults = new FaultInjector(this, world, network, http, clients, new Random(random.nextLong()));
        faultsEndMs = FAULTS_FROM_MS + FAULTS_MS;
        for (int i = 0; i < 2 * tolerated + 1 + random.nextInt(2) * random.nextInt(2); i++) {
            addMachine();
        }
        for (int i = 1; i <= DATA_NODES; i++) {
            dataNodes.add(new DataNode("10.0.9." + i));
        }
        plan.faults().forEach(f -> world.afterMs(f.atMs(), () -> faults.inject(f)));
    }

    /** Codecs are expensive to create and not thread-safe. */
    private static final ThreadLocal<PeerCodec> CODEC = ThreadLocal.withInitial(PeerCodec::new);

    static FaultPlan randomPlan(long seed) {
        return FaultPlan.random(seed * 31 + 7, FAULTS_FROM_MS, FAULTS_FROM_MS + FAULTS_MS);
    }

    /** Runs the simulation. @return the first violation, in one line; null if there was none */
    String run() {
        List<HostPort> founders = seeds();
        machines.forEach(m -> world.afterMs(random.nextInt(300), () -> m.start(true, founders)));
        dataNodes.forEach(n -> world.afterMs(random.nextInt(300), n::start));
        clients.start(2, 2, 3, faultsEndMs + RECOVERY_MS);
        world.afterMs(CHECK_MS, this::check);
        world.runUntilMs(faultsEndMs);
        faults.endAll();
        world.runUntilMs(world.nowMs() + RECOVERY_MS);
        String wrong = HistoryChecker.check(observations);
        return wrong != null ? wrong : checkServing();
    }

    Observations observations() {
        return observations;
    }

    /**
     * Checks after the recovery that updates are accepted and enough control nodes answer reads.
     *
     * @return the violation or null
     */
    private String checkServing() {
        long before = world.nowNanos();
        long newest = observations.newestAcknowledged();
        int readsBefore = observations.reads.size();
        List<HostPort> now = seeds();
        for (int i = 0; i < FINAL_READS; i++) {
            presentMachines().forEach(machine -> clients.readAt(machine, generation -> { }));
            world.runUntilMs(world.nowMs() + FINAL_READ_MS);
        }
        Set<String> readers = new HashSet<>();
        for (Observations.Read read : observations.reads.subList(readsBefore, observations.reads.size())) {
            readers.add(read.node());
        }
        boolean updated = observations.updates.values().stream()
                .anyMatch(o -> o.acknowledgedNanos() > before - 4_000_000_000L);
        if (readers.size() < 2 * tolerated + 1) {
            return "of " + presentMachines().size() + " control nodes only " + readers
                    + " answer reads after the recovery; "
                    + presentMachines().stream().map(SimulatedMachine::describe).toList();
        }
        if (!updated) {
            return "no update is acknowledged after the recovery; newest " + newest + ", seeds " + now;
        }
        return HistoryChecker.check(observations);
    }

    // ---- machines

    SimulatedMachine addMachine() {
        SimulatedMachine machine = new SimulatedMachine("10.0.0." + ++machinesCreated, surroundings, random.nextLong());
        machines.add(machine);
        return machine;
    }

    /** The machines that have not been removed for good. */
    List<SimulatedMachine> presentMachines() {
        return machines.stream().filter(m -> !m.isRemoved()).toList();
    }

    /** The addresses of the first three machines that have not been removed for good. */
    List<HostPort> seeds() {
        return presentMachines().stream().limit(3).map(m -> new HostPort(m.ip, SimulatedMachine.INTERNAL_PORT)).toList();
    }

    /**
     * Restarts the time that lost disks need to be replaced, for a loss that the remaining machines' health doesn't show.
     */
    void markUnhealthy() {
        healthySinceMs = world.nowMs();
    }

    /** Whether another disk may be lost now without exceeding the tolerated losses. */
    boolean mayLoseDisk() {
        return machines.stream().filter(SimulatedMachine::diskLossPending).count() < tolerated;
    }

    void restartDataNode(int index, boolean starts) {
        DataNode node = dataNodes.get(index % dataNodes.size());
        if (node.client != null) {
            node.kill();
            if (starts) {
                world.afterMs(500, node::start);
            }
        }
    }

    void startDataNodes() {
        dataNodes.stream().filter(n -> n.client == null && !(n.process != null && n.process.isAlive()))
                .forEach(DataNode::start);
    }

    List<String> dataNodeAddresses() {
        return dataNodes.stream().map(n -> n.ip).toList();
    }

    // ---- regular checks

    /** Prints the state of every replica now and at the given interval, to analyze a failing run. */
    ControlPlaneSimulation withTrace(long everyMs) {
        System.out.println(world.nowMs() + " " + machines.stream().filter(m -> !m.isRemoved())
                .map(SimulatedMachine::describe).toList() + " disks lost "
                + machines.stream().filter(SimulatedMachine::diskLossPending).map(m -> m.ip).toList());
        world.afterMs(everyMs, () -> withTrace(everyMs));
        return this;
    }

    private void check() {
        boolean allHealthy = presentMachines().stream().allMatch(SimulatedMachine::isHealthy) && faults.hasNoActiveFault();
        if (!allHealthy) {
            healthySinceMs = world.nowMs();
        } else if (world.nowMs() - healthySinceMs >= CATCH_UP_MS) {
            machines.forEach(m -> m.diskLossPending(false));
        }
        for (DataNode node : dataNodes) {
            if (node.client != null) {
                observations.dataNodeStates.add(new Observations.DataNodeState(node.ip, world.nowNanos(),
                        node.client.generation(), node.client.staleMs()));
                checkAcknowledgedEnds(node);
                checkServedVersion(node);
            }
        }
        world.afterMs(CHECK_MS, this::check);
    }

    /** A data node must not serve by a version older than the newest one acknowledged before it started. */
    private void checkServedVersion(DataNode node) {
        long generation = node.client.generation();
        boolean serves = generation > 0 && (firstConfigurationUnconfirmed || node.client.mayServe());
        if (serves && generation < node.newestAtStart && reportedViolations.add(node.ip + node.startedMs)) {
            observations.violations.add(node.ip + " serves by version " + generation + ", but " + node.newestAtStart
                    + " was acknowledged before it started");
        }
    }

    /**
     * A connected data node must not list a server any more from {@value #DRAIN_MS} ms after its drain or deregistration
     * was acknowledged.
     */
    private void checkAcknowledgedEnds(DataNode node) {
        long now = world.nowMs();
        boolean isConnected = now - healthySinceMs >= SETTLED_MS && now - node.startedMs >= SETTLED_MS;
        for (SimulatedClients.AcknowledgedEnd ending : clients.acknowledgedEnds()) {
            if (isConnected && now - ending.acknowledgedMs() > DRAIN_MS && node.client.isListed(ending.uid())
                    && reportedViolations.add(ending.uid())) {
                observations.violations.add(node.ip + " still uses " + ending.uid() + ", whose end was acknowledged "
                        + (now - ending.acknowledgedMs()) + " ms ago");
            }
        }
    }
}
