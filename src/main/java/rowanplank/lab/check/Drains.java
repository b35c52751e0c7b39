package rowanplank.lab.check;

import java.util.List;
import rowanplank.lab.trace.Event;
import rowanplank.lab.trace.Event.Kind;

/**
 * {@link Rule#DRAIN} (WIRE, The contract, 3; PROTOCOL, The rules on sockets). A try's first byte is written at most
 * {@code drainGrace + 50 ms} after the node was last told, of a server that it held for ready, that it drains or is
 * gone. A server is known by its name, in all lives of its process. A server that was never named takes nothing; if
 * it stands at the address of another one, the node meant that one, and what it was told of it decides.
 *
 * <p>Excused: what a node was told in an earlier life, since the list that it begins with may be old.
 */
final class Drains implements Check {
    private final Figures figures;
    private final Picture picture;
    private final Findings findings;

    Drains(Figures figures, Picture picture, Findings findings) {
        this.figures = figures;
        this.picture = picture;
        this.findings = findings;
    }

    @Override
    public void see(Event e, Request request) {
        if (e.kind() != Kind.TRY_BEGAN || e.node() == Event.NONE || e.server() == Event.NONE) {
            return;
        }
        long sentAt = e.value();
        String meant = meant(e.node(), e.server(), sentAt);
        long unwanted = meant == null ? Node.NEVER : picture.told.unwantedSince(e.node(), meant, sentAt);
        if (meant == null) {
            broke(e, request, "sent to a server that its list never named");
        } else if (unwanted != Node.NEVER && sentAt > unwanted + figures.drainWithin().toNanos()) {
            broke(e, request, String.format("sent %.3f ms after it was told that %s takes nothing new",
                    (sentAt - unwanted) / 1e6, meant));
        }
    }

    /** The name of the server that the node meant; null if it can mean none. */
    private String meant(int node, int server, long when) {
        Server s = picture.server(server);
        long started = picture.node(node).lifeAt(when).startedAt;
        for (int steps = 0; s != null && steps < 100; steps++) {
            if (s.name == null || picture.told.named(node, s.name, when, started)) {
                return s.name == null ? "" : s.name;
            }
            s = s.tookOver == Event.NONE ? null : picture.server(s.tookOver);
        }
        return null;
    }

    private void broke(Event e, Request request, String text) {
        findings.broke(Rule.DRAIN, e.value(), e.node(), e.server(), e.request(),
                request == null ? List.of(e) : request.events, text);
    }
}
