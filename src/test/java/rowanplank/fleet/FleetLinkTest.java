package rowanplank.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import rowanplank.config.FleetAddresses;
import rowanplank.metrics.Counters;
import rowanplank.metrics.Counters.Count;
import rowanplank.net.Ports;
import rowanplank.net.SelectorLoop;
import rowanplank.net.SystemClock;

/** Two nodes' links on real datagrams; with two, what is sent to all is sent to the other. */
@Timeout(60)
class FleetLinkTest {
    private final Ports ports = Ports.free();
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private final List<SelectorLoop> loops = new ArrayList<>();

    FleetLinkTest() throws Exception {
        addresses.add(ports.next());
        addresses.add(ports.next());
    }

    @AfterEach
    void stop() throws Exception {
        for (SelectorLoop loop : loops) {
            loop.stop();
        }
    }

    private final class Node {
        final BlockingQueue<Integer> living = new LinkedBlockingQueue<>();
        final Counters counters = new Counters();
        final SelectorLoop loop = new SelectorLoop(new SystemClock(), e -> { });
        final FleetLink link;

        Node(int number) throws Exception {
            loops.add(loop);
            loop.start();
            link = new FleetLink(new FleetAddresses(addresses.get(number), addresses.get(1 - number), addresses), number,
                    loop, counters, living::add);
            loop.call(() -> {
                link.start();
                return null;
            });
        }

        void awaitLiving(int count) throws Exception {
            Integer now;
            do {
                now = living.poll(30, TimeUnit.SECONDS);
                assertNotNull(now, "never " + count);
            } while (now != count);
        }

        void end() throws Exception {
            loop.call(() -> {
                link.close();
                return null;
            });
        }
    }

    @Test
    void aNodeThatEndsIsMissedAndOneThatComesBackCounts() throws Exception {
        Node first = new Node(0);
        first.awaitLiving(1);
        Node second = new Node(1);
        first.awaitLiving(2);
        second.end();
        first.awaitLiving(1);
        new Node(1); // the address is free again
        first.awaitLiving(2);
    }

    /** Guards the count from whatever else may come in, and from a node's number out of another's mouth. */
    @Test
    void whatIsNoWordOfANodeIsDroppedAndCounted() throws Exception {
        Node first = new Node(0);
        first.awaitLiving(1);
        byte[][] words = {{}, {1}, {0x52, 0x50, 1, 1, 0, 0, 0, 1}, {0x52, 0x50, 9, 1, 0, 0, 0, 1},
            {0x52, 0x50, 1, 1, -1, -1, -1, -1}, new byte[FleetLink.BYTES]};
        try (DatagramSocket stranger = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            for (byte[] word : words) {
                stranger.send(new DatagramPacket(word, word.length, addresses.get(0)));
            }
        }
        while (first.loop.call(() -> first.counters.get(Count.FLEET_MALFORMED)) < words.length) {
            Thread.sleep(5);
        }
        assertEquals(null, first.living.poll());
    }

    /** An upgrade's new process finds the address taken; it takes it once the old one has gone. */
    @Test
    void anAddressThatIsTakenIsTriedAgain() throws Exception {
        Node old = new Node(0);
        Node next = new Node(0);
        while (next.loop.call(() -> next.counters.get(Count.FLEET_DEAF)) == 0) {
            Thread.sleep(5);
        }
        old.end();
        next.awaitLiving(1);
        new Node(1);
        next.awaitLiving(2);
    }
}
