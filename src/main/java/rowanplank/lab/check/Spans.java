package rowanplank.lab.check;

import java.util.Arrays;

/** Spans of time in which something was the case, in the order in which they began; nanoseconds. A few each. */
final class Spans {
    private static final long OPEN = Long.MAX_VALUE;

    private long[] from = new long[2];
    private long[] to = new long[2];
    private int size;
    private int open;

    /** It is the case from now on, or once more where it is already. */
    void begin(long at) {
        if (open++ > 0) {
            return;
        }
        if (size == from.length) {
            from = Arrays.copyOf(from, 2 * size);
            to = Arrays.copyOf(to, 2 * size);
        }
        from[size] = at;
        to[size++] = OPEN;
    }

    /** It is no longer the case, once this was said as often as that it was. */
    void end(long at) {
        if (open > 0 && --open == 0) {
            to[size - 1] = at;
        }
    }

    /** It was the case in one instant. */
    void add(long at) {
        begin(at);
        end(at);
    }

    /** When it was last the case in those of the spans that touch this one; 0 for none, and for ever while it is. */
    long lastIn(long begin, long end) {
        long last = 0;
        for (int i = 0; i < size; i++) {
            if (from[i] <= end && to[i] >= begin) {
                last = Math.max(last, to[i]);
            }
        }
        return last;
    }

    /** Whether it was the case at any time from the one to the other, both included. */
    boolean touches(long begin, long end) {
        for (int i = size - 1; i >= 0; i--) {
            if (from[i] <= end && to[i] >= begin) {
                return true;
            }
        }
        return false;
    }
}
