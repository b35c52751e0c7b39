package routerfleet.simulation;

import java.util.PriorityQueue;

/** Virtual time: what is planned happens in the order of its time, on one thread; the same plan gives the same run. */
public final class VirtualWorld {
    private record Event(long nanos, long number, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(nanos, other.nanos);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long nowNanos;
    private long lastNumber;

    /** Virtual time in nanoseconds, from 0. */
    public long nowNanos() {
        return nowNanos;
    }

    /** Virtual time in milliseconds, from 0. */
    public long nowMs() {
        return nowNanos / 1_000_000;
    }

    /** Plans a task. */
    public void after(long delayNanos, Runnable task) {
        events.add(new Event(nowNanos + Math.max(0, delayNanos), ++lastNumber, task));
    }

    /** Plans a task. */
    public void afterMs(long delayMs, Runnable task) {
        after(delayMs * 1_000_000, task);
    }

    /** Lets everything happen up to that time. */
    public void runUntilMs(long endMs) {
        long end = endMs * 1_000_000;
        while (!events.isEmpty() && events.peek().nanos() <= end) {
            Event next = events.poll();
            nowNanos = next.nanos();
            next.task().run();
        }
        nowNanos = end;
    }
}
