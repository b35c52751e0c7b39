package rowanplank.lab.trial;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import rowanplank.net.Loop;
import rowanplank.net.Ports;

/**
 * All that nodes say to one another passes here: a relay for each ordered pair of nodes, which is where the first finds
 * the second. What the second sends back to the relay goes to the first from there. Each direction between two nodes is a
 * {@link Way} of its own, the same one whichever of them asked first.
 */
final class Relays {
    private static final int MOST_BYTES = 2048;

    private final Loop loop;
    private final UniformRandomProvider chance;
    private final List<InetSocketAddress> nodes;
    private final Way[][] ways;
    private final InetSocketAddress[][] fronts;
    private final List<Loop.Datagrams> sockets = new ArrayList<>();
    private long passed;
    private long bytes;

    /** To be made on the loop's thread. @param nodes where each node's own socket is */
    Relays(Loop loop, UniformRandomProvider chance, Ports ports, List<InetSocketAddress> nodes)
            throws IOException {
        this.loop = loop;
        this.chance = chance;
        this.nodes = nodes;
        ways = new Way[nodes.size()][nodes.size()];
        fronts = new InetSocketAddress[nodes.size()][nodes.size()];
        for (int from = 0; from < nodes.size(); from++) {
            for (int to = 0; to < nodes.size(); to++) {
                ways[from][to] = new Way();
            }
        }
        for (int node = 0; node < nodes.size(); node++) {
            for (int other = 0; other < nodes.size(); other++) {
                if (node != other) {
                    fronts[node][other] = relay(node, other, ports);
                }
            }
        }
    }

    private InetSocketAddress relay(int node, int other, Ports ports) throws IOException {
        Loop.Datagrams[] ends = new Loop.Datagrams[2];
        ends[0] = loop.datagrams(ports.next(), MOST_BYTES,
                (from, payload) -> pass(payload, ways[node][other], ends[1], nodes.get(other)));
        ends[1] = loop.datagrams(ports.next(), MOST_BYTES,
                (from, payload) -> pass(payload, ways[other][node], ends[0], nodes.get(node)));
        sockets.addAll(List.of(ends));
        return ends[0].address();
    }

    private void pass(ByteBuffer payload, Way way, Loop.Datagrams out, InetSocketAddress to) {
        passed++;
        bytes += payload.remaining();
        if (way.isClean()) {
            out.send(to, payload);
            return;
        }
        if (way.cut || chance.nextDouble() < way.loss) {
            return;
        }
        int length = payload.remaining();
        if (chance.nextDouble() < way.shortened) {
            length = chance.nextInt(length);
        }
        byte[] copy = new byte[length];
        payload.get(copy);
        for (int copies = chance.nextDouble() < way.doubled ? 2 : 1; copies > 0; copies--) {
            loop.schedule(way.transit(chance), () -> out.send(to, ByteBuffer.wrap(copy)));
        }
    }

    Way way(int from, int to) {
        return ways[from][to];
    }

    /** Where a node finds another one. */
    InetSocketAddress front(int node, int other) {
        return node == other ? nodes.get(other) : fronts[node][other];
    }

    void mendAll() {
        for (Way[] row : ways) {
            for (Way w : row) {
                w.mend();
            }
        }
    }

    long passed() {
        return passed;
    }

    long bytes() {
        return bytes;
    }

    void close() {
        for (Loop.Datagrams s : sockets) {
            try {
                s.close();
            } catch (IOException e) {
                // the trial is over
            }
        }
    }
}
