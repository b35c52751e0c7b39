package rowanplank.lab.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.eclipse.jetty.io.EndPoint;
import org.junit.jupiter.api.Test;
import rowanplank.lab.day.Day;
import rowanplank.lab.load.LoadMeter.End;
import rowanplank.lab.net.Process;
import rowanplank.lab.net.SimMachine;
import rowanplank.lab.net.SimNetwork;
import rowanplank.lab.net.SimProcess;
import rowanplank.lab.world.World;
import rowanplank.net.Loop;
import rowanplank.net.LoopConnection;

/** In virtual time; each way takes 0.1 ms. */
class LoadThreadTest {
    private static final InetSocketAddress ADDRESS = new InetSocketAddress(SimNetwork.ip(10, 1, 0, 1), 80);
    private static final Duration WAY = Duration.ofNanos(100_000);
    private static final int REFUSE_EACH = 10;

    private final World world = new World(2);
    private final SimNetwork network = new SimNetwork(world, new Day.Network(WAY, WAY, WAY, 0, 0, WAY, WAY), 1);
    private final SimProcess tool = boot("tool", 2, 0);
    private final Stub stub = new Stub();

    private SimProcess boot(String name, int last, int micros) {
        SimMachine machine = network.machine(name, 0, SimNetwork.ip(10, 1, 0, last));
        Duration cost = Duration.ofNanos(1000L * micros);
        return machine.boot(new Process(name, 20_000, 1, cost, Duration.ZERO), e -> {
            throw new AssertionError(e);
        });
    }

    /** Answers at once, but while it stands still. */
    private final class Stub {
        private final SimProcess process = boot("stub", 1, 50);
        private final List<Integer> used = new ArrayList<>();
        private final List<Runnable> held = new ArrayList<>();
        private boolean stands;
        private boolean refuses;
        private int requests;

        void listen(int backlog) {
            try {
                process.listen(ADDRESS, backlog, Peer::new);
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        }

        /** Both at times since the beginning. */
        void standStill(Duration from, Duration until) {
            world.at(from.toNanos(), () -> stands = true);
            world.at(until.toNanos(), () -> {
                stands = false;
                held.forEach(Runnable::run);
            });
        }

        private final class Peer extends LoopConnection {
            private final int number = used.size();

            Peer(EndPoint endPoint) {
                super(endPoint, (Loop) process);
                used.add(0);
            }

            @Override
            protected void onBytes(ByteBuffer bytes) {
                used.set(number, used.get(number) + 1);
                boolean refused = refuses && ++requests % REFUSE_EACH == 0;
                String answer = refused ? "HTTP/1.1 503 No\r\nRetry-After: 0.01\r\nContent-Length: 0\r\n\r\n"
                        : "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
                Runnable task = () -> write(() -> { }, StandardCharsets.US_ASCII.encode(answer));
                if (stands) {
                    held.add(task);
                } else {
                    task.run();
                }
            }

            @Override
            protected void onEnd() {
                close();
            }

            @Override
            protected void onOver() { }
        }
    }

    private static LoadPlan plan(String text) {
        return LoadFile.read("test", "targets = [\"10.1.0.1:80\"]\nwarm_up = \"1s\"\nlength = \"5s\"\n" + text,
                LoadPlan.USUAL);
    }

    /** Runs it to its end, its arrivals from the second second on. */
    private LoadResult run(LoadPlan plan) {
        LoadThread thread = new LoadThread(plan, 0, tool, World.BEGINNING, "test");
        thread.prepare();
        world.runUntil(Duration.ofSeconds(2).toNanos());
        int opened = thread.connections();
        assertTrue(thread.isPrepared());
        thread.begin(world.nanos());
        world.runUntil(Duration.ofSeconds(60).toNanos());
        assertTrue(thread.atRest());
        List<Histogram> taken = LoadMeter.tags(plan).stream().map(t -> new Histogram(3)).toList();
        thread.meter().take(taken);
        return new LoadResult(plan, false, plan.length(), Arrays.asList(thread.meter().ends()), thread.meter().open(),
                taken, opened, thread.connections(), thread.failedOpenings());
    }

