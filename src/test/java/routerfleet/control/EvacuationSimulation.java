package routerfleet.control;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import routerfleet.data.ControlClientProbe;
import routerfleet.demo.Configurations;
import routerfleet.settings.Bounds;
import routerfleet.settings.HostPort;
import routerfleet.settings.LocalSettings;
import routerfleet.simulation.SimulatedNetwork;
import routerfleet.simulation.VirtualProcess;
import routerfleet.simulation.VirtualWorld;
import routerfleet.wire.PeerCodec;

/**
 * Simulates operators that start and end evacuations, in virtual time, with five control nodes and two data nodes.
 * Injected faults: partitions in one or both directions, kills, pauses, lost disks, a power loss of all machines. What
 * readers and data nodes see is checked against {@link EvacuationHistory}.
 */
final class EvacuationSimulation {
    private static final PeerCodec CODEC = new PeerCodec();
    private static final Set<String> ZONES = Set.of("a", "b", "c");
    private static final List<String> EVACUATED = List.of("a", "b");
    private static final int CONTROL_NODES = 5;
    private static final int DATA_NODES = 2;
    private static final long FAULTS_FROM_MS = 3_000;
    private static final long FAULTS_TO_MS = 20_000;
    private static final long END_MS = 32_000;
    private static final long RESEND_MS = 5_000;
    private static final long CALM_MS = 3_000;
    private static final long EFFECT_MS = 1_500;
    private static final long CATCH_UP_MS = 5_000;
    private static final long MS = 1_000_000;
    private static final long DISK_MS = 2;
    private static final long SLOW_DISK_MS = 30;

    private final VirtualWorld world = new VirtualWorld();
    private final EvacuationHistory history = new EvacuationHistory();
    private final SplittableRandom random;
    private final SimulatedNetwork network;
    private final SimulatedHttp http;
    private final List<SimulatedMachine> machines = new ArrayList<>();
    private final List<DataNodeMachine> nodes = new ArrayList<>();
    private String violation;
    private int sequence;
    private int activeFaults;
    private boolean powerFailsAtNextAck;
    private long healthySinceMs;
    private long lastWipeMs = -CATCH_UP_MS;

    /** A machine that runs a data node's control client. */
    private final class DataNodeMachine {
        private final String ip;
        private VirtualProcess process;
        private ControlClientProbe client;
        private long startedMs;

        DataNodeMachine(String ip) {
            this.ip = ip;
        }

        void start() {
            startedMs = world.nowMs();
            VirtualProcess newProcess = new VirtualProcess(world, random.nextLong() >> 2, () -> { });
            process = newProcess;
            LocalSettings settings = new LocalSettings("data-" + ip, ip, "c", null, null, null,
                    SimulatedMachine.INTERNAL_PORT, seeds(), true, null, SimulatedMachine.HEARTBEAT_MS,
                    CONTROL_NODES / 2, 0, ZONES, Bounds.defaults());
            newProcess.execute(
                    () -> client = new ControlClientProbe(settings, newProcess, network.of(ip, newProcess), CODEC));
        }

        void restart(long afterMs) {
            process.kill();
            network.killed(ip, process);
            client = null;
            world.afterMs(afterMs, this::start);
        }
    }

    EvacuationSimulation(long seed, InjectedFault fault) {
        random = new SplittableRandom(seed);
        network = new SimulatedNetwork(world, random.nextLong(), CODEC);
        http = new SimulatedHttp(world, random.nextLong(), fault);
        SimulatedMachine.Environment surroundings = new SimulatedMachine.Environment(world, network, CODEC,
                CONTROL_NODES / 2, fault);
        for (int i = 1; i <= CONTROL_NODES; i++) {
            machines.add(new SimulatedMachine("10.0.0." + i, new SimulatedMachine.Location("abcab".substring(i - 1, i), 0,
                    ZONES), surroundings, random.nextLong()));
        }
        for (int i = 1; i <= DATA_NODES; i++) {
            nodes.add(new DataNodeMachine("10.0.9." + i));
        }
    }

    private List<HostPort> seeds() {
        return machines.stream().limit(3).map(m -> new HostPort(m.ip, SimulatedMachine.INTERNAL_PORT)).toList();
    }

    private void begin() {
        machines.forEach(m -> world.afterMs(random.nextInt(300), () -> m.start(true, seeds())));
        nodes.forEach(n -> world.afterMs(random.nextInt(300), n::start));
        world.afterMs(1_000, () -> post("/rowanplank/config/replace", Configurations.whole(1), "0"));
        world.afterMs(1_000, this::heartbeat);
    }

