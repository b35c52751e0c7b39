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
 * A whole control plane in virtual time: real control services on simulated machines, data nodes' view of them, operators,
 * readers and servers, and faults of all kinds that the operators' pages name. What its clients saw is judged by
 * {@link HistoryChecker}; in the end all machines are well, and the plane has to serve again.
 */
final class ControlPlaneSimulation {
    static final long FAULTS_FROM_MS = 2_500;
    private static final long FAULTS_MS = 30_000;
    /** After all machines are back, until the plane has to serve. */
    private static final long RECOVERY_MS = 12_000;
    private static final long CHECK_MS = 100;
    /** A lost disk is made up for once everything has been well for so long. */
    private static final long CATCH_UP_MS = 4_000;
    private static final long DRAIN_MS = 2_000;
    private static final long CALM_MS = 3_000;
    private static final int DATA_NODES = 2;
    private static final int FINAL_READS = 4;
    private static final long FINAL_READ_MS = 1_000;
    private static final int FILLER = 40;
    private static final int LARGE_FILLER = 60_000;

    private final VirtualWorld world = new VirtualWorld();
    private final Observations seen = new Observations();
    private final int tolerated;
    private final boolean firstConfigurationUnconfirmed;
    private final SplittableRandom random;
    private final SimulatedMachine.Environment surroundings;
    private final SimulatedNetwork network;
    private final List<SimulatedMachine> machines = new ArrayList<>();
    private final List<DataNode> dataNodes = new ArrayList<>();
    private final SimulatedClients clients;
    private final FaultInjector faults;
    private final Set<String> reported = new HashSet<>();
    private int lastMachine;
    private long wellSinceMs;
    private long faultsEndMs;

    /** A data node's machine. */
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
            newestAtStart = seen.newestAcknowledged();
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
        clients = new SimulatedClients(world, random.nextLong(), http, this::presentMachines, seen, filler,
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

    /** Codecs cost much to make, and are for one thread. */
    private static final ThreadLocal<PeerCodec> CODEC = ThreadLocal.withInitial(PeerCodec::new);

    static FaultPlan randomPlan(long seed) {
        return FaultPlan.random(seed * 31 + 7, FAULTS_FROM_MS, FAULTS_FROM_MS + FAULTS_MS);
    }

    /** Plays it. @return what was wrong, in one line; null where nothing was */
    String run() {
        List<HostPort> founders = seeds();
        machines.forEach(m -> world.afterMs(random.nextInt(300), () -> m.start(true, founders)));
        dataNodes.forEach(n -> world.afterMs(random.nextInt(300), n::start));
        clients.start(2, 2, 3, faultsEndMs + RECOVERY_MS);
        world.afterMs(CHECK_MS, this::check);
        world.runUntilMs(faultsEndMs);
        faults.endAll();
        world.runUntilMs(world.nowMs() + RECOVERY_MS);
        String wrong = HistoryChecker.check(seen);
        return wrong != null ? wrong : served();
    }

    Observations observations() {
        return seen;
    }

    /** Whether the plane takes orders and every member of its group answers reads, now that all are well. */
    private String served() {
        long before = world.nowNanos();
        long newest = seen.newestAcknowledged();
        int readsBefore = seen.reads.size();
        List<HostPort> now = seeds();
        for (int i = 0; i < FINAL_READS; i++) {
            presentMachines().forEach(machine -> clients.readAt(machine, generation -> { }));
            world.runUntilMs(world.nowMs() + FINAL_READ_MS);
        }
        Set<String> readers = new HashSet<>();
        for (Observations.Read read : seen.reads.subList(readsBefore, seen.reads.size())) {
            readers.add(read.node());
        }
        boolean ordered = seen.updates.values().stream().anyMatch(o -> o.acknowledgedNanos() > before - 4_000_000_000L);
        if (readers.size() < 2 * tolerated + 1) {
            return "of " + presentMachines().size() + " only " + readers + " answer reads after the recovery; "
                    + presentMachines().stream().map(SimulatedMachine::describe).toList();
        }
        if (!ordered) {
            return "no order is acknowledged after the recovery; newest " + newest + ", seeds " + now;
        }
        return HistoryChecker.check(seen);
    }

    // ---- machines

    SimulatedMachine addMachine() {
        SimulatedMachine machine = new SimulatedMachine("10.0.0." + ++lastMachine, surroundings, random.nextLong());
        machines.add(machine);
        return machine;
    }

    /** Machines that are not gone for good. */
    List<SimulatedMachine> presentMachines() {
        return machines.stream().filter(m -> !m.isRemoved()).toList();
    }

    /** The first three machines that are not gone for good. */
    List<HostPort> seeds() {
        return presentMachines().stream().limit(3).map(m -> new HostPort(m.ip, SimulatedMachine.INTERNAL_PORT)).toList();
    }

    /** Something has happened that the group has to make up for, though all that are left are well. */
    void markUnhealthy() {
        wellSinceMs = world.nowMs();
    }

    /** Whether one more disk may be lost now. */
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

    /** Prints each node's part in the group from now on, again and again, and each fault: to look into a broken case. */
    ControlPlaneSimulation withTrace(long everyMs) {
        System.out.println(world.nowMs() + " " + machines.stream().filter(m -> !m.isRemoved())
                .map(SimulatedMachine::describe).toList() + " disks lost "
                + machines.stream().filter(SimulatedMachine::diskLossPending).map(m -> m.ip).toList());
        world.afterMs(everyMs, () -> withTrace(everyMs));
        return this;
    }

    private void check() {
        boolean allWell = presentMachines().stream().allMatch(SimulatedMachine::isHealthy) && faults.hasNoActiveFault();
        if (!allWell) {
            wellSinceMs = world.nowMs();
        } else if (world.nowMs() - wellSinceMs >= CATCH_UP_MS) {
            machines.forEach(m -> m.diskLossPending(false));
        }
        for (DataNode node : dataNodes) {
            if (node.client != null) {
                seen.dataNodeStates.add(new Observations.DataNodeState(node.ip, world.nowNanos(), node.client.generation(),
                        node.client.staleMs()));
                checkEndings(node);
                checkServes(node);
            }
        }
        world.afterMs(CHECK_MS, this::check);
    }

    /** A data node that serves knows at least what was acknowledged before it started. */
    private void checkServes(DataNode node) {
        long generation = node.client.generation();
        boolean serves = generation > 0 && (firstConfigurationUnconfirmed || node.client.mayServe());
        if (serves && generation < node.newestAtStart && reported.add(node.ip + node.startedMs)) {
            seen.violations.add(node.ip + " serves by version " + generation + ", and " + node.newestAtStart
                    + " was acknowledged before it started");
        }
    }

    /** What has said that it ends is not used by a data node that is in touch, from a while after it was acknowledged. */
    private void checkEndings(DataNode node) {
        long now = world.nowMs();
        boolean inTouch = now - wellSinceMs >= CALM_MS && now - node.startedMs >= CALM_MS;
        for (SimulatedClients.AcknowledgedEnd ending : clients.acknowledgedEnds()) {
            if (inTouch && now - ending.acknowledgedMs() > DRAIN_MS && node.client.isListed(ending.uid())
                    && reported.add(ending.uid())) {
                seen.violations.add(node.ip + " still uses " + ending.uid() + ", whose end was acknowledged "
                        + (now - ending.acknowledgedMs()) + " ms ago");
            }
        }
    }
}
