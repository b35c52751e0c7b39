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

/** A machine of a simulated core: its disk, its power, and one life of a control service after the other on it. */
final class SimulatedMachine {
    static final int INTERNAL_PORT = 9_000;
    static final int HEARTBEAT_MS = 400;
    private static final long LOAD_RETRY_MS = 100;

    /** What all machines of a run share. */
    record Environment(VirtualWorld world, SimulatedNetwork network, PeerCodec codec, int toleratedHosts,
            InjectedFault fault) { }

    /** Where a machine stands. @param toleratedZones how many zones may be lost at once */
    record Location(String zone, int toleratedZones, Set<String> zones) {
        static final Location SINGLE_ZONE = new Location("a", 0, Set.of("a"));
    }

    final String ip;
    private final Location place;
    private final Environment surroundings;
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
    /** Its disk was lost, and the group may not have made up for it yet. */
    private boolean diskLossOpen;
    private int lives;
    private UnaryOperator<ControlHttp.Handler> intercepting = UnaryOperator.identity();

    SimulatedMachine(String ip, Environment surroundings, long seed) {
        this(ip, Location.SINGLE_ZONE, surroundings, seed);
    }

    SimulatedMachine(String ip, Location place, Environment surroundings, long seed) {
        this.ip = ip;
        this.place = place;
        this.surroundings = surroundings;
        random = new SplittableRandom(seed);
        newDisk();
    }

    private void newDisk() {
        disk = new SimulatedDisk(new java.util.Random(random.nextLong()),
                surroundings.fault() == InjectedFault.SYNC_DOES_NOTHING,
                surroundings.fault() == InjectedFault.FOLDER_IS_NOT_SYNCED);
    }

    /** Starts a process. @param bootstrap whether the whole system starts for the first time */
    void start(boolean bootstrap, List<HostPort> seeds) {
        if (removed || !powered || isUp()) {
            return;
        }
        frozen = false;
        lives++;
        VirtualProcess life = new VirtualProcess(surroundings.world(), random.nextLong() >> 2, () -> losePower());
        process = life;
        writer = new SimulatedDisk.Writer(surroundings.world(), life);
        writer.setLatencyMs(diskLatencyMs);
        writer.setHanging(diskHangs);
        ReplicaStorage storage = surroundings.fault().storage(disk, life, writer);
        LocalSettings settings = new LocalSettings("core-" + ip, ip, place.zone(), null, null, null, INTERNAL_PORT,
                seeds, bootstrap, Path.of("/"), HEARTBEAT_MS, surroundings.toleratedHosts(), place.toleratedZones(),
                place.zones(), Bounds.defaults());
        RandomGenerator draws = random.split();
        ControlService started = new ControlService(settings, life, surroundings.network().of(ip, life),
                surroundings.codec(), storage, draws, surroundings.fault().serviceFactory(surroundings.toleratedHosts()));
        load(life, started, draws);
    }

    private void load(VirtualProcess life, ControlService started, RandomGenerator draws) {
        life.execute(() -> {
            try {
                started.load(() -> draws.nextLong() >>> 2);
                started.start();
                started.listenToPeers().accept();
                PeerNetwork.Listener dataNodes = started.listenToDataNodes();
                service = started;
                started.runOnceLeaderKnown(() -> {
                    dataNodes.accept();
                    handler = intercepting.apply(surroundings.fault().handler(started::handle));
                });
            } catch (IOException e) {
                life.schedule(() -> load(life, started, draws), LOAD_RETRY_MS, java.util.concurrent.TimeUnit.MILLISECONDS);
            }
        });
    }

    boolean isUp() {
        return process != null && process.isAlive();
    }

    /** Whether it runs and nothing is the matter with it. */
    boolean isHealthy() {
        return isUp() && service != null && !frozen && !diskHangs && diskLatencyMs <= 2;
    }

    /** What an operator would look at. */
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

    /** Who answers HTTP requests; null while nobody does. */
    ControlHttp.Handler handler() {
        return isUp() ? handler : null;
    }

    ControlService service() {
        return service;
    }

    String zone() {
        return place.zone();
    }

    /** How many processes have been started here. */
    int processStarts() {
        return lives;
    }

    /** Lets something else answer requests from the next start on, or look at them. */
    void intercept(UnaryOperator<ControlHttp.Handler> interceptor) {
        intercepting = interceptor;
    }

    /** Ends the process: its machine goes on. */
    void kill() {
        if (isUp()) {
            process.kill();
            surroundings.network().killed(ip, process);
            ended();
        }
    }

    private void ended() {
        process = null;
        service = null;
        handler = null;
        frozen = false;
    }

    /** The power fails: what is not synced may be gone. */
    void losePower() {
        powered = false;
        if (process != null) {
            process.kill();
        }
        surroundings.network().darken(ip);
        ended();
        disk.losePower();
    }

    /** Power again; a process starts by itself. */
    void restorePower() {
        powered = true;
        surroundings.network().lighten(ip);
    }

    /** Loses its power and its disk. */
    void wipe() {
        losePower();
        newDisk();
        diskLossOpen = true;
    }

    /** Is gone for good, with its disk. */
    void remove() {
        losePower();
        removed = true;
    }

    boolean diskLossPending() {
        return diskLossOpen;
    }

    void diskLossPending(boolean open) {
        diskLossOpen = open;
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
