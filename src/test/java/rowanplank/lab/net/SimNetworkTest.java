package rowanplank.lab.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.apache.commons.rng.UniformRandomProvider;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Invocable.InvocationType;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import rowanplank.lab.world.World;
import rowanplank.net.Loop;

/** What only a simulated network has: machines that vanish, ways that fail, processes short of something, one seed. */
class SimNetworkTest {
    private static final long MILLI = 1_000_000;
    private static final Duration LONG = Duration.ofSeconds(10);
    /** The latency between the two machines, and so half of what a handshake takes. */
    private static final Duration LATENCY = Duration.ofMillis(1);

    private final Stage.Simulated stage = new Stage.Simulated();
    private final World world = stage.world;
    private final List<String> heard = new ArrayList<>();
    private final List<Probe> accepted = new ArrayList<>();
    private final List<Probe> opened = new ArrayList<>();
    private InetSocketAddress address;

    @BeforeEach
    void listens() throws IOException {
        address = listen(stage.server, 50).address();
    }

    private Loop.Listening listen(SimProcess process, int backlog) throws IOException {
        return process.listen(stage.any(), backlog, e -> {
            accepted.add(new Probe(e, process, true));
            return accepted.get(accepted.size() - 1);
        });
    }

    private Loop.Opening connect(SimProcess process, Duration timeout) {
        return process.connect(address, timeout, new Loop.Connector() {
            @Override
            public Connection connected(EndPoint endPoint) {
                heard.add("connected");
                opened.add(new Probe(endPoint, process, true));
                return opened.get(opened.size() - 1);
            }

            @Override
            public void failed(Throwable cause) {
                heard.add(cause.getMessage());
            }
        });
    }

    private void pass(Duration time) {
        world.runUntil(world.nanos() + time.toNanos());
    }

    private Probe pair() {
        connect(stage.client, LONG);
        pass(LATENCY.multipliedBy(4));
        return opened.get(0);
    }

    private static Stamped stamps(Probe probe) {
        return (Stamped) probe.getEndPoint();
    }

    @Test
    void whatIsSentToASilentMachineComesOnceItIsBackAndSaysWhenItWasSent() {
        Probe client = pair();
        long sent = world.nanos();
        stage.serverMachine.vanish();
        client.write(10);
        pass(Duration.ofSeconds(20));
        assertEquals(0, accepted.get(0).received);
        stage.serverMachine.appear();
        pass(Duration.ofSeconds(20));
        assertEquals(10, accepted.get(0).received);
        assertEquals(sent, stamps(accepted.get(0)).firstByteSentAt());
        assertEquals(sent, stamps(accepted.get(0)).lastByteSentAt());
    }

    @Test
    void aConnectionWhoseProcessDiedInSilenceStaysOpenUntilSomethingIsSent() {
        Probe client = pair();
        stage.serverMachine.vanish();
        long died = world.nanos();
        stage.serverMachine.kill();
        pass(Duration.ofMinutes(1));
        stage.serverMachine.appear();
        pass(Duration.ofMinutes(1));
        assertFalse(client.ended);
        client.write(1);
        pass(LATENCY.multipliedBy(2));
        assertTrue(client.ended);
        assertEquals(died, stamps(client).endSentAt());
    }

    @Test
    void anAddressTakenOverResetsOldConnectionsAndServesNewOnes() throws IOException {
        Probe client = pair();
        SimMachine heir = stage.network.machine("heir", 0, SimNetwork.ip(10, 0, 0, 9));
        heir.takeOver(stage.serverMachine.address());
        List<EndPoint> atHeir = new ArrayList<>();
        SimProcess process = heir.boot(Process.unbounded("heir"), stage.failures::add);
        process.listen(address, 50, e -> {
            atHeir.add(e);
            return new Probe(e, process, true);
        });
        accepted.get(0).write(10);
        pass(LONG);
        assertEquals(0, client.received);
        client.write(1);
        pass(LATENCY.multipliedBy(2));
        assertTrue(client.ended);
        connect(stage.client, LONG);
        pass(LATENCY.multipliedBy(4));
        assertEquals(1, atHeir.size());
        assertEquals(1, accepted.size());
    }

    @Test
    void aWayCutInOneDirectionPassesTheOther() {
        Probe client = pair();
        stage.network.link(0, 1).cut(true);
        client.write(10);
        pass(LATENCY);
        assertEquals(10, accepted.get(0).received);
        accepted.get(0).write(20);
        assertEquals(0, stage.client.pendingTimers());
        connect(stage.client, Duration.ofSeconds(2));
        pass(Duration.ofSeconds(3));
        assertEquals(0, client.received);
        assertEquals("no connection within 2000 ms", heard.get(1));
        stage.network.link(0, 1).cut(false);
        pass(LONG);
        assertEquals(20, client.received);
    }

