package rowanplank.lab.trial;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rowanplank.fleet.FleetComponents;
import rowanplank.ledger.LeaseHolder;

/** What a stand-in does for its trial. */
class StandInPartsTest {
    private static final Duration HELD = Duration.ofMillis(40);

    @TempDir
    Path folder;

    private Duration take(boolean may) {
        FleetComponents parts = new FleetComponents() {
            @Override
            public boolean mayBegin(LeaseHolder holder, Instant now, String lease, Duration longest) {
                return may;
            }
        };
        long before = System.nanoTime();
        assertEquals(may, new StandInParts(parts, 1000, folder.resolve("n1.toml").toString())
                .mayBegin(null, Instant.EPOCH, "recorder", Duration.ZERO));
        return Duration.ofNanos(System.nanoTime() - before);
    }

    /** Guards the trial of acts that are held up: the stall lies behind the look, once, and the history has it. */
    @Test
    void aStartIsHeldUpOnceAndTheTrialHearsOfIt() throws Exception {
        TrialNode node = new TrialNode("n1", folder, address(), address(), address(), "", List.of());
        node.holdNextStart(HELD);
        take(false);
        assertTrue(node.isToBeHeld());
        assertEquals(Duration.ZERO, node.wasHeld());
        assertTrue(take(true).compareTo(HELD) >= 0);
        assertEquals(HELD, node.wasHeld());
        take(true);
        assertEquals(Duration.ZERO, node.wasHeld());
    }

    private static InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
    }
}
