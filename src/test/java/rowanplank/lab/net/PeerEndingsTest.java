package rowanplank.lab.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.lang.reflect.Field;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import rowanplank.balancer.Balancer;
import rowanplank.balancer.BalancerApi.Actions;
import rowanplank.balancer.BalancerApi.Events;
import rowanplank.balancer.BalancerApi.Lifecycle;
import rowanplank.balancer.BalancerApi.ListKind;
import rowanplank.balancer.BalancerApi.Outcome;
import rowanplank.balancer.BalancerApi.Request;
import rowanplank.balancer.BalancerApi.Server;
import rowanplank.balancer.BalancerApi.Settings;
import rowanplank.balancer.BalancerInternals;
import rowanplank.config.HostList;
import rowanplank.config.HostList.Member;
import rowanplank.config.SettingsReader;
import rowanplank.config.SiteSettings;
import rowanplank.decision.DecisionDriver;
import rowanplank.discovery.UpstreamGroup;
import rowanplank.exchange.Exchange;
import rowanplank.exchange.RequestContext;
import rowanplank.exchange.Response;
import rowanplank.exchange.Transfer;
import rowanplank.metrics.Counters;
import rowanplank.metrics.RateLimitedLog;
import rowanplank.net.Loop;
import rowanplank.net.LoopConnection;
import rowanplank.peer.http.Peers;

/**
 * Every way in which a try can end, from the socket to the module, on real sockets and on simulated ones: the module
 * hears of exactly one outcome for each try, and holds no place taken once nothing is out.
 */
class PeerEndingsTest {
    private static final String SETTINGS = """
            {"classes": [{"name": "a", "aim_ms": 200, "deadline_ms": 400, "effect": "repeatable"}],
             "ceilings": {"most_tries": 1, "may_cancel": true, "connect_timeout_ms": 100, "conn_idle_ms": 30000}}""";
    private static final String WHOLE = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npage";
    /** Longer than a connection rests before it is used again. */
    private static final Duration REST = Duration.ofMillis(20);
    private static final String HEAD = WHOLE.substring(0, WHOLE.length() - 4);

    /** What the server does with a request, or the node's side with a try. */
    private enum Ending {
        NEVER_ACCEPTED("CONNECT_FAILED"), REFUSED("CONNECT_FAILED"), SILENT("CANCELLED"),
        SILENT_IN_HEAD("CANCELLED"), SILENT_AFTER_HEAD("CANCELLED"), SILENT_IN_BODY("CANCELLED"),
        FIN_BEFORE("RESET"), FIN_IN_HEAD("RESET"), FIN_IN_BODY("RESET"), FIN_AFTER("OK"), HALF_CLOSE_BEFORE("RESET"),
        RST_BEFORE("RESET"), RST_IN_BODY("RESET"), FIN_ON_REUSE("OK RESET"), RST_ON_REUSE("OK RESET"),
        CLIENT_LEAVES("CANCELLED"), CLIENT_LEAVES_AS_IT_CONNECTS("CANCELLED"), ANSWERED_AFTER_CLIENT_LEFT("CANCELLED"),
        SERVER_LEAVES_THE_LIST("OK"), SERVER_LEAVES_AND_FALLS_SILENT("CANCELLED"), DRAINS_AS_IT_CONNECTS("MOOT"),
        LEAVES_AS_TIME_IS_UP("CANCELLED"), NODE_STOPS("CANCELLED"), ANSWERS_TWICE("OK"), TURNED_AWAY("FULL");

        final List<String> outcomes;

        Ending(String outcomes) {
            this.outcomes = List.of(outcomes.split(" "));
        }

        boolean isRst() {
            return name().startsWith("RST");
        }
    }

    /** A server's connection that acts on a request as it is told. */
    private static final class Scripted extends LoopConnection {
        private final Ending ending;
        private int requests;

        Scripted(EndPoint endPoint, Loop loop, Ending ending) {
            super(endPoint, loop);
            this.ending = ending;
        }

        @Override
        public void onFillable() {
            if (ending == Ending.RST_BEFORE || ending == Ending.RST_ON_REUSE && requests == 1) {
                close(); // over what was not read
            } else if (ending == Ending.RST_IN_BODY) {
                say(HEAD + "pa", this::close);
            } else {
                super.onFillable();
            }
        }