    @Test
    void whatWasSentLaterNeverComesEarlier() {
        Probe client = pair();
        stage.network.link(0, 1).delay(Duration.ofMillis(10));
        accepted.get(0).write(1000);
        pass(LATENCY);
        accepted.get(0).write(1000);
        stage.network.link(0, 1).delay(Duration.ZERO);
        pass(Duration.ofMillis(9));
        stage.clientMachine.vanish();
        pass(LATENCY.multipliedBy(3).dividedBy(2)); // the first comes now and is lost, the second is still on its way
        stage.clientMachine.appear();
        pass(LATENCY);
        assertEquals(0, client.received);
        stage.network.link(0, 1).delay(Duration.ofMillis(10));
        pass(Duration.ofMillis(205));
        stage.network.link(0, 1).delay(Duration.ZERO);
        stage.server.kill();
        pass(LONG);
        assertEquals(2000, client.received);
        assertTrue(client.ended);
    }

    @Test
    void oneAbandonedAfterItCameUpIsClosed() {
        Loop.Opening opening = connect(stage.client, LONG);
        stage.client.pause(Duration.ofMillis(5));
        pass(Duration.ofMillis(4));
        opening.abandon();
        pass(LONG);
        assertEquals(List.of(), heard);
        assertTrue(accepted.get(0).ended);
        assertEquals(0, stage.client.openConnections());
    }

    @Test
    void aHandshakeWhoseListenerClosesBeforeItsLastStepIsReset() throws IOException {
        Loop.Listening second = listen(stage.server, 50);
        address = second.address();
        connect(stage.client, LONG);
        pass(LATENCY.multipliedBy(5).dividedBy(2));
        second.close();
        pass(LATENCY.multipliedBy(2));
        assertEquals(List.of("connected"), heard);
        assertTrue(opened.get(0).ended);
        assertEquals(0, accepted.size());
    }

    @Test
    void interestInWhatIsThereIsNeverAnsweredWithinTheCall() {
        Probe client = pair();
        accepted.get(0).write(10);
        accepted.get(0).getEndPoint().shutdownOutput();
        pass(LATENCY);
        assertTrue(client.ended);
        client.getEndPoint().fillInterested(Callback.from(InvocationType.NON_BLOCKING, () -> heard.add("ready"),
                e -> heard.add("failed")));
        assertEquals(List.of("connected"), heard);
        pass(LATENCY);
        assertEquals(List.of("connected", "ready"), heard);
    }

    @Test
    void oneThatComesUpInTheInstantOfItsTimeOutHasFailed() {
        connect(stage.client, LATENCY.multipliedBy(2));
        connect(stage.client, LATENCY.multipliedBy(2).plusNanos(1));
        pass(LONG);
        assertEquals(List.of("no connection within 2 ms", "connected"), heard);
        assertEquals(1, accepted.size());
        assertEquals(1, stage.client.openConnections());
        assertEquals(0, stage.client.pendingTimers());
    }

    @Test
    void handshakesThatOverflowTheBacklogAtTheirLastStepComeUpLater() throws IOException {
        Loop.Listening narrow = listen(stage.server, 1);
        address = narrow.address();
        stage.server.pause(Duration.ofMillis(100));
        for (int i = 0; i < 5; i++) {
            connect(stage.client, LONG);
        }
        pass(Duration.ofMillis(50));
        assertEquals(5, heard.size());
        opened.forEach(o -> o.write(10));
        pass(Duration.ofMillis(60));
        assertEquals(2, accepted.size());
        pass(Duration.ofSeconds(1));
        assertEquals(50, accepted.stream().mapToLong(a -> a.received).sum());
    }

    @Test
    void descriptorsAreBounded() throws IOException {
        SimProcess few = stage.serverMachine.boot(new Process("few", 2, 1, Duration.ZERO, Duration.ZERO),
                stage.failures::add);
        address = listen(few, 50).address();
        connect(stage.client, LONG);
        connect(stage.client, LONG);
        pass(LATENCY.multipliedBy(4));
        assertEquals(1, accepted.size());
        connect(few, LONG);
        pass(LATENCY);
        assertEquals("Too many open files", heard.get(2));
        accepted.get(0).getEndPoint().close();
        pass(LATENCY);
        assertEquals(2, accepted.size());
        assertEquals(2, few.descriptors());
    }

