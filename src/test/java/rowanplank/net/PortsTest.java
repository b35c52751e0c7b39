package rowanplank.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;

/** Which addresses are handed out. */
class PortsTest {
    private static final int EACH = 200;

    /** Guards trials that run at once: a node binds long after its address was chosen, so no two may choose one. */
    @Test
    void thoseOfTwoAtOnceAreNeverAlike() throws Exception {
        Set<InetSocketAddress> all = new HashSet<>();
        try (Ports first = Ports.apart(); Ports second = Ports.apart()) {
            for (int i = 0; i < EACH; i++) {
                all.add(first.next());
                all.add(second.next());
            }
        }
        assertEquals(2 * EACH, all.size());
    }

    /**
     * Guards a trial that begins while another one starts processes: a process that is being started holds, for a moment,
     * a copy of each socket that is open then, one that was opened only to look whether a port is free as well.
     */
    @Test
    void whatIsHandedOutCanBeListenedAtWhileProcessesAreStarted() throws Exception {
        AtomicBoolean over = new AtomicBoolean();
        List<Thread> starters = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            starters.add(new Thread(() -> startProcessesUntil(over)));
        }
        starters.forEach(Thread::start);
        try (Ports ports = Ports.apart()) {
            for (int i = 0; i < 1500; i++) {
                new DatagramSocket(ports.next()).close();
            }
        } finally {
            over.set(true);
            for (Thread s : starters) {
                s.join();
            }
        }
    }

    private static void startProcessesUntil(AtomicBoolean over) {
        try {
            while (!over.get()) {
                new ProcessBuilder("true").start().waitFor();
            }
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Guards a long campaign, in one process or many: what was given back is there for others. */
    @Test
    void thereIsAlwaysAHostOfOnesOwnLeft() throws Exception {
        for (int i = 0; i < 1100; i++) { // more often than there are such hosts
            try (Ports ports = Ports.apart()) {
                assertNotEquals(InetAddress.getLoopbackAddress(), ports.next().getAddress());
            }
        }
    }
}
