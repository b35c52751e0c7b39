package rowanplank.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import rowanplank.balancer.Balancer;
import rowanplank.balancer.BalancerApi.Actions;
import rowanplank.balancer.BalancerApi.Events;
import rowanplank.balancer.BalancerApi.ListKind;
import rowanplank.balancer.BalancerApi.Outcome;
import rowanplank.balancer.BalancerApi.Request;
import rowanplank.balancer.BalancerApi.Server;
import rowanplank.balancer.BalancerApi.Settings;
import rowanplank.config.NodeConfig;
import rowanplank.metrics.RateLimitedLog;
import rowanplank.net.Clock;
import rowanplank.net.SelectorLoop;

/**
 * The node on loopback sockets under settings that no customer has: what it decides and says comes of the figures, and
 * of no name. Its clock moves as the page servers say, and one request is open at a time, so a run is the same each time.
 */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class DeploymentsTest {
    private static final int REQUESTS = 120;
    private static final int PATIENCE_MS = 20_000;
    private static final Pattern ID = Pattern.compile("X-Request-ID: r(\\d+)\r\n");

    /** Stands until it is moved. */
    private static final class StepClock implements Clock {
        private volatile Instant now = Instant.parse("2026-01-01T00:00:00Z");

        @Override
        public Instant now() {
            return now;
        }

        synchronized void move(Duration span) {
            now = now.plus(span);
        }
    }

    /** What a node did: what its module was told of requests and asked for, and what the client and the servers saw. */
    private static final class Transcript {
        final List<Request> requests = new CopyOnWriteArrayList<>();
        final List<String> asked = new CopyOnWriteArrayList<>();
        final List<String> answers = new ArrayList<>();
        /** For each request, its servers in their order, and what each answered. */
        final Map<Integer, List<String>> tries = new TreeMap<>();
        final List<String> warnings = new CopyOnWriteArrayList<>();
    }

    private final List<AutoCloseable> opened = new ArrayList<>();

    @AfterEach
    void close() throws Exception {
        for (AutoCloseable o : opened) {
            o.close();
        }
    }

    private <T extends AutoCloseable> T open(T resource) {
        opened.add(0, resource);
        return resource;
    }

    /** Plays the deployment's traffic, which its figures' seed draws, under these names. */
    private Transcript play(Deployment d, Deployment.Names names, long seed) throws Exception {
        Transcript transcript = new Transcript();
        StepClock clock = new StepClock();
        StubSite site = open(new StubSite());
        List<String> members = new ArrayList<>();
        for (int s = 0; s < d.zoneOfServer().size(); s++) {
            members.add(server(s, clock, transcript).member("s" + s, "ready").replace("\"locality\":\"a\"",
                    "\"locality\":\"" + names.zones().get(d.zoneOfServer().get(s)) + "\""));
        }
        site.list(members.toArray(String[]::new));
        int port = start(d.settings(names), site, clock, transcript);
        try (Socket client = new Socket("127.0.0.1", port)) {
            client.setSoTimeout(PATIENCE_MS);
            String up = "GET /up HTTP/1.1\r\nHost: service.internal\r\n\r\n";
            while (!StubSite.ask(client, up).startsWith("HTTP/1.1 200 ")) {
                Thread.onSpinWait();
            }
            for (String request : traffic(d, names, seed)) {
                transcript.answers.add(StubSite.ask(client, request));
            }
            transcript.answers.add(StubSite.ask(client, "GET /no-such-class HTTP/1.1\r\nHost: service.internal\r\n\r\n"));
        }
        return transcript;
    }

    private int start(String settings, StubSite site, StepClock clock, Transcript transcript) throws Exception {
        String text = "{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"" + site.address()
                + "\",\"seed\":\"8c1f30d27a5be964\",\"settings\":" + settings + "}";
        NodeConfig config = NodeConfig.read(Map.of("EDGE_CONFIG", "f"), (name, most) -> text);
        RateLimitedLog log = new RateLimitedLog(clock, (warning, line, cause) -> {
            if (warning) {
                transcript.warnings.add(line);
            }
        });
        SelectorLoop loop = new SelectorLoop(clock, e -> transcript.warnings.add("unexpected: " + e));
        Node node = new Node(config, loop, log, (module, seed, actions) ->
                new Heard(module, seed, actions, clock, transcript));
        loop.start();
        open(loop::stop);
        return loop.call(() -> {
            node.start();
            return node.address().getPort();
        });
    }

    /**
     * Notes what the module hears and asks for. Where a request waits for room with no try out, no server moves the
     * clock, so it is moved here: by what the module's own timers wait at a time.
     */
    private static final class Heard implements Events {
        private static final Duration STEP = Duration.ofMillis(10);

        private final Balancer balancer;
        private final StepClock clock;
        private final Transcript transcript;
        private int open;
        private int out;

        Heard(Settings settings, long seed, Actions actions, StepClock clock, Transcript transcript) {
            this.clock = clock;
            this.transcript = transcript;
            balancer = new Balancer(settings, seed, new Asked(actions));
        }

        private void note(String what) {
            transcript.asked.add(what);
        }

        private void moveWhereNothingElseDoes() {
            if (open > 0 && out == 0) {
                clock.move(STEP);
            }
        }

        @Override
        public void onServers(double nowMs, ListKind kind, List<Server> servers) {
            balancer.onServers(nowMs, kind, servers);
        }

        @Override
        public void onRequest(double nowMs, Request request) {
            transcript.requests.add(request);
            open++;
            balancer.onRequest(nowMs, request);
            moveWhereNothingElseDoes();
        }

        @Override
        public void onStreamStarted(double nowMs, long request, int attempt) {
            balancer.onStreamStarted(nowMs, request, attempt);
        }

        @Override
        public void onOutcome(double nowMs, long request, int attempt, Outcome outcome, double latencyMs,
                boolean concluded) {
            note(request + "/" + attempt + " " + outcome + " after " + latencyMs);
            out--;
            open -= outcome == Outcome.OK ? 1 : 0;
            balancer.onOutcome(nowMs, request, attempt, outcome, latencyMs, concluded);
            moveWhereNothingElseDoes();
        }

        @Override
        public void onClientLeft(double nowMs, long request) {
            balancer.onClientLeft(nowMs, request);
        }

        @Override
        public void onTimer(double nowMs, long token) {
            balancer.onTimer(nowMs, token);
            moveWhereNothingElseDoes();
        }

        /** Timers are left out: when they run beside the sockets is the machine's matter. */
        private final class Asked implements Actions {
            private final Actions actions;

            Asked(Actions actions) {
                this.actions = actions;
            }

            @Override
            public void send(long request, long server, double timeoutMs) {
                note("send " + request + " to " + Long.toHexString(server) + " for " + timeoutMs);
                out++;
                actions.send(request, server, timeoutMs);
            }

            @Override
            public void reject(long request, double retryAfterMs) {
                note("refuse " + request + " for " + retryAfterMs);
                open--;
                actions.reject(request, retryAfterMs);
            }

            @Override
            public void fail(long request) {
                note("fail " + request);
                open--;
                actions.fail(request);
            }

            @Override
            public void cancel(long request, int attempt) {
                note("cancel " + request + "/" + attempt);
                actions.cancel(request, attempt);
            }

            @Override
            public void timer(double delayMs, long token) {
                actions.timer(delayMs, token);
            }

            @Override
            public void watchServers() {
                actions.watchServers();
            }

            @Override
            public void closeIdle(long server) {
                note("close " + Long.toHexString(server));
                actions.closeIdle(server);
            }

            @Override
            public void log(String line) {
                note(line);
                actions.log(line);
            }
        }
    }

    /** Server s takes so long each time, and now and then is full or fails. */
    private StubSite.Peer server(int s, StepClock clock, Transcript transcript) throws IOException {
        int[] count = new int[1];
        return open(new StubSite.Peer(request -> {
            int n = ++count[0];
            clock.move(Duration.ofMillis(2 + 3L * s));
            boolean full = n % 9 == 4;
            boolean error = n % 7 == 3;
            Matcher id = ID.matcher(request);
            if (id.find()) {
                transcript.tries.computeIfAbsent(Integer.parseInt(id.group(1)), r -> new ArrayList<>())
                        .add(s + (full ? " full" : error ? " error" : " ok"));
            }
            return full ? "HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
                    : error ? "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n" : StubSite.ok("answer " + n + " of " + s);
        }));
    }

    private static List<String> traffic(Deployment d, Deployment.Names names, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<String> requests = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            int type = random.nextInt(d.effects().size());
            int tenant = random.nextInt(d.quotas().size());
            long key = random.nextLong(1, Long.MAX_VALUE);
            String body = d.isRepeatable(type) ? "" : "b".repeat(random.nextInt(900));
            requests.add((d.isRepeatable(type) ? "GET /" : "POST /") + names.classes().get(type) + "/page?x=" + i
                    + " HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: r" + i + "\r\nX-Tenant-Id: "
                    + names.tenants().get(tenant) + "\r\nX-Route-Key: " + String.format("%016x", key)
                    + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        }
        return requests;
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void whatTheNodeDecidesAndSaysDependsOnNoName(long seed) throws Exception {
        Deployment d = Deployment.drawn(seed);
        Transcript first = play(d, Deployment.Names.drawn(d, 10 * seed), seed);
        Transcript other = play(d, Deployment.Names.drawn(d, 10 * seed + 1), seed);
        Transcript known = play(d, Deployment.Names.firstCustomers(d), seed);
        assertEquals(first.asked, other.asked);
        assertEquals(first.asked, known.asked);
        assertEquals(first.answers, other.answers);
        assertEquals(first.answers, known.answers);
        assertEquals(List.of(), first.warnings);
        assertTrue(new HashSet<>(first.answers).size() > REQUESTS / 2, "answers differ from one another");
        assertTrue(first.answers.get(REQUESTS).startsWith("HTTP/1.1 404 "));
    }

    /** As the settings say of each class: a safe one anywhere, an unsafe one only where it never ran, a keyed one in its group. */
    @ParameterizedTest
    @ValueSource(longs = {6, 7, 8})
    void whatMayRunAgainComesOfTheSettings(long seed) throws Exception {
        Deployment d = Deployment.drawn(seed);
        Transcript played = play(d, Deployment.Names.drawn(d, seed), seed);
        int again = 0;
        for (var entry : played.tries.entrySet()) {
            List<String> tries = entry.getValue();
            int type = played.requests.get(entry.getKey()).classIndex();
            again += tries.size() - 1;
            assertTrue(tries.size() <= d.tries(), tries.toString());
            int mayHaveRun = -1;
            for (int i = 0; i < tries.size(); i++) {
                int zone = d.zoneOfServer().get(tries.get(i).charAt(0) - '0');
                if (mayHaveRun >= 0) {
                    assertNotEquals("once", d.effects().get(type), tries.toString());
                    boolean zoned = d.effects().get(type).equals("by_key") && d.groups().get(type).equals("zone");
                    assertTrue(!zoned || zone == mayHaveRun, tries.toString());
                }
                mayHaveRun = mayHaveRun < 0 && tries.get(i).endsWith("error") ? zone : mayHaveRun;
            }
        }
        assertTrue(again > 3, again + " further tries");
    }

    /** The driver told the module of no tenant and no key: all requests counted against the first tenant's quota. */
    @ParameterizedTest
    @ValueSource(longs = {9, 10})
    void theModuleHearsOfTheTenantAndTheKeyThatARequestNames(long seed) throws Exception {
        Deployment d = Deployment.drawn(seed);
        Deployment.Names names = Deployment.Names.drawn(d, seed);
        Transcript played = play(d, names, seed);
        SplittableRandom random = new SplittableRandom(seed);
        assertEquals(REQUESTS, played.requests.size());
        for (Request heard : played.requests) {
            int type = random.nextInt(d.effects().size());
            assertEquals(type, heard.classIndex());
            assertEquals(random.nextInt(d.quotas().size()), heard.tenant());
            assertEquals(random.nextLong(1, Long.MAX_VALUE), heard.key());
            if (!d.isRepeatable(type)) {
                random.nextInt(900);
            }
        }
    }
}
