package rowanplank.agreement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Messages that wait for writes. */
class DurabilityBarrierTest {
    private final DurabilityBarrier<String> barrier = new DurabilityBarrier<>(3);

    /** Guards what a message rests on: it goes once all writes before it are done, and in its order. */
    @Test
    void aMessageWaitsForAllWritesBeforeIt() {
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

    /** Guards against a disk that tells of its writes in another order: an older number says nothing new. */
    @Test
    void anOlderNumberTakesNothingBack() {
        long first = barrier.beginWrite();
        long second = barrier.beginWrite();
        barrier.done(second);
        assertEquals(List.of(), barrier.done(first));
        assertEquals(second, barrier.done());
    }

    /** Guards memory while a disk hangs. */
    @Test
    void ofTooManyMessagesTheOldestAreDropped() {
        long number = barrier.beginWrite();
        List.of("a", "b", "c", "d").forEach(barrier::hold);
        assertEquals(List.of("b", "c", "d"), barrier.done(number));
    }
}
