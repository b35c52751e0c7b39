package rowanplank.net;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.TreeSet;

/** Timers of the event loop, in the order in which they are due; used on its thread only. */
final class Timers {
    private static final Comparator<Entry> ORDER =
            Comparator.comparing((Entry e) -> e.due).thenComparingLong(e -> e.number);

    private final Clock clock;
    private final TreeSet<Entry> entries = new TreeSet<>(ORDER);
    private long count;

    Timers(Clock clock) {
        this.clock = clock;
    }

    /** One timer; cancelling it twice or after it ran does nothing. */
    private final class Entry implements Loop.Timer {
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