    private static double ms(Histogram h, double percentile) {
        return h.getValueAtPercentile(percentile) / 1e3;
    }

    /** Coordinated omission: with four connections, a second's stall keeps all but four requests from being sent. */
    @Test
    void aStallOfTheServerShowsWhereAClosedLoopWouldNotSeeIt() {
        stub.listen(128);
        stub.standStill(Duration.ofSeconds(5), Duration.ofSeconds(6));
        LoadResult result = run(plan("rate = 400\nconnections = 4\n"));
        assertEquals(result.asked(), result.served());
        assertTrue(Math.abs(result.asked() - 2000) < 200, result::text);
        assertEquals(500, ms(result.ofClass(0), 90), 60, result::text); // a fifth of all, evenly over the second
        assertEquals(950, ms(result.ofClass(0), 99), 40, result::text);
        assertEquals(0.2, ms(result.fromSent(), 50), 0.05);
        assertEquals(0.2, ms(result.fromSent(), 99), 0.05, "what a closed loop counts");
        assertFalse(result.isLate(), "it was not the tool's fault");
        assertTrue(ms(result.lateness(), 100) < 0.01, result::text);
    }

    /** A tool that gets no core for a while must not take that for the server's time. */
    @Test
    void aStallOfTheToolItselfMarksTheRun() {
        stub.listen(128);
        world.at(Duration.ofSeconds(4).toNanos(), () -> tool.pause(Duration.ofMillis(200)));
        LoadResult result = run(plan("rate = 400\nconnections = 100\n"));
        assertEquals(0.04, result.lateShare(), 0.01, result::text);
        assertTrue(result.isLate() && result.text().contains("LATE"));
        assertEquals(200, ms(result.lateness(), 100), 5);
    }

    /** What is asked again counts once, from when it was first due; what the warm-up asked does not count. */
    @Test
    void countsEachRequestOnceWithItsLastEnd() {
        stub.listen(128);
        stub.refuses = true;
        LoadResult result = run(plan("rate = 200\nheeds = 1\nconnections = 10\n"));
        assertEquals(result.asked(), result.served(), result::text);
        assertTrue(stub.requests > 1.2 * result.asked(), "some were asked again, and some before it counted");
        assertEquals(10.5, ms(result.ofClass(0), 95), 1, result::text);
    }

    /** A request whose answer never comes counts among the ends, and not as served. */
    @Test
    void thoseThatGiveUpAreToldApartAndCountInAnyEnd() {
        stub.listen(128);
        stub.standStill(Duration.ofSeconds(4), Duration.ofSeconds(30));
        LoadResult result = run(plan("rate = 100\nconnections = 1000\n[[class]]\ndeadline = \"700ms\"\n"));
        long gaveUp = result.ends().get(0)[End.GAVE_UP.ordinal()];
        assertEquals(400, gaveUp, 70);
        assertEquals(result.asked(), result.served() + gaveUp);
        assertEquals(700, ms(result.anyEnd(), 99), 2);
        assertEquals(0.2, ms(result.ofClass(0), 99), 0.1);
    }

    /** A crowd that comes at once, or faster than it is accepted, would have to come again a second later. */
    @Test
    void connectionsAreOpenedAheadAFewAtATime() {
        stub.listen(64);
        LoadResult result = run(plan("rate = 500\nconnections = 2000\nahead = 2000\noldest_first = true\n"));
        assertEquals(2000, result.opened());
        assertEquals(0, result.failedOpenings());
        assertEquals(2000, stub.used.size());
        assertTrue(stub.used.stream().allMatch(n -> n >= 1), "the one that rests for longest is used next");
        assertEquals(result.asked(), result.served());
        assertEquals(0.2, ms(result.ofClass(0), 99.9), 0.1);
    }
}
