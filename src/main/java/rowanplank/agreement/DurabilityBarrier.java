package rowanplank.agreement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Numbers writes to a disk, and holds messages back until all writes that were begun before them are done.
 *
 * <p>Bound: so many messages as it is made for; of more the oldest are dropped, as if lost.
 *
 * @param <T> a message with its address
 */
final class DurabilityBarrier<T> {
    private record Held<T>(long number, T message) { }

    private final int maxHeld;
    private final Deque<Held<T>> held = new ArrayDeque<>();
    private long lastBegun;
    private long lastDone;

    DurabilityBarrier(int mostHeld) {
        this.maxHeld = mostHeld;
    }

    /** A write begins. @return its number; numbers rise by one */
    long beginWrite() {
        return ++lastBegun;
    }

    /** Up to which number all writes are done. */
    long done() {
        return lastDone;
    }

    /** Whether a write is under way. */
    boolean isBusy() {
        return lastDone != lastBegun;
    }

    /** Holds a message until all writes begun so far are done. */
    void hold(T message) {
        if (held.size() == maxHeld) {
            held.poll();
        }
        held.add(new Held<>(lastBegun, message));
    }

    /** All writes up to that number are done. @return the messages that waited for no later one, in their order */
    List<T> done(long number) {
        lastDone = Math.max(lastDone, number);
        List<T> free = new ArrayList<>();
        while (!held.isEmpty() && held.peek().number() <= lastDone) {
            free.add(held.poll().message());
        }
        return free;
    }
}
