package rowanplank.measure;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.EndPoint;
import rowanplank.balancer.BalancerApi.Settings;
import rowanplank.config.SiteSettings;
import rowanplank.discovery.DiscoveryWatch;
import rowanplank.http.Messages;
import rowanplank.http.RequestReader;
import rowanplank.metrics.Counters.Count;
import rowanplank.metrics.Counters;
import rowanplank.metrics.RateLimitedLog;
import rowanplank.net.Loop;
import rowanplank.net.LoopConnection;
import rowanplank.net.SelectorLoop;
import rowanplank.net.SystemClock;

/**
 * Watches of discovery, as many as there are nodes, on one loop, and a discovery on another one that counts what it is
 * asked; real sockets on loopback. Answers are read, and no more is done with them: that is {@link ListCapacity}'s.
 */
final class WatchCapacity {
    private static final Pattern QUERY = Pattern.compile("/discovery/hosts(?:\\?index=(\\d+)&wait=(\\d+))?");
    private static final Duration CONNECT = Duration.ofSeconds(2);
    private static final int BACKLOG = 1024;
    private static final long PATIENCE_SECONDS = 60;
    private static final long POLL_MILLIS = 10;

    /**
     * What each watch costs in a second.
     *
     * @param micros processor time of the watch, the sockets' part too
     * @param discoveryMicros of the discovery that answers it
     * @param listBytes of the first, whole list
     * @param failures of all watches, all the time
     */
    record Cost(double calls, double sentBytes, double receivedBytes, double micros, double discoveryMicros, long listBytes,
            long failures) { }

    /** What came of a list in some seconds. @param lists that one watch took @param bytes that it was sent @param calls it made */
    record Taken(long lists, long malformed, long failures, long calls, long bytes) { }

    /** A discovery: whole lists, and watches that are held until something changes or their wait is over. */
    private static final class Discovery {
        final SelectorLoop loop = new SelectorLoop(new SystemClock(), e -> { });
        final Set<Door> waiting = new LinkedHashSet<>();
        final int servers;
        long revision = 1;
        long calls;
        long askedBytes;
        long toldBytes;
        Loop.Listening listening;

        Discovery(int servers) {
            this.servers = servers;
        }

        InetSocketAddress start() throws Exception {
            loop.start();
            listening = loop.call(() -> loop.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG,
                    endPoint -> new Door(endPoint, this)));
            return listening.address();
        }

