package routerfleet.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import routerfleet.demo.Configurations;
import routerfleet.data.ControlClientProbe;
import routerfleet.settings.Bounds;
import routerfleet.settings.HostPort;
import routerfleet.settings.LocalSettings;
import routerfleet.simulation.SimulatedNetwork;
import routerfleet.simulation.VirtualProcess;
import routerfleet.simulation.VirtualWorld;
import routerfleet.wire.PeerCodec;

/**
 * Measures how soon data nodes can serve again after all machines have lost power. Virtual time covers the waiting times of
 * the protocol, but not the processor time of a start. Servers send their next heartbeats only seconds later.
 */
class PowerRestoreTest {
    private static final int SEEDS = 40;
    private static final int ENDING_SEEDS = 5;
    private static final int CONTROL_NODES = 5;
    private static final int DATA_NODES = 6;
    private static final int SERVERS = 3;
    private static final long LOSS_MS = 6_000;
    private static final long RESTORED_MS = 7_000;
    /** All processes start within this time after power is restored. */
    private static final int START_MS = 200;
    private static final long MAX_MS = 4_000;

    private final PeerCodec codec = new PeerCodec();

    /** One fleet that loses power and is restarted. */
    private final class FleetRun {
        private final VirtualWorld world = new VirtualWorld();
        private final SplittableRandom random;
        private final SimulatedNetwork network;
        private final List<SimulatedMachine> machines = new ArrayList<>();
        private final List<ControlClientProbe> nodes = new ArrayList<>();
        private final List<VirtualProcess> processes = new ArrayList<>();
        private boolean heartbeats = true;
        private int sequence;
        private int firstServer = 1;

        FleetRun(long seed) {
            this(seed, InjectedFault.NONE);
        }

        FleetRun(long seed, InjectedFault fault) {
            random = new SplittableRandom(seed);
            network = new SimulatedNetwork(world, seed, codec);
            SimulatedMachine.Environment surroundings = new SimulatedMachine.Environment(world, network, codec,
                    CONTROL_NODES / 2, fault);
            for (int i = 1; i <= CONTROL_NODES; i++) {
                machines.add(new SimulatedMachine("10.0.0." + i, surroundings, random.nextLong()));
            }
        }

        private List<HostPort> seeds() {
            return machines.stream().map(m -> new HostPort(m.ip, SimulatedMachine.INTERNAL_PORT)).toList();
        }

        private void start(boolean bootstrap) {
            machines.forEach(m -> world.afterMs(random.nextInt(START_MS), () -> m.start(bootstrap, seeds())));
            for (int i = 1; i <= DATA_NODES; i++) {
                String ip = "10.0.9." + i;
                world.afterMs(random.nextInt(START_MS), () -> startDataNode(ip));
            }
        }

        private void startDataNode(String ip) {
            VirtualProcess process = new VirtualProcess(world, random.nextLong() >> 2, () -> { });
            LocalSettings settings = new LocalSettings("data-" + ip, ip, "a", null, null, null,
                    SimulatedMachine.INTERNAL_PORT, seeds(), true, null, SimulatedMachine.HEARTBEAT_MS,
                    CONTROL_NODES / 2, 0, Set.of(), Bounds.defaults());
            processes.add(process);
            process.execute(() -> nodes.add(new ControlClientProbe(settings, process, network.of(ip, process), codec)));
        }

        private void call(String path, String body, String base) {
            for (SimulatedMachine machine : machines) {
                if (machine.handler() != null) {
                    ControlHttp.Request request = new ControlHttp.Request("POST", path, base,
                            body.getBytes(StandardCharsets.UTF_8));
                    machine.process().execute(() -> machine.handler().handle(request, answer -> { }));
                }
            }
        }

        private void heartbeat() {
            sequence++;
            for (int i = firstServer; heartbeats && i <= SERVERS; i++) {
                call("/rowanplank/instances/s" + i + "/heartbeat", "{\"backend\":\"web\",\"address\":\"10.0.5." + i
                        + ":80\",\"zone\":\"a\",\"capacity\":8,\"phase\":\"ready\",\"sequence\":" + sequence + "}", null);
            }
            world.afterMs(SimulatedMachine.HEARTBEAT_MS, this::heartbeat);
        }

        private boolean serves() {
            return nodes.size() == DATA_NODES && nodes.stream().allMatch(n -> n.mayServe()
                    && n.isListed("s" + firstServer) && n.isListed("s" + SERVERS));
        }

