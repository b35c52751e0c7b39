package rowanplank.lab.check;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import rowanplank.lab.trace.Event;
import rowanplank.lab.trace.Event.Kind;

/**
 * {@link Rule#ONE_TRY}, judged by when the node sent what, not by when it came. A try counts if its last byte came to
 * a server (PROTOCOL, Nodes to page servers), and is out from when that byte was written until the first of
 * <pre>
 *   the node ended its side (its stamp), the server wrote its answer or ended its side, either process ended
 * </pre>
 * <ul>
 * <li>No try of a request by a node is written whole while another one is out. Excused: by no more than an end takes
 * from the node to the server, since the server may have answered meanwhile ({@link Excuse#END_ON_ITS_WAY}); and what
 * can't be seen, since the way or a machine was silent or slow ({@link Excuse#WAY_DISTURBED}).
 * <li>A node sends a request at most {@code tries} times.
 * <li>None begins after the client has its answer, or when word of its leaving must have come (50 ms are granted).
 * <li>Nothing is sent that no client has asked.
 * </ul>
 * Costs: O(n^2) a request for its n tries.
 */
final class OneTry implements Check {
    private static final long SOCKETS = 50_000_000;

    private final Figures figures;
    private final Picture picture;
    private final Requests requests;
    private final Findings findings;

    OneTry(Figures figures, Picture picture, Requests requests, Findings findings) {
        this.figures = figures;
        this.picture = picture;
        this.requests = requests;
        this.findings = findings;
    }

    @Override
    public void see(Event e, Request request) {
        if (e.kind() == Kind.TRY_CAME) {
            findings.count(Count.TRIES);
        }
        if (e.kind() == Kind.TRY_BEGAN && e.text() != null) {
            findings.broke(Rule.ONE_TRY, e.at(), e.node(), e.server(), e.request(), List.of(e),
                    "a server was sent what no client asked: " + e.text());
        } else if (e.kind() == Kind.TRY_BEGAN && request == null && requests.wasAsked(e.request())) {
            findings.count(Count.UNJUDGED);
        }
    }

    @Override
    public void settled(Request r) {
        List<Try> sent = new ArrayList<>(r.tries);
        sent.removeIf(t -> !t.whole());
        sent.sort(Comparator.comparingLong(t -> t.lastSentAt));
        for (int i = 0; i < sent.size(); i++) {
            Try t = sent.get(i);
            for (Try earlier : sent.subList(0, i)) {
                overlap(r, earlier, t);
            }
            if (sent.subList(0, i).stream().filter(o -> o.node == t.node).count() == figures.tries()) {
                findings.broke(Rule.ONE_TRY, t.lastSentAt, t.server, r,
                        "sent more than " + figures.tries() + " times");
            }
            afterItsEnd(r, t);
        }
    }

    private void overlap(Request r, Try earlier, Try later) {
        long ended = Math.min(earlier.endedAt, Math.min(picture.server(earlier.server).endedAt,
                picture.node(earlier.node).lifeAt(earlier.firstSentAt).endedAt));
        if (earlier.node != later.node || ended <= later.lastSentAt) {
            return;
        }
        boolean seenLater = !earlier.withdrawn && ended - later.lastSentAt <= figures.arrives().toNanos();
        if (seenLater) {
            findings.excuse(Excuse.END_ON_ITS_WAY);
        } else if (picture.disturbed(earlier.node, earlier.server, earlier.firstSentAt, ended)) {
            findings.excuse(Excuse.WAY_DISTURBED);
        } else {
            findings.broke(Rule.ONE_TRY, later.lastSentAt, later.server, r, "sent to server " + later.server
                    + " while a try of it was out at server " + earlier.server);
        }
    }

    private void afterItsEnd(Request r, Try t) {
        if (r.end == null || r.node != t.node) {
            return;
        }
        long known = r.endedBy(Kind.ANSWERED) ? r.endedAt()
                : r.endedAt() + figures.arrives().toNanos() + SOCKETS;
        if (t.firstSentAt <= known) {
            return;
        }
        Excuse excuse = r.endedBy(Kind.ANSWERED) ? null : picture.node(t.node).excuse(r.endedAt(), t.firstSentAt);
        if (excuse != null) {
            findings.excuse(excuse);
        } else {
            findings.broke(Rule.ONE_TRY, t.firstSentAt, t.server, r, "sent after its end");
        }
    }
}
