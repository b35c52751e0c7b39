package rowanplank.lab.check;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import rowanplank.lab.trace.Event;
import rowanplank.lab.trace.Event.Kind;

/**
 * The requests that can still matter: from when they were asked until all that may come of them has. What is kept
 * of the others is one bit each, so that what comes too late can be told from what was never asked.
 */
final class Requests {
    /** Numbers are dense: bits are kept in runs of so many. */
    private static final int DENSE_BITS = 16;

    private final Figures figures;
    private final Spans held;
    private final Map<Long, Request> kept = new LinkedHashMap<>();
    private final PriorityQueue<Request> settling = new PriorityQueue<>(
            Comparator.<Request>comparingLong(r -> r.settlesAt).thenComparingLong(r -> r.number));
    private final Map<Long, BitSet> asked = new LinkedHashMap<>();

    /** @param held while any fault keeps up what is sent */
    Requests(Figures figures, Spans held) {
        this.figures = figures;
        this.held = held;
    }

    /** @return the request that the event is about, null if none is kept */
    Request see(Event e) {
        if (!isOfOneRequest(e)) {
            return null;
        }
        Request request = kept.get(e.request());
        if (request == null && e.kind() == Kind.ASKED && !wasAsked(e.request())) {
            request = begin(e);
        }
        if (request != null) {
            request.see(e);
        }
        return request;
    }

    /** Other kinds tell something else in the field. */
    private static boolean isOfOneRequest(Event e) {
        return switch (e.kind()) {
            case ASKED, ANSWERED, CUT_SHORT, GAVE_UP, NOT_CONNECTED, SENT_ANEW, TRY_BEGAN, TRY_CAME, TRY_RUNS,
                    TRY_OFFERED_COLD, TRY_ANSWERED, TRY_WITHDRAWN, TRY_LOST -> true;
            default -> false;
        };
    }

    private Request begin(Event e) {
        Request request = new Request(e);
        request.settlesAt = Math.max(e.at(), e.value()) + figures.answerWithin().plus(figures.settles()).toNanos();
        kept.put(request.number, request);
        settling.add(request);
        asked.computeIfAbsent(e.request() >> DENSE_BITS, n -> new BitSet()).set(low(e.request()));
        return request;
    }

    private static int low(long number) {
        return (int) (number & (1L << DENSE_BITS) - 1);
    }

    /** Whether a client ever asked it. */
    boolean wasAsked(long number) {
        BitSet bits = asked.get(number >> DENSE_BITS);
        return bits != null && bits.get(low(number));
    }

    /** Takes out the first one of which nothing more can come by then; null if there is none. */
    Request settled(long now) {
        for (Request first; (first = settling.peek()) != null && first.settlesAt <= now;) {
            settling.poll();
            long settles = settlesAt(first, now);
            if (settles <= now) {
                kept.remove(first.number);
                return first;
            }
            first.settlesAt = settles;
            settling.add(first);
        }
        return null;
    }

    /**
     * What was sent at s, and was kept by one fault after the other, the last one until b, comes at 2 b - s and a
     * time-out at the latest, since time-outs double.
     */
    private long settlesAt(Request r, long now) {
        long last = now == Long.MAX_VALUE ? 0 : held.lastIn(r.askedAt, r.settlesAt);
        long quiet = figures.settles().toNanos();
        return last == Long.MAX_VALUE ? now + quiet : Math.max(r.settlesAt, 2 * last - r.askedAt + quiet);
    }

    /** Those that have no end, by their numbers. */
    List<Request> open() {
        List<Request> open = new ArrayList<>(kept.values());
        open.removeIf(r -> r.end != null);
        open.sort(Comparator.comparingLong(r -> r.number));
        return open;
    }
}
