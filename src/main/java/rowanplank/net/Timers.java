package rowanplank.net;

import java.time.Duration;
import java.time.Instant;
import java.util.TreeSet;

/** Timers of the event loop, in the order in which they are due; used on its thread only. Each call costs O(log n). */
final class Timers {
    private final Clock clock;
    private final TreeSet<Entry> entries = new TreeSet<>();
    private long count;

    Timers(Clock clock) {
        this.clock = clock;
    }

    /** One timer; cancelling it twice or after it ran does nothing. */
    private final class Entry implements Loop.Timer, Comparable<Entry> {
        final Instant due;
        final long number = count++;
        final Runnable task;

        Entry(Instant due, Runnable task) {
            this.due = due;
            this.task = task;
        }

        @Override
        public boolean cancel() {
            return entries.remove(this);
        }

        @Override
        public int compareTo(Entry other) {
            int order = due.compareTo(other.due);
            return order != 0 ? order : Long.compare(number, other.number);
        }
    }

    Loop.Timer schedule(Duration delay, Runnable task) {
        Entry entry = new Entry(clock.now().plus(delay), task);
        entries.add(entry);
        return entry;
    }

    /** The next timer's task if it is due, else null. */
    Runnable poll() {
        return entries.isEmpty() || entries.first().due.isAfter(clock.now()) ? null : entries.pollFirst().task;
    }

    /** How long nothing is due: zero where something is now, null where there are no timers. */
    Duration untilNext() {
        if (entries.isEmpty()) {
            return null;
        }
        Duration left = Duration.between(clock.now(), entries.first().due);
        return left.isNegative() ? Duration.ZERO : left;
    }
}
