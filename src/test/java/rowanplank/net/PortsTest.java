package rowanplank.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Set;
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
