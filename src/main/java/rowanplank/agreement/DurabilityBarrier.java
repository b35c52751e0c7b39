package rowanplank.agreement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Numbers writes to a disk, and holds messages back until all writes that were started before them are durable.
 *
 * <p>Limit: the given number of held messages; beyond it the oldest are dropped, as if they had been lost.
 *
 * @param <T> a message with its address
 */
final class DurabilityBarrier<T> {
    private record Held<T>(long number, T message) { }

    private final int maxHeld;
    private final Deque<Held<T>> held = new ArrayDeque<>();
    private long lastBegun;
    private long lastDone;

    DurabilityBarrier(int maxHeld) {
        this.maxHeld = maxHeld;
    }

    /**
     * Registers the start of a write.
     *
     * @return its number; numbers increase by one
     */
    long beginWrite() {
        return ++lastBegun;
    }

    /** The number up to which all writes are done. */
    long done() {
        return lastDone;
    }

    /** Whether a write is in progress. */
    boolean isBusy() {
        return lastDone != lastBegun;
    }

    /** Holds a message until all writes started so far are done. */
    void hold(T message) {
        if (held.size() == maxHeld) {
            held.poll();
        }
        held.add(new Held<>(lastBegun, message));
    }

    /**
     * Reports that all writes up to this number are done.
     *
     * @return the messages that no longer wait for a write, in order
     */
    List<T> done(long number) {
        lastDone = Math.max(lastDone, number);
        List<T> ready = new ArrayList<>();
        while (!held.isEmpty() && held.peek().number() <= lastDone) {
            ready.add(held.poll().message());
        }
        return ready;
    }
}