        /** Runs the fleet up to its power loss and restarts all processes; no heartbeats are sent after the loss. */
        void losePowerAndRestart() {
            startAndConfigure();
            losePower();
            restoreAndRestart();
        }

        private void startAndConfigure() {
            start(true);
            world.afterMs(1_000, () -> call("/rowanplank/config/replace", Configurations.whole(1), "0"));
            world.afterMs(1_000, this::heartbeat);
            world.runUntilMs(LOSS_MS);
            assertThat("serves before the loss", serves(), is(true));
        }

        private void losePower() {
            heartbeats = false;
            machines.forEach(SimulatedMachine::losePower);
            processes.forEach(VirtualProcess::kill);
            nodes.clear();
        }

        private void restoreAndRestart() {
            world.runUntilMs(RESTORED_MS);
            machines.forEach(SimulatedMachine::restorePower);
            start(false);
        }

        /**
         * @return milliseconds from the start of the last process until all data nodes can serve; the limit if they don't
         */
        long timeToServe() {
            losePowerAndRestart();
            for (long at = RESTORED_MS + START_MS; at < RESTORED_MS + START_MS + MAX_MS; at++) {
                world.runUntilMs(at);
                if (serves()) {
                    return at - RESTORED_MS - START_MS;
                }
            }
            return MAX_MS;
        }
    }

    /** Guards acknowledged deregistrations: a delayed heartbeat sent before one must not bring the server back. */
    @Test
    void aDeregisteredServerIsNotRestoredByADelayedHeartbeat() {
        for (long seed = 1; seed <= ENDING_SEEDS; seed++) {
            FleetRun run = new FleetRun(seed);
            run.world.afterMs(LOSS_MS - 2_500, () -> run.call("/rowanplank/instances/s1/deregister", "", null));
            run.world.afterMs(LOSS_MS - 2_500, () -> run.firstServer = 2);
            run.losePowerAndRestart();
            run.world.runUntilMs(RESTORED_MS + START_MS + 600);
            run.firstServer = 1;
            run.heartbeats = true;
            run.world.runUntilMs(RESTORED_MS + START_MS + MAX_MS);
            assertThat("seed " + seed, run.nodes.stream().anyMatch(n -> n.isListed("s1")), is(false));
            assertThat("seed " + seed, run.nodes.stream().allMatch(n -> n.isListed("s2")), is(true));
        }
    }

    /** Whether a delayed heartbeat brings a server back if power fails when its deregistration is acknowledged. */
    private boolean isUsedAgain(long seed, InjectedFault fault) {
        FleetRun run = new FleetRun(seed, fault);
        run.startAndConfigure();
        run.firstServer = 2;
        SimulatedMachine first = run.machines.get(0);
        first.process().execute(() -> first.handler().handle(
                new ControlHttp.Request("POST", "/rowanplank/instances/s1/deregister", null, new byte[0]),
                answer -> run.world.after(0, run::losePower)));
        run.world.runUntilMs(RESTORED_MS - 1);
        assertThat("acknowledged", run.heartbeats, is(false));
        run.restoreAndRestart();
        run.world.runUntilMs(RESTORED_MS + START_MS + 600);
        run.firstServer = 1;
        run.heartbeats = true;
        run.world.runUntilMs(RESTORED_MS + START_MS + MAX_MS);
        return run.nodes.stream().anyMatch(n -> n.isListed("s1"));
    }

    /** Guards a deregistration acknowledged just before a power loss; acknowledging it before it is on disk is found. */
    @Test
    void aDeregistrationSurvivesAPowerLossAtItsAcknowledgement() {
        boolean found = false;
        for (long seed = 1; seed <= ENDING_SEEDS; seed++) {
            assertThat("seed " + seed, isUsedAgain(seed, InjectedFault.NONE), is(false));
            found |= isUsedAgain(seed, InjectedFault.END_TOLD_BEFORE_SYNCED);
        }
        assertThat("the injected fault is found", found, is(true));
    }

    @Test
    void dataNodesServeBeforeTheNextHeartbeats() {
        List<Long> times = new ArrayList<>();
        for (long seed = 1; seed <= SEEDS; seed++) {
            times.add(new FleetRun(seed).timeToServe());
        }
        times.sort(null);
        assertThat("all, in milliseconds: " + times, times.get(SEEDS - 1), is(lessThan(900L)));
        assertThat("half, in milliseconds: " + times, times.get(SEEDS / 2), is(lessThan(120L)));
    }
}