        void changeEach(Duration time) {
            loop.schedule(time, () -> {
                revision++;
                List.copyOf(waiting).forEach(Door::tell);
                changeEach(time);
            });
        }
    }

    /** One node's connection to it. */
    private static final class Door extends LoopConnection {
        private final Discovery discovery;
        private final RequestReader reader = new RequestReader();
        private long from;
        private Loop.Timer wait;

        Door(EndPoint endPoint, Discovery discovery) {
            super(endPoint, discovery.loop);
            this.discovery = discovery;
        }

        @Override
        protected void onBytes(ByteBuffer bytes) {
            discovery.askedBytes += bytes.remaining();
            while (bytes.hasRemaining() && reader.read(bytes)) {
                Matcher query = QUERY.matcher(reader.target());
                if (!query.matches()) {
                    close();
                    return;
                }
                discovery.calls++;
                from = query.group(1) == null ? -1 : Long.parseLong(query.group(1));
                long millis = query.group(2) == null ? 0 : Long.parseLong(query.group(2));
                reader.reset();
                if (from < 0 || from < discovery.revision || millis == 0) {
                    tell();
                } else {
                    discovery.waiting.add(this);
                    wait = discovery.loop.schedule(Duration.ofMillis(millis), this::tell);
                }
            }
        }

        private void tell() {
            discovery.waiting.remove(this);
            if (wait != null) {
                wait.cancel();
            }
            int changed = from < 0 ? discovery.servers : (int) Math.min(discovery.servers, discovery.revision - from);
            byte[] text = ListCapacity.answer(discovery.revision, from < 0, 0, changed, CapacityTool.ZONES, 1_767_225_600_000L)
                    .getBytes(StandardCharsets.UTF_8);
            ByteBuffer[] message = Messages.response(200, HttpFields.build(), text);
            for (ByteBuffer part : message) {
                discovery.toldBytes += part.remaining();
            }
            write(() -> { }, message);
        }

        @Override
        protected void onEnd() {
            close();
        }

        @Override
        protected void onOver() {
            discovery.waiting.remove(this);
            if (wait != null) {
                wait.cancel();
            }
        }
    }

    private final Discovery discovery;
    private final SelectorLoop loop = new SelectorLoop(new SystemClock(), e -> { });
    private final Counters counters = new Counters();
    private final List<DiscoveryWatch> watches = new ArrayList<>();
    private int told;

    private WatchCapacity(int servers) {
        discovery = new Discovery(servers);
    }

    private static SiteSettings site(int nodes) {
        Settings module = ModuleCapacity.settings(new ModuleCapacity.Size(1, nodes, 1, 1, 0, 1));
        return new SiteSettings(module, List.of("class"), Map.of(), ListCapacity.zones(CapacityTool.ZONES), Duration.ofSeconds(30), CONNECT,
                Duration.ZERO);
    }

    private void begin(int nodes) throws Exception {
        InetSocketAddress at = discovery.start();
        loop.start();
        RateLimitedLog log = new RateLimitedLog(loop.clock(), (warning, line, cause) -> { });
        loop.call(() -> {
            for (int n = 0; n < nodes; n++) {
                boolean[] heard = new boolean[1];
                DiscoveryWatch watch = new DiscoveryWatch(at, site(nodes), n, -1, loop, counters, log, (by, list) -> {
                    told += heard[0] ? 0 : 1;
                    heard[0] = true;
                });
                watches.add(watch);
                watch.start();
            }
            return null;
        });
    }

    private void end() throws Exception {
        loop.call(() -> {
            watches.forEach(DiscoveryWatch::stop);
            return null;
        });
        loop.stop();
        discovery.loop.call(() -> {
            discovery.listening.close();
            return null;
        });
        discovery.loop.stop();
    }

    /** @param changeEach how often the list changes by one server; zero for never */
    static Cost measure(int nodes, int servers, Duration changeEach, Duration length) throws Exception {
        WatchCapacity w = new WatchCapacity(servers);
        w.begin(nodes);
        try {
            w.await(() -> w.told == nodes, "not all watches have a list");
            if (!changeEach.isZero()) {
                w.discovery.loop.execute(() -> w.discovery.changeEach(changeEach));
            }
            TimeUnit.NANOSECONDS.sleep(length.toNanos() / 2);
            long[] before = w.counts();
            long from = System.nanoTime();
            TimeUnit.NANOSECONDS.sleep(length.toNanos());
            long[] after = w.counts();
            double over = (System.nanoTime() - from) / 1e9 * nodes;
            return new Cost((after[0] - before[0]) / over, (after[1] - before[1]) / over, (after[2] - before[2]) / over,
                    (after[3] - before[3]) / 1e3 / over, (after[4] - before[4]) / 1e3 / over,
                    ListCapacity.answer(1, true, 0, servers, CapacityTool.ZONES, 1_767_225_600_000L).length(),
                    w.loop.call(() -> w.counters.get(Count.DISCOVERY_FAILURES)));
        } finally {
            w.end();
        }
    }

    private void await(Callable<Boolean> condition, String otherwise) throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_SECONDS);
        while (!loop.call(condition)) {
            if (System.nanoTime() > until) {
                throw new IOException(otherwise + " within " + PATIENCE_SECONDS + " s");
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
    }

    private long[] counts() throws Exception {
        long[] asked = discovery.loop.call(() -> new long[] {discovery.calls, discovery.askedBytes, discovery.toldBytes,
            Spent.nanosNow()});
        return new long[] {asked[0], asked[1], asked[2], loop.call(Spent::nanosNow), asked[3]};
    }

    /** What becomes of one node that asks for a list of so many servers. @param length counted on once the first answer was there */
    static Taken take(int servers, Duration length) throws Exception {
        WatchCapacity w = new WatchCapacity(servers);
        w.begin(1);
        try {
            w.await(() -> w.told > 0 || w.counters.get(Count.DISCOVERY_MALFORMED) > 0, "no answer came");
            TimeUnit.NANOSECONDS.sleep(length.toNanos());
            long[] all = w.loop.call(() -> new long[] {w.told, w.counters.get(Count.DISCOVERY_MALFORMED),
                w.counters.get(Count.DISCOVERY_FAILURES)});
            long[] asked = w.counts();
            return new Taken(all[0], all[1], all[2], asked[0], asked[2]);
        } finally {
            w.end();
        }
    }
}