    @Test
    void aBusyProcessRunsLateAndInOrder() {
        SimProcess busy = stage.clientMachine.boot(new Process("busy", 9, 0.5, Duration.ofMillis(1), Duration.ZERO),
                stage.failures::add);
        List<String> ran = new ArrayList<>();
        Runnable[] notes = new Runnable[4];
        for (int i = 0; i < notes.length; i++) {
            String name = "" + i;
            notes[i] = () -> ran.add(name + " at " + world.nanos() / MILLI);
        }
        busy.execute(notes[0]);
        busy.schedule(Duration.ZERO, notes[1]);
        Loop.Timer cancelled = busy.schedule(Duration.ofMillis(1), notes[2]);
        busy.schedule(Duration.ofMillis(1), cancelled::cancel);
        busy.schedule(Duration.ofMillis(1), notes[3]);
        busy.schedule(Duration.ofMillis(2), notes[0]);
        busy.schedule(Duration.ofMillis(3), () -> busy.pause(Duration.ofMillis(50)));
        busy.schedule(Duration.ofMillis(20), notes[0]);
        pass(Duration.ofSeconds(1));
        // The cancelled timer was due first and runs before it can be cancelled; each takes 2 ms of its half core.
        assertEquals(List.of("0 at 0", "1 at 2", "2 at 4", "3 at 8", "0 at 10", "0 at 64"), ran);
        assertFalse(cancelled.cancel());
    }

    @Test
    void aTimerThatWaitsForABusyProcessCanBeCancelled() {
        List<String> ran = new ArrayList<>();
        Loop.Timer[] timer = new Loop.Timer[1];
        stage.client.schedule(Duration.ofMillis(1), () -> ran.add("" + timer[0].cancel()));
        timer[0] = stage.client.schedule(Duration.ofMillis(1), () -> ran.add("ran"));
        stage.client.pause(Duration.ofMillis(5));
        pass(LONG);
        assertEquals(List.of("true"), ran);
        assertEquals(0, stage.client.pendingTimers());
    }

    @Test
    void afterItsDeathNothingOfAProcessRuns() {
        Probe client = pair();
        client.write(1 << 20);
        stage.client.execute(() -> heard.add("executed"));
        stage.client.schedule(LATENCY, () -> heard.add("timer"));
        connect(stage.client, LATENCY);
        List<String> notes = List.copyOf(client.notes);
        stage.client.kill();
        accepted.get(0).write(10);
        stage.client.execute(() -> heard.add("executed"));
        stage.client.schedule(LATENCY, () -> heard.add("timer"));
        pass(LONG);
        assertEquals(List.of("connected"), heard);
        assertEquals(notes, client.notes);
        assertTrue(accepted.get(0).ended);
        assertEquals(0, stage.client.descriptors() + stage.client.pendingTimers());
        assertEquals(0, world.pending());
    }

    @Test
    void aTaskThatThrowsIsReportedAndEndsNoOther() {
        stage.client.execute(() -> {
            throw new IllegalStateException("thrown");
        });
        stage.client.execute(() -> heard.add("next"));
        pass(LATENCY);
        assertEquals("thrown", stage.failures.get(0).getMessage());
        assertEquals(List.of("next"), heard);
    }

    @Test
    void datagramsOvertakeDoubleVanishAndOutliveTheProcessTheyWereSentTo() throws IOException {
        SimNetwork lossy = new SimNetwork(world, Stage.Simulated.figures(0, 0.1), 1);
        SimMachine sender = lossy.machine("sender", 0, SimNetwork.ip(10, 1, 0, 1));
        SimMachine receiver = lossy.machine("receiver", 0, SimNetwork.ip(10, 1, 0, 2));
        InetSocketAddress to = new InetSocketAddress(receiver.address(), 7946);
        List<Integer> came = new ArrayList<>();
        SimProcess first = receiver.boot(Process.unbounded("first"), stage.failures::add);
        first.datagrams(to, 100, (from, bytes) -> came.add((int) bytes.get()));
        Loop.Datagrams out = sender.boot(Process.unbounded("out"), stage.failures::add)
                .datagrams(new InetSocketAddress(sender.address(), 7946), 100, (from, bytes) -> { });
        for (int i = 0; i < 100; i++) {
            out.send(to, ByteBuffer.wrap(new byte[] {(byte) i}));
        }
        first.kill();
        receiver.boot(Process.unbounded("second"), stage.failures::add)
                .datagrams(to, 100, (from, bytes) -> came.add((int) bytes.get()));
        pass(LONG);
        List<Integer> ordered = came.stream().sorted().distinct().toList();
        assertTrue(ordered.size() > 80 && ordered.size() < 100, () -> "lost none or most: " + ordered);
        assertTrue(came.size() > ordered.size(), "none came twice");
        assertNotEquals(ordered, came.stream().distinct().toList());
    }

