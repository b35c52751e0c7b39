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
 * Operators who evacuate zones and take that back, in virtual time, over five control nodes with two data nodes: cuts in
 * one or both directions, kills, stand-stills, lost disks, a loss of power for all. What readers and data nodes see is
 * compared with {@link EvacuationHistory}.
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
    private static final long IN_FORCE_MS = 1_500;
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
    private final List<Node> nodes = new ArrayList<>();
    private String wrong;
    private int sequence;
    private int troubles;
    private boolean powerFailsAtNextAnswer;
    private long wellSinceMs;
    private long lastWipeMs = -CATCH_UP_MS;

    /** A data node's machine. */
    private final class Node {
        private final String ip;
        private VirtualProcess process;
        private ControlClientProbe client;
        private long startedMs;

        Node(String ip) {
            this.ip = ip;
        }

        void start() {
            startedMs = world.nowMs();
            VirtualProcess life = new VirtualProcess(world, random.nextLong() >> 2, () -> { });
            process = life;
            LocalSettings settings = new LocalSettings("data-" + ip, ip, "c", null, null, null,
                    SimulatedMachine.INTERNAL_PORT, seeds(), true, null, SimulatedMachine.HEARTBEAT_MS,
                    CONTROL_NODES / 2, 0, ZONES, Bounds.defaults());
            life.execute(() -> client = new ControlClientProbe(settings, life, network.of(ip, life), CODEC));
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
            nodes.add(new Node("10.0.9." + i));
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

    /** Plays it. @return the first thing that was wrong; null where nothing was */
    String run() {
        begin();
        EVACUATED.forEach(zone -> world.afterMs(1_500 + random.nextInt(500), () -> order(zone)));
        world.afterMs(1_500, this::read);
        world.afterMs(1_500, this::check);
        world.afterMs(FAULTS_FROM_MS, this::strike);
        world.runUntilMs(END_MS);
        if (wrong == null && history.acknowledged((END_MS - RESEND_MS) * MS) == 0) {
            wrong = "nothing is acknowledged after the recovery: "
                    + machines.stream().map(SimulatedMachine::describe).toList();
        }
        return wrong;
    }

    int acknowledged() {
        return history.acknowledged(0);
    }

    /**
     * An order is held up on its way from a follower to the leader, and comes through after later ones.
     *
     * @param earlier orders about a zone, true for a start, that are acknowledged before it
     * @param heldUp the order
     * @param later orders that are acknowledged while it is held up
     * @param cutNanos when the way is cut, after the follower is called
     * @return whether the zone is evacuated in the end
     */
    boolean evacuatedAfterDelayedRequest(List<Boolean> earlier, boolean heldUp, List<Boolean> later, long cutNanos) {
        begin();
        world.runUntilMs(2_500);
        SimulatedMachine leader = machines.stream().filter(m -> m.service().group().isLeader()).findFirst().orElseThrow();
        SimulatedMachine follower = machines.stream().filter(m -> m != leader).findFirst().orElseThrow();
        earlier.forEach(start -> acknowledged(leader, start));
        boolean[] waits = {true};
        ControlHttp.Handler handler = follower.handler();
        follower.process().execute(() -> handler.handle(new ControlHttp.Request("POST", path("a", heldUp), null,
                new byte[0], () -> waits[0]), answer -> { }));
        world.after(cutNanos, () -> network.cut(follower.ip, leader.ip));
        world.runUntilMs(world.nowMs() + 100);
        waits[0] = false;
        later.forEach(start -> acknowledged(leader, start));
        network.heal(follower.ip, leader.ip);
        world.runUntilMs(world.nowMs() + 3_000);
        return leader.service().group().evacuations().includes("a");
    }

    private void acknowledged(SimulatedMachine machine, boolean start) {
        int[] status = {0};
        String request = SimulatedHttp.request("POST", path("a", start), "", "");
        http.call(machine, request, answer -> status[0] = answer.status());
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
                        body.getBytes(StandardCharsets.UTF_8)), answer -> { }));
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

    private SimulatedMachine any() {
        return machines.get(random.nextInt(machines.size()));
    }

    /** Gives the next order about a zone, most often the opposite of the last one. */
    private void order(String zone) {
        EvacuationHistory.Request last = history.lastAcknowledged(zone);
        boolean opposite = random.nextInt(5) > 0;
        boolean start = last == null ? random.nextBoolean() : last.start() != opposite;
        send(zone, history.recordRequest(zone, start, world.nowNanos()), world.nowMs() + RESEND_MS);
    }

    private void send(String zone, EvacuationHistory.Request order, long untilMs) {
        http.call(any(), SimulatedHttp.request("POST", path(zone, order.start()), "", ""), answer -> {
            if (answer.status() == 200) {
                order.acknowledged(world.nowNanos());
                losePowerIfPlanned();
            }
            if (answer.status() != 200 && world.nowMs() < untilMs) {
                world.afterMs(20 + random.nextInt(100), () -> send(zone, order, untilMs));
            } else {
                world.afterMs(50 + random.nextInt(random.nextInt(3) == 0 ? 5_000 : 600), () -> order(zone));
            }
        });
    }

    private void read() {
        long asked = world.nowNanos();
        http.call(any(), SimulatedHttp.request("GET", "/rowanplank/evacuations/get", "", ""), answer -> {
            if (answer.status() == 200) {
                Set<String> zones = new TreeSet<>();
                EVACUATED.stream().filter(zone -> answer.body().contains("\"" + zone + "\"")).forEach(zones::add);
                found(history.violation(zones, asked, world.nowNanos()));
            }
        });
        world.afterMs(30 + random.nextInt(100), this::read);
    }

    private void found(String fault) {
        if (wrong == null) {
            wrong = fault;
        }
    }

    // ---- data nodes

    private void check() {
        long now = world.nowMs();
        if (troubles > 0 || !machines.stream().allMatch(SimulatedMachine::isHealthy)) {
            wellSinceMs = now;
        }
        for (Node node : nodes) {
            EVACUATED.forEach(zone -> check(node, zone, now));
        }
        world.afterMs(50, this::check);
    }

    private void check(Node node, String zone, long now) {
        EvacuationHistory.Request order = history.lastAcknowledged(zone);
        if (order == null || node.client == null) {
            return;
        }
        long settledMs = order.acknowledgedNanos() / MS;
        boolean calm = now - Math.max(wellSinceMs, node.startedMs) > CALM_MS && now - settledMs > IN_FORCE_MS;
        boolean startedSince = node.startedMs > settledMs && node.client.mayServe();
        boolean used = node.client.isListed("s-" + zone);
        if (order.start() && used && (calm || startedSince)) {
            found(node.ip + " uses the server in " + zone + " " + (now - settledMs) + " ms after its evacuation, at "
                    + now);
        } else if (!order.start() && !used && calm) {
            found(node.ip + " does not use the server in " + zone + " " + (now - settledMs) + " ms after the end, at "
                    + now);
        }
    }

    // ---- faults

    private void strike() {
        if (world.nowMs() >= FAULTS_TO_MS) {
            return;
        }
        SimulatedMachine machine = any();
        long forMs = 200 + random.nextInt(3_000);
        switch (random.nextInt(8)) {
            case 0 -> cut(machine.ip, any().ip, forMs);
            case 1 -> machines.forEach(other -> cut(machine.ip, other.ip, forMs));
            case 2 -> nodes.forEach(node -> cut(node.ip, machine.ip, forMs));
            case 3 -> down(machine, machine::kill, forMs);
            case 4 -> {
                machine.freeze();
                after(forMs, machine::unfreeze);
            }
            case 5 -> wipe(machine, forMs);
            case 6 -> nodes.get(random.nextInt(DATA_NODES)).restart(300);
            default -> {
                powerFailsAtNextAnswer = random.nextBoolean();
                machines.forEach(each -> each.diskLatencyMs(SLOW_DISK_MS));
                after(forMs, () -> machines.forEach(each -> each.diskLatencyMs(DISK_MS)));
            }
        }
        world.afterMs(200 + random.nextInt(1_600), this::strike);
    }

    /** All machines lose power in the moment in which an order is acknowledged. */
    private void losePowerIfPlanned() {
        if (powerFailsAtNextAnswer) {
            powerFailsAtNextAnswer = false;
            machines.forEach(machine -> down(machine, machine::losePower, 800));
        }
    }

    private void after(long forMs, Runnable end) {
        troubles++;
        world.afterMs(forMs, () -> {
            troubles--;
            end.run();
        });
    }

    private void cut(String from, String to, long forMs) {
        if (from.equals(to)) {
            return;
        }
        int ways = random.nextInt(3);
        if (ways < 2) {
            network.cut(from, to);
            after(forMs, () -> network.heal(from, to));
        }
        if (ways > 0) {
            network.cut(to, from);
            after(forMs, () -> network.heal(to, from));
        }
    }

    private void down(SimulatedMachine machine, Runnable fault, long forMs) {
        fault.run();
        after(forMs, () -> {
            machine.restorePower();
            machine.start(false, seeds());
        });
    }

    /** One disk at a time, and the next only once the group has made up for it. */
    private void wipe(SimulatedMachine machine, long forMs) {
        if (world.nowMs() - lastWipeMs > CATCH_UP_MS + 3_200) {
            lastWipeMs = world.nowMs();
            down(machine, machine::wipe, forMs);
        }
    }
}
