package rowanplank.peer.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

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
import rowanplank.exchange.Answer;
import rowanplank.exchange.Exchange;
import rowanplank.exchange.RequestContext;
import rowanplank.exchange.Transfer;
import rowanplank.metrics.Counters;
import rowanplank.net.StandingLoop;

class PeersTest {
    private static final Instant NOW = Instant.EPOCH;

    private final OpeningLoop loop = new OpeningLoop();
    private final UpstreamGroup group = new UpstreamGroup();
    private final Peers peers =
            new Peers(group, Duration.ofSeconds(30), Duration.ofSeconds(1), 4, loop, new Counters(),
                    new Transfer.Room());
    private long requests;

    /** A loop whose connections all come up at once. */
    private static final class OpeningLoop extends StandingLoop {
        /** By the port. */
        final Map<Integer, ByteArrayEndPoint> opened = new TreeMap<>();

        @Override
        public Opening connect(InetSocketAddress address, Duration timeout, Connector connector) {
            ByteArrayEndPoint endPoint = endPoint();
            opened.put(address.getPort(), endPoint);
            execute(() -> open(endPoint, connector.connected(endPoint)));
            return () -> { };
        }
    }

    private final class Ignored implements Exchange.Listener {
        @Override
        public void tryEnded(Exchange.Try attempt, Outcome outcome, Answer.Served served) { }

        @Override
        public void departed(Exchange exchange) { }
    }

    private static Member member(long id) {
        return new Member("s-" + id, new InetSocketAddress("127.0.0.1", (int) id),
                new Server(id, 0, 0, Lifecycle.READY, 1, 0));
    }

    private void send(long peer) {
        RequestContext context = new RequestContext("r" + ++requests, 0, false, NOW, NOW.plusSeconds(9),
                new RequestContext.Payload("GET", "/a", List.of(), new byte[0]));
        Exchange exchange = new Exchange(requests, context, a -> { }, new Ignored());
        peers.send(exchange.begin(0, peer, NOW, NOW.plusSeconds(9)));
        loop.run();
    }

    private void answer(long peer) {
        loop.opened.get((int) peer).addInput("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        loop.run();
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
}
