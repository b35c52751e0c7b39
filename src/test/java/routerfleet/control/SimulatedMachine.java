package routerfleet.control;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.UnaryOperator;
import java.util.random.RandomGenerator;
import routerfleet.settings.Bounds;
import routerfleet.settings.HostPort;
import routerfleet.settings.LocalSettings;
import routerfleet.simulation.SimulatedNetwork;
import routerfleet.simulation.VirtualProcess;
import routerfleet.simulation.VirtualWorld;
import routerfleet.wire.PeerCodec;
import routerfleet.wire.PeerNetwork;

/** A simulated machine with its disk and power supply, on which processes of a control service run one after the other. */
final class SimulatedMachine {
    static final int INTERNAL_PORT = 9_000;
    static final int HEARTBEAT_MS = 400;
    private static final long LOAD_RETRY_MS = 100;

    /** What all machines of a simulation share. */
    record Environment(VirtualWorld world, SimulatedNetwork network, PeerCodec codec, int toleratedHosts,
            InjectedFault fault) { }

    /**
     * The location of a machine.
     *
     * @param toleratedZones how many zones may be lost at once
     * @param zones all zones of the fleet
     */
    record Location(String zone, int toleratedZones, Set<String> zones) {
        static final Location SINGLE_ZONE = new Location("a", 0, Set.of("a"));
    }

    final String ip;
    private final Location location;
    private final Environment environment;
    private final SplittableRandom random;
    private SimulatedDisk disk;
    private SimulatedDisk.Writer writer;
    private VirtualProcess process;
    private ControlService service;
    private ControlHttp.Handler handler;
    private boolean removed;
    private boolean powered = true;
    private boolean frozen;
    private boolean diskHangs;
    private long diskLatencyMs = 2;
    /** Whether its disk was lost and the replica group may not have replaced it yet. */
    private boolean diskLossPending;
    private int processStarts;
    private UnaryOperator<ControlHttp.Handler> handlerInterceptor = UnaryOperator.identity();

    SimulatedMachine(String ip, Environment environment, long seed) {
        this(ip, Location.SINGLE_ZONE, environment, seed);
    }

    SimulatedMachine(String ip, Location location, Environment environment, long seed) {
        this.ip = ip;
        this.location = location;
        this.environment = environment;
        random = new SplittableRandom(seed);
        newDisk();
    }

    private void newDisk() {
        disk = new SimulatedDisk(new java.util.Random(random.nextLong()),
                environment.fault() == InjectedFault.SYNC_DOES_NOTHING,
                environment.fault() == InjectedFault.FOLDER_IS_NOT_SYNCED);
    }

    /**
     * Starts a process, unless one is running or the machine is off.
     *
     * @param bootstrap for the first start of the whole system
     */
    void start(boolean bootstrap, List<HostPort> seeds) {
        if (removed || !powered || isUp()) {
            return;
        }
        frozen = false;
        processStarts++;
        VirtualProcess newProcess = new VirtualProcess(environment.world(), random.nextLong() >> 2, () -> losePower());
        process = newProcess;
        writer = new SimulatedDisk.Writer(environment.world(), newProcess);
        writer.setLatencyMs(diskLatencyMs);
        writer.setHanging(diskHangs);
        ReplicaStorage storage = environment.fault().storage(disk, newProcess, writer);
        LocalSettings settings = new LocalSettings("core-" + ip, ip, location.zone(), null, null, null, INTERNAL_PORT,
                seeds, bootstrap, Path.of("/"), HEARTBEAT_MS, environment.toleratedHosts(), location.toleratedZones(),
                location.zones(), Bounds.defaults());
        RandomGenerator processRandom = random.split();
        ControlService started = new ControlService(settings, newProcess, environment.network().of(ip, newProcess),
                environment.codec(), storage, processRandom,
                environment.fault().serviceFactory(environment.toleratedHosts()));
        load(newProcess, started, processRandom);
    }

    private void load(VirtualProcess newProcess, ControlService started, RandomGenerator processRandom) {
        newProcess.execute(() -> {
            try {
                started.load(() -> processRandom.nextLong() >>> 2);
                started.start();
                started.listenToPeers().accept();
                PeerNetwork.Listener dataNodes = started.listenToDataNodes();
                service = started;
                started.runOnceLeaderKnown(() -> {
                    dataNodes.accept();
                    handler = handlerInterceptor.apply(environment.fault().handler(started::handle));
                });
            } catch (IOException e) {
                newProcess.schedule(() -> load(newProcess, started, processRandom), LOAD_RETRY_MS,
                        java.util.concurrent.TimeUnit.MILLISECONDS);
            }
        });
    }

    boolean isUp() {
        return process != null && process.isAlive();
    }

    /** Whether its process is up and neither the process nor the disk is impaired. */
    boolean isHealthy() {
        return isUp() && service != null && !frozen && !diskHangs && diskLatencyMs <= 2;
    }

    /** The state of its replica in one line, for failure messages. */
    String describe() {
        return ip + (service == null ? " has no service" : " " + service.replica() + " " + service.group().describe());
    }

    boolean isRemoved() {
        return removed;
    }

    boolean isFrozen() {
        return frozen;
    }

    VirtualProcess process() {
        return process;
    }

    SimulatedDisk disk() {
        return disk;
    }

    /** The handler of HTTP requests; null while none are accepted. */
    ControlHttp.Handler handler() {
        return isUp() ? handler : null;
    }

    ControlService service() {
        return service;
    }

    String zone() {
        return location.zone();
    }

    /** How many processes have been started on this machine. */
    int processStarts() {
        return processStarts;
    }

    /** Wraps the HTTP handler from the next process start on. */
    void intercept(UnaryOperator<ControlHttp.Handler> interceptor) {
        handlerInterceptor = interceptor;
    }

    /** Kills the process; the machine keeps running. */
    void kill() {
        if (isUp()) {
            process.kill();
            environment.network().killed(ip, process);
            clearProcess();
        }
    }

    private void clearProcess() {
        process = null;
        service = null;
        handler = null;
        frozen = false;
    }

    /** Cuts the power: the process ends, and unsynced data may be lost. */
    void losePower() {
        powered = false;
        if (process != null) {
            process.kill();
        }
        environment.network().darken(ip);
        clearProcess();
        disk.losePower();
    }

    /** Restores the power without starting a process. */
    void restorePower() {
        powered = true;
        environment.network().lighten(ip);
    }

    /** Cuts the power and replaces the disk by an empty one. */
    void wipe() {
        losePower();
        newDisk();
        diskLossPending = true;
    }

    /** Removes the machine and its disk for good. */
    void remove() {
        losePower();
        removed = true;
    }

    boolean diskLossPending() {
        return diskLossPending;
    }

    void diskLossPending(boolean pending) {
        diskLossPending = pending;
    }

    void freeze() {
        if (isUp()) {
            frozen = true;
            process.freeze();
        }
    }

    void unfreeze() {
        if (frozen) {
            frozen = false;
            process.thaw();
        }
    }

    void diskLatencyMs(long latencyMs) {
        diskLatencyMs = latencyMs;
        if (isUp()) {
            writer.setLatencyMs(latencyMs);
        }
    }

    void diskHangs(boolean hangs) {
        diskHangs = hangs;
        if (isUp()) {
            writer.setHanging(hangs);
        }
    }
}
