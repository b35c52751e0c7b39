package rowanplank.net;

import java.time.Duration;
import java.util.TreeSet;

/** Timers of the event loop, in the order in which they are due; used on its thread only. */
final class Timers {
    private final TreeSet<Entry> due = new TreeSet<>();
    private long count;

    /** One timer; cancelling it twice or after it ran does nothing. */
    private final class Entry implements EventLoop.Timer, Comparable<Entry> {
        final long atNanos;
        final long order;
        final Runnable task;

        Entry(long atNanos, Runnable task) {
            this.atNanos = atNanos;
            this.order = count++;
            this.task = task;
        }

        @Override
        public boolean cancel() {
            return due.remove(this);
        }

        @Override
        public int compareTo(Entry other) {
            int byTime = Long.compare(atNanos - other.atNanos, 0);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    EventLoop.Timer schedule(Duration delay, Runnable task) {
        Entry entry = new Entry(System.nanoTime() + delay.toNanos(), task);
        due.add(entry);
        return entry;
    }

    /** The next timer's task if it is due, else null. */
    Runnable poll() {
        if (due.isEmpty() || due.first().atNanos - System.nanoTime() > 0) {
            return null;
        }
        return due.pollFirst().task;
    }

    /** How long nothing is due: zero where something is now, null where there are no timers. */
    Duration untilNext() {
        return due.isEmpty() ? null : Duration.ofNanos(Math.max(0, due.first().atNanos - System.nanoTime()));
    }
}
