package rowanplank.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.eclipse.jetty.io.EndPoint;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rowanplank.config.SettingsReader;
import rowanplank.config.SiteSettings;
import rowanplank.lab.day.Day;
import rowanplank.lab.net.Process;
import rowanplank.lab.net.SimMachine;
import rowanplank.lab.net.SimNetwork;
import rowanplank.lab.net.SimProcess;
import rowanplank.lab.world.World;
import rowanplank.metrics.Counters;
import rowanplank.metrics.RateLimitedLog;
import rowanplank.net.LoopConnection;

/**
 * A fleet's watches in virtual time: discovery goes down in each way in which it may, stays down, and comes back with
 * news. What was asked of it before is lost.
 */
class FleetReturnTest {
    private static final int PORT = 8500;
    private static final long MILLI = 1_000_000;
    private static final long DOWN = 10_000 * MILLI;
    private static final long SETTLED = 20_000 * MILLI;
    private static final long BACK = 50_000 * MILLI;
    private static final Pattern WATCH = Pattern.compile("^GET /discovery/hosts\\?index=(\\d+)&wait=(\\d+) ");

    /** How discovery is down. */
    enum State { UP, ACCEPTS_AND_IS_SILENT, REFUSES, NEVER_COMES_UP, ANSWERS_503 }

    private final World world = new World(11);
    private final SimNetwork network;
    private final List<Throwable> failures = new ArrayList<>();
    private final SimMachine there;
    private SimProcess process;
    private State state = State.UP;
    private int revision = 1;
    /** Where lists are asked for, calls wait in turn for so long each. */
    private long served;
    private long freeAt;
    private final List<Asked> held = new ArrayList<>();
    private final List<Long> calls = new ArrayList<>();

    FleetReturnTest() {
        Duration ms = Duration.ofMillis(1);
        network = new SimNetwork(world, new Day.Network(ms, ms, ms, 0, 0, ms, ms), 1);
        there = network.machine("discovery", 0, SimNetwork.ip(10, 0, 0, 1));
    }

    private void boot() {
        process = there.boot(Process.unbounded("discovery"), failures::add);
        try {
            process.listen(new InetSocketAddress(there.address(), PORT), 1024, Asked::new);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** A connection to discovery. */
    private final class Asked extends LoopConnection {
        private final StringBuilder text = new StringBuilder();

        Asked(EndPoint endPoint) {
            super(endPoint, process);
        }

        @Override
        protected void onBytes(ByteBuffer bytes) {
            text.append(StandardCharsets.ISO_8859_1.decode(bytes));
            if (text.indexOf("\r\n\r\n") >= 0) {
                String call = text.toString();
                text.setLength(0);
                called(call);
            }
        }

        private void called(String call) {
            calls.add(world.nanos());
            if (state == State.ANSWERS_503) {
                send("HTTP/1.1 503 Later\r\nContent-Length: 0\r\n\r\n");
            } else if (state == State.UP) {
                freeAt = Math.max(freeAt, world.nanos()) + served;
                world.at(freeAt, () -> take(WATCH.matcher(call)));
            }
        }

        private void take(Matcher watch) {
            if (!watch.find() || Integer.parseInt(watch.group(1)) < revision || watch.group(2).equals("0")) {
                tell();
                return;
            }
            held.add(this);
            world.after(Duration.ofMillis(Long.parseLong(watch.group(2))), () -> {
                if (held.remove(this)) {
                    tell();
                }
            });
        }

        private void tell() {
            String list = "{\"revision\":" + revision + ",\"complete\":true,\"members\":[]}";
            send("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
        }

        private void send(String message) {
            if (!isOver() && process.isAlive()) {
                write(() -> { }, StandardCharsets.ISO_8859_1.encode(message));
            }
        }

        @Override
        protected void onEnd() {
            close();
        }

        @Override
        protected void onOver() {
            held.remove(this);
        }
    }

    private long calls(long from, long to) {
        return calls.stream().filter(at -> at >= from && at < to).count();
    }

    private void goDown(State how) {
        state = how;
        held.clear();
        if (how == State.REFUSES) {
            process.kill();
        } else if (how == State.NEVER_COMES_UP) {
            there.vanish();
        }
    }

    private void comeBack() {
        there.appear();
        if (!process.isAlive()) {
            boot();
        }
        state = State.UP;
        freeAt = world.nanos();
        revision = 2;
    }

    /**
     * Guards drains after an outage: what discovery has to tell counts as told 6 s after it is back, and at once where an
     * agent tells it, here within what one lost call takes. Guards discovery: meanwhile each of many nodes calls once in 2 to 4 s, and a few of
     * them together no more often than one may.
     */
    @ParameterizedTest
    @CsvSource({"100,ask,ACCEPTS_AND_IS_SILENT", "100,ask,REFUSES", "100,ask,NEVER_COMES_UP", "100,ask,ANSWERS_503",
        "380,ask,ACCEPTS_AND_IS_SILENT", "380,ask,ANSWERS_503", "1,ask,ACCEPTS_AND_IS_SILENT",
        "10,push,ACCEPTS_AND_IS_SILENT", "10,push,REFUSES", "10,push,NEVER_COMES_UP", "10,push,ANSWERS_503"})
    void allHaveTheNewsInTime(int nodes, String mode, State how) {
        boolean ask = mode.equals("ask");
        served = ask ? 3 * MILLI : 0;
        boot();
        long[] last = new long[nodes];
        for (int i = 0; i < nodes; i++) {
            SiteSettings site = SettingsReader.parse("{\"balancers\": " + nodes + ", \"position\": " + i
                    + ", \"membership_mode\": \"" + mode + "\", \"classes\": [{\"name\": \"article\", \"aim_ms\": 200, "
                    + "\"deadline_ms\": 400}], \"ceilings\": {\"connect_timeout_ms\": 5000}}");
            SimProcess node = network.machine("node " + i, 0, SimNetwork.ip(10, 1, i / 250, i % 250 + 1))
                    .boot(Process.unbounded("node " + i), failures::add);
            int number = i;
            RateLimitedLog quiet = new RateLimitedLog(node.clock(), (warning, line, cause) -> { });
            new DiscoveryWatch(new InetSocketAddress(there.address(), PORT), site, i, -1, node, new Counters(), quiet,
                    (by, list) -> {
                        if (list.revision() == 2 && last[number] == 0) {
                            last[number] = world.nanos();
                        }
                    }).start();
        }
        world.at(DOWN, () -> goDown(how));
        world.at(BACK, this::comeBack);
        world.runUntil(BACK + 12_000 * MILLI);
        assertEquals(List.of(), failures);
        long latest = 0;
        for (long at : last) {
            assertTrue(at > 0, "one was never told");
            latest = Math.max(latest, at - BACK);
        }
        double mean = calls(SETTLED, BACK) / ((BACK - SETTLED) / 1e9);
        String figures = nodes + " nodes, " + mode + ", " + how + ": told " + latest / MILLI + " ms after the return, "
                + mean + " calls a second once the outage lasts";
        assertTrue(latest <= (ask ? 6000 : 1100) * MILLI, figures);
        assertTrue(!ask || mean <= Math.max(10, nodes / 2.5), figures);
    }
}