    /** Runs the simulation. @return the first violation; null if there was none */
    String run() {
        begin();
        EVACUATED.forEach(zone -> world.afterMs(1_500 + random.nextInt(500), () -> sendNextRequest(zone)));
        world.afterMs(1_500, this::read);
        world.afterMs(1_500, this::check);
        world.afterMs(FAULTS_FROM_MS, this::injectFault);
        world.runUntilMs(END_MS);
        if (violation == null && history.acknowledged((END_MS - RESEND_MS) * MS) == 0) {
            violation = "nothing is acknowledged after the recovery: "
                    + machines.stream().map(SimulatedMachine::describe).toList();
        }
        return violation;
    }

    int acknowledged() {
        return history.acknowledged(0);
    }

    /**
     * Runs a scenario in which a request is delayed on its way from a follower to the leader, and arrives after later
     * ones.
     *
     * @param earlier requests about a zone, true for a start, that are acknowledged before it
     * @param delayed the delayed request
     * @param later requests that are acknowledged during the delay
     * @param cutNanos when the connection is cut, after the follower was called, in nanoseconds
     * @return whether the zone is evacuated at the end
     */
    boolean evacuatedAfterDelayedRequest(List<Boolean> earlier, boolean delayed, List<Boolean> later, long cutNanos) {
        begin();
        world.runUntilMs(2_500);
        SimulatedMachine leader = machines.stream().filter(m -> m.service().group().isLeader()).findFirst().orElseThrow();
        SimulatedMachine follower = machines.stream().filter(m -> m != leader).findFirst().orElseThrow();
        earlier.forEach(start -> acknowledged(leader, start));
        boolean[] callerConnected = {true};
        ControlHttp.Handler handler = follower.handler();
        follower.process().execute(() -> handler.handle(new ControlHttp.Request("POST", path("a", delayed), null,
                new byte[0], () -> callerConnected[0]), response -> { }));
        world.after(cutNanos, () -> network.cut(follower.ip, leader.ip));
        world.runUntilMs(world.nowMs() + 100);
        callerConnected[0] = false;
        later.forEach(start -> acknowledged(leader, start));
        network.heal(follower.ip, leader.ip);
        world.runUntilMs(world.nowMs() + 3_000);
        return leader.service().group().evacuations().includes("a");
    }

    private void acknowledged(SimulatedMachine machine, boolean start) {
        int[] status = {0};
        String request = SimulatedHttp.request("POST", path("a", start), "", "");
        http.call(machine, request, response -> status[0] = response.status());
        world.runUntilMs(world.nowMs() + 100);
        if (status[0] != 200) {
            throw new IllegalStateException("not acknowledged: " + status[0]);
        }
    }

    private static String path(String zone, boolean start) {
        return "/rowanplank/evacuations/" + zone + (start ? "/start" : "/stop");
    }

    // ---- callers

    private void post(String path, String body, String base) {
        for (SimulatedMachine machine : machines) {
            if (machine.handler() != null) {
                ControlHttp.Handler handler = machine.handler();
                machine.process().execute(() -> handler.handle(new ControlHttp.Request("POST", path, base,
                        body.getBytes(StandardCharsets.UTF_8)), response -> { }));
            }
        }
    }

    private void heartbeat() {
        sequence++;
        for (String zone : EVACUATED) {
            post("/rowanplank/instances/s-" + zone + "/heartbeat", "{\"backend\":\"web\",\"address\":\"10.0.5.1:80\","
                    + "\"zone\":\"" + zone + "\",\"capacity\":8,\"phase\":\"ready\",\"sequence\":" + sequence + "}", null);
        }
        world.afterMs(SimulatedMachine.HEARTBEAT_MS, this::heartbeat);
    }

    private SimulatedMachine randomMachine() {
        return machines.get(random.nextInt(machines.size()));
    }

    /** Sends the next request about a zone, in most cases the opposite of the last one. */
    private void sendNextRequest(String zone) {
        EvacuationHistory.Request last = history.lastAcknowledged(zone);
        boolean opposite = random.nextInt(5) > 0;
        boolean start = last == null ? random.nextBoolean() : last.start() != opposite;
        send(zone, history.recordRequest(zone, start, world.nowNanos()), world.nowMs() + RESEND_MS);
    }

    private void send(String zone, EvacuationHistory.Request request, long untilMs) {
        http.call(randomMachine(), SimulatedHttp.request("POST", path(zone, request.start()), "", ""), response -> {
            if (response.status() == 200) {
                request.acknowledged(world.nowNanos());
                losePowerIfPlanned();
            }
            if (response.status() != 200 && world.nowMs() < untilMs) {
                world.afterMs(20 + random.nextInt(100), () -> send(zone, request, untilMs));
            } else {
                world.afterMs(50 + random.nextInt(random.nextInt(3) == 0 ? 5_000 : 600), () -> sendNextRequest(zone));
            }
        });
    }

