package rowanplank.peer.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.LongStream;
import org.eclipse.jetty.io.ByteArrayEndPoint;
import org.junit.jupiter.api.Test;
import rowanplank.balancer.BalancerApi.Lifecycle;
import rowanplank.balancer.BalancerApi.Outcome;
import rowanplank.balancer.BalancerApi.Server;
import rowanplank.config.HostList;
import rowanplank.config.HostList.Member;
import rowanplank.discovery.UpstreamGroup;
import rowanplank.exchange.Exchange;
import rowanplank.exchange.RequestContext;
import rowanplank.exchange.Response;
import rowanplank.exchange.Transfer;
import rowanplank.metrics.Counters;
import rowanplank.net.Clock;
import rowanplank.net.StandingLoop;

class PeersTest {
    private static final Instant NOW = Instant.EPOCH;

    private final OpeningLoop loop = new OpeningLoop();
    private final UpstreamGroup group = new UpstreamGroup();
    private final Peers peers =
            new Peers(group, Duration.ofSeconds(30), Duration.ofSeconds(1), 4, loop, new Counters(),
                    new Transfer.BufferBudget());
    private final List<Outcome> outcomes = new ArrayList<>();
    private long requests;

    /** A loop whose connections all come up at once. */
    private static final class OpeningLoop extends StandingLoop {
        Instant now = NOW;
        /** By the port. */
        final Map<Integer, ByteArrayEndPoint> opened = new TreeMap<>();

        @Override
        public Clock clock() {
            return () -> now;
        }

        @Override
        public Opening connect(InetSocketAddress address, Duration timeout, Connector connector) {
            ByteArrayEndPoint endPoint = endPoint();
            opened.put(address.getPort(), endPoint);
            execute(() -> open(endPoint, connector.connected(endPoint)));
            return () -> { };
        }
    }

    private final class Noted implements Exchange.Listener {
        @Override
        public void attemptEnded(Exchange.Attempt attempt, Outcome outcome, Response.Served served) {
            outcomes.add(outcome);
        }

        @Override
        public void clientLeft(Exchange exchange) { }
    }

    private static Member member(long id) {
        return new Member("s-" + id, new InetSocketAddress("127.0.0.1", (int) id),
                new Server(id, 0, 0, Lifecycle.READY, 1, 0));
    }

    private void send(long peer) {
        send(peer, new byte[0]);
    }

    private void send(long peer, byte[] body) {
        RequestContext context = new RequestContext("r" + ++requests, 0, false, NOW, NOW.plusSeconds(9),
                new RequestContext.Payload("GET", "/a", List.of(), body));
        Exchange exchange = new Exchange(requests, context, a -> { }, new Noted());
        peers.send(exchange.beginAttempt(0, peer, NOW, NOW.plusSeconds(9)));
        loop.run();
    }

    private void answer(long peer) {
        loop.opened.get((int) peer).addInput("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        loop.run();
        loop.now = loop.now.plus(Peers.REST);
    }

    private List<Integer> closed() {
        List<Integer> closed = new ArrayList<>();
        loop.opened.forEach((port, endPoint) -> {
            if (!endPoint.isOpen()) {
                closed.add(port);
            }
        });
        return closed;
    }

    /** Guards runs that are to repeat, and connections still of use: which one makes room is no matter of a hash. */
    @Test
    void theConnectionThatIsIdleTheLongestMakesRoom() {
        group.apply(new HostList(1, true, LongStream.rangeClosed(1, 6).mapToObj(PeersTest::member).toList()));
        for (long peer : new long[] {3, 1, 4, 2}) {
            send(peer);
            answer(peer);
        }
        send(3); // used again, it is the youngest
        answer(3);
        send(5);
        assertEquals(List.of(1), closed());
        send(6);
        assertEquals(List.of(1, 4), closed());
    }

    /** What comes before a request's last byte is written can't be its answer: it is of the one before, and comes late. */
    @Test
    void anAnswerThatComesBeforeTheRequestIsWrittenIsNotTaken() {
        group.apply(new HostList(1, true, List.of(member(1))));
        send(1);
        answer(1);
        send(1, new byte[1 << 16]); // with its head it is longer than what the end point takes at once
        answer(1);
        assertEquals(List.of(Outcome.OK, Outcome.CONNECT_FAILED), outcomes);
        assertEquals(List.of(1), closed());
    }

    /** The newest that has rested is used; one that has not is left, as long as another can be opened. */
    @Test
    void aConnectionRestsBeforeItIsUsedAgain() {
        group.apply(new HostList(1, true, List.of(member(1))));
        send(1);
        ByteArrayEndPoint first = loop.opened.get(1);
        answer(1);
        loop.now = loop.now.minusNanos(1);
        send(1);
        assertNotSame(first, loop.opened.get(1));
        loop.now = loop.now.plusNanos(1);
        send(1);
        assertTrue(first.takeOutputString().indexOf("GET", 1) > 0, "the second request on it");
    }
}
