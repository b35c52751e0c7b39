package rowanplank.intake.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.eclipse.jetty.io.ByteArrayEndPoint;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.junit.jupiter.api.Test;
import rowanplank.balancer.BalancerApi.Lifecycle;
import rowanplank.balancer.BalancerApi.ListKind;
import rowanplank.balancer.BalancerApi.Outcome;
import rowanplank.balancer.BalancerApi.Server;
import rowanplank.config.SettingsReader;
import rowanplank.config.SiteSettings;
import rowanplank.decision.DecisionDriver;
import rowanplank.exchange.Response;
import rowanplank.exchange.Exchange;
import rowanplank.exchange.RequestHandler;
import rowanplank.exchange.RequestContext;
import rowanplank.exchange.Transfer;
import rowanplank.exchange.AttemptSender;
import rowanplank.metrics.Counters.Count;
import rowanplank.lifecycle.LifecycleTest;
import rowanplank.metrics.Counters;
import rowanplank.metrics.RateLimitedLog;
import rowanplank.net.StandingLoop;

class IntakeTest {
    private static final int MOST = 4;
    private static final int RESERVE = 16;

    private final Accepting loop = new Accepting();
    private final Counters counters = new Counters();

    /** A loop at which clients connect as the test says. */
    private static final class Accepting extends StandingLoop {
        private final List<ByteArrayEndPoint> clients = new ArrayList<>();
        private Function<EndPoint, Connection> onAccept;

        void connect(String text) {
            ByteArrayEndPoint endPoint = endPoint();
            clients.add(endPoint);
            open(endPoint, onAccept.apply(endPoint));
            if (endPoint.isOpen()) {
                endPoint.addInput(text);
            }
            run();
        }

        long open() {
            return clients.stream().filter(EndPoint::isOpen).count();
        }

        @Override
        public Listening listen(InetSocketAddress address, int backlog, Function<EndPoint, Connection> accepts) {
            onAccept = accepts;
            return null;
        }
    }

    private static final class Nowhere implements RequestHandler {
        @Override
        public Exchange open(RequestContext context, Exchange.Client client) {
            throw new UnsupportedOperationException();
        }

        @Override
        public boolean isOpen(String id) {
            return false;
        }
    }

    /**
     * Guards the descriptors: connections that are told that there is no room linger for a second, and a crowd whose
     * requests are all half done leaves nothing at rest that could make room.
     */
    @Test
    void aCrowdThatStopsHalfWayNeverHoldsMoreThanTheBound() throws Exception {
        Intake intake = new Intake(SettingsReader.parse("{\"classes\":[{\"name\":\"a\",\"aim_ms\":50,\"deadline_ms\":200}]}"),
                new Nowhere(), MOST, MOST, loop, counters, LifecycleTest.serving(), new Transfer.BufferBudget(),
                1 << 20);
        intake.start();
        intake.listen(null);
        for (int i = 0; i < 500; i++) {
            loop.connect("GET /a HTTP/1.1\r\nX-Half: ");
        }
        assertTrue(loop.open() <= MOST + 2 * RESERVE, loop.open() + " open");
        assertEquals(loop.open(), intake.connectionCount());
        assertEquals(500 - MOST - RESERVE, counters.get(Count.CLIENT_CONNECTIONS_TURNED_AWAY));
        assertTrue(loop.clients.get(MOST + RESERVE).getOutputString().startsWith("HTTP/1.1 503 "), "the first are told");
    }

    /** F18 of docs/audit-findings.md: an answer that found no room for its bytes was told 502, and counted as served. */
    @Test
    void whatIsCountedAsServedWasServed() throws Exception {
        SiteSettings site = SettingsReader.parse("{\"classes\":[{\"name\":\"a\",\"aim_ms\":50,\"deadline_ms\":200,"
                + "\"effect\":\"repeatable\"}]}");
        DecisionDriver decisions = new DecisionDriver(site, 1, loop, counters, new RateLimitedLog(loop.clock(), (w, l, c) -> { }));
        decisions.setSender(new Serving());
        decisions.updateServers(ListKind.FULL, List.of(new Server(1, 0, 0, Lifecycle.READY, 1, 0)));
        Intake intake = new Intake(site, decisions, 64, 64, loop, counters, LifecycleTest.serving(), new Transfer.BufferBudget(),
                1 << 20);
        intake.start();
        intake.listen(null);
        for (int i = 0; i < 20; i++) {
            loop.connect("GET /a HTTP/1.1\r\nHost: x\r\nX-Request-ID: r" + i + "\r\n\r\n");
        }
        long served = loop.clients.stream().filter(c -> c.getOutputString().startsWith("HTTP/1.1 200 ")).count();
        assertEquals(20, served);
        assertEquals(served, counters.get(Count.ANSWERS_SERVED));
    }

    /** Answers each try at once with a megabyte, which no client here reads. */
    private static final class Serving implements AttemptSender {
        @Override
        public void send(Exchange.Attempt attempt) {
            attempt.end(Outcome.OK, new Response.Served(List.of(), new byte[1 << 20]));
        }

        @Override
        public void limitTime(Exchange.Attempt attempt, Duration left) { }

        @Override
        public void cancel(Exchange.Attempt attempt) { }

        @Override
        public void closeIdle(long peer) { }
    }
}