    private void read() {
        long sentNanos = world.nowNanos();
        http.call(randomMachine(), SimulatedHttp.request("GET", "/rowanplank/evacuations/get", "", ""), response -> {
            if (response.status() == 200) {
                Set<String> zones = new TreeSet<>();
                EVACUATED.stream().filter(zone -> response.body().contains("\"" + zone + "\"")).forEach(zones::add);
                reportViolation(history.violation(zones, sentNanos, world.nowNanos()));
            }
        });
        world.afterMs(30 + random.nextInt(100), this::read);
    }

    private void reportViolation(String fault) {
        if (violation == null) {
            violation = fault;
        }
    }

    // ---- data nodes

    private void check() {
        long now = world.nowMs();
        if (activeFaults > 0 || !machines.stream().allMatch(SimulatedMachine::isHealthy)) {
            healthySinceMs = now;
        }
        for (DataNodeMachine node : nodes) {
            EVACUATED.forEach(zone -> check(node, zone, now));
        }
        world.afterMs(50, this::check);
    }

    private void check(DataNodeMachine node, String zone, long now) {
        EvacuationHistory.Request request = history.lastAcknowledged(zone);
        if (request == null || node.client == null) {
            return;
        }
        long settledMs = request.acknowledgedNanos() / MS;
        boolean calm = now - Math.max(healthySinceMs, node.startedMs) > CALM_MS && now - settledMs > EFFECT_MS;
        boolean startedSince = node.startedMs > settledMs && node.client.mayServe();
        boolean used = node.client.isListed("s-" + zone);
        if (request.start() && used && (calm || startedSince)) {
            reportViolation(node.ip + " uses the server in " + zone + " " + (now - settledMs)
                    + " ms after its evacuation, at " + now);
        } else if (!request.start() && !used && calm) {
            reportViolation(node.ip + " does not use the server in " + zone + " " + (now - settledMs)
                    + " ms after the end, at " + now);
        }
    }

    // ---- faults

    private void injectFault() {
        if (world.nowMs() >= FAULTS_TO_MS) {
            return;
        }
        SimulatedMachine machine = randomMachine();
        long durationMs = 200 + random.nextInt(3_000);
        switch (random.nextInt(8)) {
            case 0 -> cut(machine.ip, randomMachine().ip, durationMs);
            case 1 -> machines.forEach(other -> cut(machine.ip, other.ip, durationMs));
            case 2 -> nodes.forEach(node -> cut(node.ip, machine.ip, durationMs));
            case 3 -> takeDown(machine, machine::kill, durationMs);
            case 4 -> {
                machine.freeze();
                after(durationMs, machine::unfreeze);
            }
            case 5 -> wipe(machine, durationMs);
            case 6 -> nodes.get(random.nextInt(DATA_NODES)).restart(300);
            default -> {
                powerFailsAtNextAck = random.nextBoolean();
                machines.forEach(each -> each.diskLatencyMs(SLOW_DISK_MS));
                after(durationMs, () -> machines.forEach(each -> each.diskLatencyMs(DISK_MS)));
            }
        }
        world.afterMs(200 + random.nextInt(1_600), this::injectFault);
    }

    /** Makes all machines lose power at the moment when a request is acknowledged, if that is planned. */
    private void losePowerIfPlanned() {
        if (powerFailsAtNextAck) {
            powerFailsAtNextAck = false;
            machines.forEach(machine -> takeDown(machine, machine::losePower, 800));
        }
    }

    private void after(long durationMs, Runnable end) {
        activeFaults++;
        world.afterMs(durationMs, () -> {
            activeFaults--;
            end.run();
        });
    }

    private void cut(String from, String to, long durationMs) {
        if (from.equals(to)) {
            return;
        }
        int ways = random.nextInt(3);
        if (ways < 2) {
            network.cut(from, to);
            after(durationMs, () -> network.heal(from, to));
        }
        if (ways > 0) {
            network.cut(to, from);
            after(durationMs, () -> network.heal(to, from));
        }
    }

    private void takeDown(SimulatedMachine machine, Runnable fault, long durationMs) {
        fault.run();
        after(durationMs, () -> {
            machine.restorePower();
            machine.start(false, seeds());
        });
    }

    /** Wipes a disk, one at a time, and the next one only after the group had time to recover. */
    private void wipe(SimulatedMachine machine, long durationMs) {
        if (world.nowMs() - lastWipeMs > CATCH_UP_MS + 3_200) {
            lastWipeMs = world.nowMs();
            takeDown(machine, machine::wipe, durationMs);
        }
    }
}
