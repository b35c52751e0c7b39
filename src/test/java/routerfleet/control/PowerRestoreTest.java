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
 * How soon data nodes can serve again after all machines have lost power, in virtual time: what the protocol waits for,
 * without the processor time of a start. Servers send their next heartbeat only seconds later.
 */
class PowerRestoreTest {
    private static final int SEEDS = 40;
    private static final int ENDING_SEEDS = 5;
    private static final int CONTROL_NODES = 5;
    private static final int DATA_NODES = 6;
    private static final int SERVERS = 3;
    private static final long LOST_MS = 6_000;
    private static final long BACK_MS = 7_000;
    /** Within this time of the return of power all processes have started. */
    private static final int START_MS = 200;
    private static final long MOST_MS = 4_000;

    private final PeerCodec codec = new PeerCodec();

    /** One fleet, its loss of power and its return. */
    private final class Play {
        private final VirtualWorld world = new VirtualWorld();
        private final SplittableRandom random;
        private final SimulatedNetwork network;
        private final List<SimulatedMachine> machines = new ArrayList<>();
        private final List<ControlClientProbe> nodes = new ArrayList<>();
        private final List<VirtualProcess> processes = new ArrayList<>();
        private boolean heartbeats = true;
        private int sequence;
        private int firstServer = 1;

        Play(long seed) {
            this(seed, InjectedFault.NONE);
        }

        Play(long seed, InjectedFault fault) {
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

        /** Plays a fleet up to its loss of power, and starts all processes again; no heartbeats come from the loss on. */
        void loseAndReturn() {
            begin();
            losePower();
            comeBack();
        }

        private void begin() {
            start(true);
            world.afterMs(1_000, () -> call("/rowanplank/config/replace", Configurations.whole(1), "0"));
            world.afterMs(1_000, this::heartbeat);
            world.runUntilMs(LOST_MS);
            assertThat("serves before the loss", serves(), is(true));
        }

        private void losePower() {
            heartbeats = false;
            machines.forEach(SimulatedMachine::losePower);
            processes.forEach(VirtualProcess::kill);
            nodes.clear();
        }

        private void comeBack() {
            world.runUntilMs(BACK_MS);
            machines.forEach(SimulatedMachine::restorePower);
            start(false);
        }

        /** @return milliseconds from the start of the last process until all data nodes can serve; most where they don't */
        long timeToServe() {
            loseAndReturn();
            for (long at = BACK_MS + START_MS; at < BACK_MS + START_MS + MOST_MS; at++) {
                world.runUntilMs(at);
                if (serves()) {
                    return at - BACK_MS - START_MS;
                }
            }
            return MOST_MS;
        }
    }

    /** Guards an end that was acknowledged: a heartbeat from before it, come late, does not bring the server back. */
    @Test
    void whatHadEndedDoesNotComeBackByALateHeartbeat() {
        for (long seed = 1; seed <= ENDING_SEEDS; seed++) {
            Play play = new Play(seed);
            play.world.afterMs(LOST_MS - 2_500, () -> play.call("/rowanplank/instances/s1/deregister", "", null));
            play.world.afterMs(LOST_MS - 2_500, () -> play.firstServer = 2);
            play.loseAndReturn();
            play.world.runUntilMs(BACK_MS + START_MS + 600);
            play.firstServer = 1;
            play.heartbeats = true;
            play.world.runUntilMs(BACK_MS + START_MS + MOST_MS);
            assertThat("seed " + seed, play.nodes.stream().anyMatch(n -> n.isListed("s1")), is(false));
            assertThat("seed " + seed, play.nodes.stream().allMatch(n -> n.isListed("s2")), is(true));
        }
    }

    /** Whether a server is used again by a late heartbeat, where power fails in the moment its end is acknowledged. */
    private boolean comesBack(long seed, InjectedFault fault) {
        Play play = new Play(seed, fault);
        play.begin();
        play.firstServer = 2;
        SimulatedMachine first = play.machines.get(0);
        first.process().execute(() -> first.handler().handle(
                new ControlHttp.Request("POST", "/rowanplank/instances/s1/deregister", null, new byte[0]),
                answer -> play.world.after(0, play::losePower)));
        play.world.runUntilMs(BACK_MS - 1);
        assertThat("acknowledged", play.heartbeats, is(false));
        play.comeBack();
        play.world.runUntilMs(BACK_MS + START_MS + 600);
        play.firstServer = 1;
        play.heartbeats = true;
        play.world.runUntilMs(BACK_MS + START_MS + MOST_MS);
        return play.nodes.stream().anyMatch(n -> n.isListed("s1"));
    }

    /** Guards an end that was acknowledged at the last moment; an end that is told before it is on disk is found. */
    @Test
    void anEndOutlivesALossOfPowerInTheMomentOfItsAcknowledgement() {
        boolean found = false;
        for (long seed = 1; seed <= ENDING_SEEDS; seed++) {
            assertThat("seed " + seed, comesBack(seed, InjectedFault.NONE), is(false));
            found |= comesBack(seed, InjectedFault.END_TOLD_BEFORE_SYNCED);
        }
        assertThat("the planted fault is found", found, is(true));
    }

    @Test
    void dataNodesServeBeforeServersAreHeardAgain() {
        List<Long> times = new ArrayList<>();
        for (long seed = 1; seed <= SEEDS; seed++) {
            times.add(new Play(seed).timeToServe());
        }
        times.sort(null);
        assertThat("all, in milliseconds: " + times, times.get(SEEDS - 1), is(lessThan(900L)));
        assertThat("half, in milliseconds: " + times, times.get(SEEDS / 2), is(lessThan(120L)));
    }
}
