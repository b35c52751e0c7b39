package rowanplank.agreement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Messages that wait for disk writes. */
class DurabilityBarrierTest {
    private final DurabilityBarrier<String> barrier = new DurabilityBarrier<>(3);

    /** A message must not be sent before all writes that it depends on are done, and messages must stay in order. */
    @Test
    void messageWaitsForAllEarlierWrites() {
        long first = barrier.beginWrite();
        barrier.hold("a");
        long second = barrier.beginWrite();
        barrier.hold("b");
        barrier.hold("c");
        assertEquals(List.of("a"), barrier.done(first));
        assertTrue(barrier.isBusy());
        assertEquals(List.of("b", "c"), barrier.done(second));
        assertFalse(barrier.isBusy());
    }

    /** Writes may be reported as done out of order; a report with a lower number must change nothing. */
    @Test
    void reportOfEarlierWriteChangesNothing() {
        long first = barrier.beginWrite();
        long second = barrier.beginWrite();
        barrier.done(second);
        assertEquals(List.of(), barrier.done(first));
        assertEquals(second, barrier.done());
    }

    /** Memory use must stay bounded while the disk hangs. */
    @Test
    void oldestMessagesAreDroppedOverTheLimit() {
        long number = barrier.beginWrite();
        List.of("a", "b", "c", "d").forEach(barrier::hold);
        assertEquals(List.of("b", "c", "d"), barrier.done(number));
    }
}
