package rowanplank.lab.check;

import java.time.Duration;
import rowanplank.lab.check.Node.Life;
import rowanplank.lab.trace.Event;
import rowanplank.lab.trace.Event.Kind;

/**
 * Whether a request was lost: taken and not answered in time, by the node's own fault.
 *
 * <p>In time is an answer whose last byte has come by {@code deadline + answerSlack + 50 ms} (WIRE, The contract, 1;
 * PROTOCOL, The rules on sockets), where the deadline is when the client stops waiting. No answer at all is lost, and
 * so is one whose connection the node ended before that. Excused, in this order: what happened to the node itself
 * (killed outright, silent, standing still, short of its core, crashed), and
 * <ul>
 * <li>a client that left before the time was up: {@link Excuse#CLIENT_LEFT};
 * <li>a connection that was new, ended before the node had read it or sent anything on: {@link Excuse#UNREAD};
 * <li>part of an answer, where a server had ended a try of it or sent what can't be read: {@link Excuse#ANSWER_BROKEN};
 * <li>lateness by less than what the loss of segments may take: {@link Excuse#SEGMENTS_LOST}.
 * </ul>
 */
final class Losses {
    /** SIGKILL may come so long after SIGTERM plus the longest deadline: what came after it could not be answered. */
    private static final Duration STOPS_TAKING = Duration.ofMillis(700);

    private static final String UNREAD = "unread";

    private final Figures figures;
    private final Picture picture;
    private final Findings findings;

    Losses(Figures figures, Picture picture, Findings findings) {
        this.figures = figures;
        this.picture = picture;
        this.findings = findings;
    }

    /** @return how the request was lost; null if it was not, or that is excused */
    String lost(Request r) {
        Node node = picture.node(r.node);
        long late = r.deadline + figures.answerWithin().toNanos();
        boolean dayWasOver = r.end == null && picture.now() < late;
        if (r.endedBy(Kind.NOT_CONNECTED) || dayWasOver) {
            return null;
        }
        if (r.endedBy(Kind.ANSWERED)) {
            return r.endedAt() <= late || excuse(lateness(r, node, late)) ? null
                    : String.format("answered %.3f ms too late", (r.endedAt() - late) / 1e6);
        }
        if (r.endedBy(Kind.GAVE_UP) && r.endedAt() < late) {
            findings.excuse(Excuse.CLIENT_LEFT);
            return null;
        }
        if (r.endedBy(Kind.CUT_SHORT)) {
            return excuse(ending(r, node, r.endedAt())) || excuse(cut(r)) ? null
                    : "its connection was ended without a whole answer: " + r.end.text();
        }
        return excuse(lateness(r, node, late)) ? null : "not answered";
    }

    /** @return how it was lost at a node from which its client went on to another connection; null as above */
    String lost(Request r, Event sentAnew) {
        return !r.sentOnBy(sentAnew.node(), sentAnew.at())
                || excuse(ending(r, picture.node(sentAnew.node()), sentAnew.at())) ? null
                : "its connection was closed as though it was unread, and it had been sent on";
    }

    private boolean excuse(Excuse excuse) {
        if (excuse != null) {
            findings.excuse(excuse);
        }
        return excuse != null;
    }

    private Excuse lateness(Request r, Node node, long late) {
        long until = Math.min(r.endedAt(), late);
        Excuse ending = ending(r, node, until);
        Excuse trouble = ending != null ? ending : node.excuse(sent(r), until);
        boolean lossy = !figures.retransmission().isZero();
        return trouble == null && lossy && r.endedAt() != Request.NEVER
                && r.endedAt() - late <= 2 * figures.retransmission().toNanos() ? Excuse.SEGMENTS_LOST : trouble;
    }

    /** The node's process ended, or its machine fell silent, while it had the request. */
    private Excuse ending(Request r, Node node, long until) {
        if (node.vanished.touches(sent(r), until)) {
            return Excuse.NODE_VANISHED;
        }
        Life life = node.lifeAt(r.askedAt);
        if (life.endedAt > until) {
            return null;
        }
        if (!life.killed) {
            return life.toldToStop() ? null : Excuse.NODE_CRASHED;
        }
        boolean cameTooLate = life.toldToStop() && r.askedAt > life.toldToStopAt + STOPS_TAKING.toNanos();
        return cameTooLate ? node.excuse(life.toldToStopAt, until) : Excuse.NODE_KILLED;
    }

    private Excuse cut(Request r) {
        boolean partly = r.end.value() != 0;
        if (!partly) {
            Life life = picture.node(r.node).lifeAt(r.askedAt);
            boolean closed = !life.killed || life.endedAt > r.endedAt();
            return closed && UNREAD.equals(r.end.text()) && !r.sentOnBy(r.node, r.endedAt()) ? Excuse.UNREAD : null;
        }
        return r.tries.stream().anyMatch(t -> t.broken) ? Excuse.ANSWER_BROKEN : null;
    }

    /** What is to happen to a request may have happened while it was on its way. */
    private long sent(Request r) {
        return r.askedAt - figures.arrives().toNanos();
    }

    /** Whether the node had been told to stop when the request ended, in the life that took it. */
    boolean whileStopping(Request r) {
        return picture.node(r.node).lifeAt(r.askedAt).toldToStopAt <= at(r);
    }

    /** When the loss showed. */
    long at(Request r) {
        return r.end == null ? r.deadline + figures.answerWithin().toNanos() : r.endedAt();
    }
}
