package rowanplank.lab.check;

import java.util.ArrayList;
import java.util.List;
import rowanplank.lab.trace.Event;
import rowanplank.lab.trace.Event.Kind;

/** What was told of one request: under a kilobyte. */
final class Request {
    static final long NEVER = Long.MAX_VALUE;
    private static final int MOST_EVENTS = 64;

    final long number;
    /** The class. */
    final String type;
    /** When the client stops waiting. */
    final long deadline;
    int node;
    long askedAt;
    /** What ended it, for the client; null while nothing has. */
    Event end;
    /** In the order in which they were sent. */
    final List<Try> tries = new ArrayList<>(2);
    final List<Event> events = new ArrayList<>(8);
    /** When all that can matter has come. */
    long settlesAt;

    Request(Event asked) {
        number = asked.request();
        type = asked.text();
        deadline = asked.value();
        node = asked.node();
        askedAt = asked.at();
    }

    void see(Event e) {
        if (events.size() == MOST_EVENTS) {
            events.remove(MOST_EVENTS / 2);
        }
        events.add(e);
        switch (e.kind()) {
            case ASKED -> {
                node = e.node();
                askedAt = e.at();
            }
            case ANSWERED, CUT_SHORT, GAVE_UP, NOT_CONNECTED -> end = end == null ? e : end;
            case TRY_BEGAN -> add(new Try(e));
            case TRY_CAME, TRY_RUNS, TRY_ANSWERED, TRY_WITHDRAWN, TRY_LOST -> {
                Try t = expecting(e);
                if (t != null) {
                    see(t, e);
                }
            }
            default -> { }
        }
    }

    /**
     * Which of two tries that are out at one server an event belongs to is not told. An end that was taken for this
     * one's, and then turns out to have come after it was withdrawn, may have been that of the next one.
     */
    private void see(Try t, Event e) {
        if (e.kind() == Kind.TRY_WITHDRAWN && t.endedAt != NEVER) {
            tries.stream().filter(o -> o != t && o.isAtSame(t) && o.endedAt == NEVER).findFirst()
                    .ifPresent(o -> o.endedAt = t.endedAt);
        }
        t.see(e);
    }

    /** The first one to which it may belong, and which is still out if there is such a one. */
    private Try expecting(Event e) {
        Try found = null;
        for (Try t : tries) {
            if (t.expects(e) && (found == null || found.endedAt != NEVER && t.endedAt == NEVER)) {
                found = t;
            }
        }
        return found;
    }

    private void add(Try t) {
        int place = tries.size();
        while (place > 0 && tries.get(place - 1).firstSentAt > t.firstSentAt) {
            place--;
        }
        tries.add(place, t);
    }

    /** Puts the ends of tries at one server in the order of their sending. */
    void orderEnds() {
        for (int i = 0; i < tries.size(); i++) {
            for (Try later : tries.subList(i + 1, tries.size())) {
                Try t = tries.get(i);
                if (t.isAtSame(later) && t.endedAt > later.endedAt) {
                    t.swapEnds(later);
                }
            }
        }
    }

    boolean endedBy(Kind kind) {
        return end != null && end.kind() == kind;
    }

    /** When the client saw its end; {@link #NEVER} while nothing has ended it. */
    long endedAt() {
        return end == null ? NEVER : end.at();
    }

    /** Whether it was answered 429 or 503: the client may ask again with no harm. */
    boolean refused() {
        return endedBy(Kind.ANSWERED) && (end.value() == 429 || end.value() == 503);
    }

    boolean served() {
        return endedBy(Kind.ANSWERED) && end.value() == 200;
    }

    /** Whether the node had begun to send it on by then. */
    boolean sentOnBy(int byNode, long at) {
        return tries.stream().anyMatch(t -> t.node == byNode && t.firstSentAt <= at);
    }

    /** Whether a try of it had been written whole by then. */
    boolean triedBy(long at) {
        return tries.stream().anyMatch(t -> t.whole() && t.lastSentAt <= at);
    }
}
