package rowanplank.lab.check;

import java.util.List;
import rowanplank.lab.trace.Event;
import rowanplank.lab.trace.Event.Kind;

/**
 * {@link Rule#SERVED_BYTES}: the body of a 200 has the digest of one that a server made for this request and sent in
 * a form that can be read (PROTOCOL, The rules on sockets: else the request is lost). Nothing is excused: whoever can't
 * read an answer is not answered by it.
 */
final class ServedBytes implements Check {
    private final Requests requests;
    private final Findings findings;

    ServedBytes(Requests requests, Findings findings) {
        this.requests = requests;
        this.findings = findings;
    }

    @Override
    public void see(Event e, Request request) {
        boolean neverAsked = request == null && !requests.wasAsked(e.request());
        if (e.kind() == Kind.ANSWERED && e.value() == 200 && neverAsked) {
            findings.broke(Rule.SERVED_BYTES, e.at(), e.node(), Event.NONE, e.request(), List.of(e),
                    "served before it was asked");
        }
    }

    @Override
    public void settled(Request r) {
        if (!r.served() || r.tries.stream().anyMatch(t -> t.digest != null && t.digest.equals(r.end.text()))) {
            return;
        }
        boolean made = r.tries.stream().anyMatch(t -> t.digest != null);
        findings.broke(Rule.SERVED_BYTES, r.endedAt(), Event.NONE, r, "served what no server made for it: "
                + r.end.text() + (made ? " in place of what one did" : ", and none made anything"));
    }
}