    @Test
    void aLossyWayLosesAndRepeatsNothingOfAStream() throws Exception {
        Probe client = pair();
        stage.network.link(0, 1).loss(0.05);
        stage.network.link(1, 0).loss(0.05);
        int all = 3_000_000;
        client.write(all);
        accepted.get(0).write(all);
        world.after(Duration.ofSeconds(2), () -> stage.network.link(1, 0).cut(true));
        world.after(Duration.ofSeconds(4), () -> stage.network.link(1, 0).cut(false));
        stage.until(stage.client, () -> !client.writing && !accepted.get(0).writing);
        client.getEndPoint().shutdownOutput();
        accepted.get(0).getEndPoint().shutdownOutput();
        stage.until(stage.client, () -> client.closed && accepted.get(0).closed);
        assertEquals(all, client.received);
        assertEquals(all, accepted.get(0).received);
    }

    @Test
    void oneSeedIsOneRunAlsoAmongOthersInEightThreads() throws Exception {
        ExecutorService threads = Executors.newFixedThreadPool(8);
        try {
            List<CompletableFuture<String>> runs = new ArrayList<>();
            for (int i = 0; i < 16; i++) {
                long seed = i % 2;
                runs.add(CompletableFuture.supplyAsync(() -> new Turmoil(seed).play(), threads));
            }
            for (int i = 2; i < runs.size(); i++) {
                assertEquals(runs.get(i % 2).get(), runs.get(i).get());
            }
            assertNotEquals(runs.get(0).get(), runs.get(1).get());
        } finally {
            threads.shutdown();
        }
    }

    /** Six machines that talk, die, vanish and come back over a bad network; every arrival is written down. */
    private static final class Turmoil {
        private static final int MACHINES = 6;
        private final World world;
        private final UniformRandomProvider random;
        private final List<SimMachine> machines = new ArrayList<>();
        private final List<Probe> probes = new ArrayList<>();
        private final StringBuilder story = new StringBuilder();

        Turmoil(long seed) {
            world = new World(seed);
            random = world.random("turmoil");
            SimNetwork network = new SimNetwork(world, Stage.Simulated.figures(0.5, 0.05), 2);
            for (int i = 0; i < MACHINES; i++) {
                machines.add(network.machine("m" + i, i % 2, SimNetwork.ip(10, 0, 0, i)));
            }
            machines.forEach(this::boot);
        }

        private void boot(SimMachine machine) {
            SimProcess process = machine.boot(new Process("p", 40, 1, Duration.ofNanos(50_000), Duration.ZERO), e -> {
                throw new IllegalStateException(e); // bytes out of order, above all
            });
            try {
                process.listen(new InetSocketAddress(machine.address(), 80), 3, e -> watched(e, process));
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
            talk(process);
        }

        private void talk(SimProcess process) {
            InetSocketAddress to = new InetSocketAddress(machines.get(random.nextInt(MACHINES)).address(), 80);
            process.connect(to, Duration.ofMillis(50), new Loop.Connector() {
                @Override
                public Connection connected(EndPoint endPoint) {
                    return watched(endPoint, process);
                }

                @Override
                public void failed(Throwable cause) {
                    note(cause.getMessage());
                }
            });
            if (!probes.isEmpty()) {
                Probe probe = probes.get(random.nextInt(probes.size()));
                if (!probe.writing && !probe.failed && probe.getEndPoint().isOpen()) {
                    probe.write(random.nextInt(100_000));
                } else {
                    probe.getEndPoint().close();
                }
                note(probe.received + " received, " + stamps(probe).lastByteSentAt());
            }
            process.schedule(Duration.ofNanos(random.nextLong(20 * MILLI)), () -> talk(process));
        }

        private Connection watched(EndPoint endPoint, SimProcess process) {
            note(endPoint.getLocalSocketAddress() + " " + endPoint.getRemoteSocketAddress());
            probes.add(new Probe(endPoint, process, true));
            return probes.get(probes.size() - 1);
        }

        private void note(String what) {
            story.append(world.nanos()).append(' ').append(what).append('\n');
        }

        private void trouble() {
            SimMachine machine = machines.get(random.nextInt(MACHINES));
            switch (random.nextInt(3)) {
                case 0 -> {
                    machine.kill();
                    boot(machine);
                }
                case 1 -> machine.vanish();
                default -> machines.forEach(SimMachine::appear);
            }
            world.after(Duration.ofMillis(30), this::trouble);
        }

        String play() {
            trouble();
            world.runUntil(3_000 * MILLI);
            return story.toString();
        }
    }
}