        @Override
        protected void onBytes(ByteBuffer bytes) {
            requests++;
            switch (ending) {
                case SILENT_IN_HEAD -> say("HTTP/1.1 200", () -> { });
                case SILENT_AFTER_HEAD -> say(HEAD, () -> { });
                case SILENT_IN_BODY -> say(HEAD + "pa", () -> { });
                case FIN_BEFORE -> close();
                case FIN_IN_HEAD -> say("HTTP/1.1 200", this::close);
                case FIN_IN_BODY -> say(HEAD + "pa", this::close);
                case FIN_AFTER -> say(WHOLE, this::close);
                case HALF_CLOSE_BEFORE -> getEndPoint().shutdownOutput();
                case ANSWERS_TWICE -> say(WHOLE + WHOLE, () -> { });
                case TURNED_AWAY -> say("HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", () -> { });
                case FIN_ON_REUSE, RST_ON_REUSE -> {
                    if (requests == 1) {
                        say(WHOLE, () -> { });
                    } else {
                        close();
                    }
                }
                default -> { } // silent, or the scene says when
            }
        }

        void say(String text, Runnable then) {
            write(then, ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII)));
        }

        @Override
        protected void onEnd() {
            close();
        }

        @Override
        protected void onOver() { }
    }

    /** The module, with a count of what it is told. */
    private static final class Heard implements Events {
        final Balancer balancer;
        final List<String> outcomes = new ArrayList<>();

        Heard(Settings settings, long seed, Actions actions) {
            balancer = new Balancer(settings, seed, actions);
        }

        @Override
        public void onServers(double nowMs, ListKind kind, List<Server> servers) {
            balancer.onServers(nowMs, kind, servers);
        }

        @Override
        public void onRequest(double nowMs, Request request) {
            balancer.onRequest(nowMs, request);
        }

        @Override
        public void onStreamStarted(double nowMs, long request, int attempt) { }

        @Override
        public void onOutcome(double nowMs, long request, int attempt, Outcome outcome, double ms, boolean concluded) {
            outcomes.add(outcome.name());
            balancer.onOutcome(nowMs, request, attempt, outcome, ms, concluded);
        }

        @Override
        public void onClientLeft(double nowMs, long request) {
            balancer.onClientLeft(nowMs, request);
        }

        @Override
        public void onTimer(double nowMs, long token) {
            balancer.onTimer(nowMs, token);
        }
    }

    /** A node's core and its peers' side on the client's loop, and one server on the other. */
    private static final class Scene {
        private final Stage stage;
        private final Ending ending;
        private final SiteSettings site = SettingsReader.parse(SETTINGS);
        private final UpstreamGroup group = new UpstreamGroup();
        private final List<Scripted> accepted = new ArrayList<>();
        private final List<Response> answers = new ArrayList<>();
        private final Peers peers;
        private final DecisionDriver decisions;
        private Heard heard;
        private InetSocketAddress address;
        private Exchange exchange;
        private int requests;

        Scene(Stage stage, Ending ending) throws Exception {
            this.stage = stage;
            this.ending = ending;
            Loop loop = stage.client();
            Counters counters = new Counters();
            peers = new Peers(group, site.connIdle(), site.connectTimeout(), 8, loop, counters,
                    new Transfer.BufferBudget());
            RateLimitedLog log = new RateLimitedLog(loop.clock(), (warning, line, cause) -> { });
            decisions = new DecisionDriver(site, 1, loop, counters, log, (settings, seed, actions) -> {
                heard = new Heard(settings, seed, actions);
                return heard;
            });
            decisions.setSender(peers);
            stage.run(stage.server(), () -> {
                Loop.Listening listening = stage.server().listen(stage.any(), 50, this::accept);
                address = listening.address();
                if (ending == Ending.REFUSED) {
                    listening.close();
                }
            });
            if (ending == Ending.NEVER_ACCEPTED || ending.name().endsWith("CONNECTS")) {
                address = stage.silent();
            }
            stage.run(loop, () -> list(Lifecycle.READY));
        }

        private Connection accept(EndPoint endPoint) {
            Scripted c = new Scripted(endPoint, stage.server(), ending);
            accepted.add(c);
            return c;
        }

        private void list(Lifecycle lifecycle) {
            Server server = new Server(7, 0, 0, lifecycle, 1, 0);
            UpstreamGroup.Change change = group.apply(new HostList(1, true, List.of(new Member("s", address, server))));
            peers.groupChanged(change.outdated());
            decisions.updateServers(ListKind.FULL, List.of(server));
        }

        void ask() throws Exception {
            int before = requests++;
            stage.run(stage.client(), () -> {
                Instant now = stage.client().clock().now();
                exchange = decisions.open(new RequestContext("r" + before, 0, false, now, now.plusMillis(400),
                        new RequestContext.Payload("GET", "/a", List.of(), new byte[0])), answers::add);
            });
        }

        void awaitAtServer() throws Exception {
            stage.until(stage.server(), () -> !accepted.isEmpty() && accepted.get(0).requests > 0);
        }

        /** A connection that was just answered on is not used again at once. */
        void awaitRest() throws Exception {
            boolean[] rested = new boolean[1];
            stage.run(stage.client(), () -> stage.client().schedule(REST, () -> rested[0] = true));
            stage.until(stage.client(), () -> rested[0]);
        }

        void awaitOutcomes(int count) throws Exception {
            stage.until(stage.client(), () -> heard.outcomes.size() >= count && decisions.openCount() == 0);
        }

        void play() throws Exception {
            ask();
            switch (ending) {
                case FIN_ON_REUSE, RST_ON_REUSE -> {
                    awaitOutcomes(1);
                    awaitRest();
                    ask();
                }
                case CLIENT_LEAVES_AS_IT_CONNECTS -> stage.run(stage.client(), exchange::clientLeft);
                case DRAINS_AS_IT_CONNECTS -> stage.run(stage.client(), () -> list(Lifecycle.DRAINING));
                case CLIENT_LEAVES -> {
                    awaitAtServer();
                    stage.run(stage.client(), exchange::clientLeft);
                }
                case ANSWERED_AFTER_CLIENT_LEFT -> {
                    awaitAtServer();
                    stage.run(stage.client(), exchange::clientLeft);
                    stage.run(stage.server(), () -> accepted.get(0).say(WHOLE, () -> { }));
                }
                case SERVER_LEAVES_THE_LIST -> {
                    awaitAtServer();
                    stage.run(stage.client(), () -> list(Lifecycle.GONE));
                    stage.run(stage.server(), () -> accepted.get(0).say(WHOLE, () -> { }));
                }
                case SERVER_LEAVES_AND_FALLS_SILENT -> {
                    awaitAtServer();
                    stage.run(stage.client(), () -> list(Lifecycle.GONE));
                }
                case LEAVES_AS_TIME_IS_UP -> {
                    awaitAtServer();
                    // in one instant: the try's time-out, the module's tick, and this
                    stage.run(stage.client(), () -> stage.client().schedule(Duration.between(
                            stage.client().clock().now(), exchange.context().deadline()), () -> list(Lifecycle.GONE)));
                }
                case NODE_STOPS -> {
                    awaitAtServer();
                    stage.run(stage.client(), decisions::stop);
                }
                default -> { }
            }
            awaitOutcomes(ending.outcomes.size());
            // What else might come has come once a later request has been served and ended, too.
            stage.run(stage.client(), () -> list(Lifecycle.GONE));
            ask();
            stage.until(stage.client(), () -> decisions.openCount() == 0);
        }

        int field(String name) throws ReflectiveOperationException {
            Field f = Peers.class.getDeclaredField(name);
            f.setAccessible(true);
            return f.getInt(peers);
        }
    }

    static Stream<Arguments> endings() {
        return Stream.of(Ending.values()).flatMap(e -> Stream.of(Arguments.of(e, false), Arguments.of(e, true)));
    }

    @ParameterizedTest(name = "{0}, simulated: {1}")
    @MethodSource("endings")
    void eachTryHasOneOutcomeAndLeavesNothingBehind(Ending ending, boolean simulated) throws Exception {
        try (Stage stage = simulated ? new Stage.Simulated() : new Stage.Real()) {
            Scene scene = new Scene(stage, ending);
            scene.play();
            assertEquals(ending.outcomes, scene.heard.outcomes);
            stage.run(stage.client(), () -> {
                assertEquals(0, BalancerInternals.inFlight(scene.heard.balancer), "places held");
                try {
                    assertEquals(0, scene.field("connections"), "connections held");
                } catch (ReflectiveOperationException e) {
                    throw new IOException(e);
                }
            });
            assertTrue(stage.failures.isEmpty(), () -> "unforeseen: " + stage.failures);
        }
    }
}
