package rowanplank.lab.check;

import java.util.List;
import rowanplank.lab.trace.Event;
import rowanplank.lab.trace.Event.Kind;

/**
 * {@link Rule#FINAL_ANSWER}: each request is answered once, in time ({@link Losses}), and what the client was made to
 * send anew had not been sent on. What ends while its node stops is {@link PlannedStop}'s.
 */
final class FinalAnswer implements Check {
    private final Requests requests;
    private final Losses losses;
    private final Findings findings;

    FinalAnswer(Requests requests, Losses losses, Findings findings) {
        this.requests = requests;
        this.losses = losses;
        this.findings = findings;
    }

    @Override
    public void see(Event e, Request request) {
        if (e.kind() == Kind.ASKED && request != null && request.events.size() == 1) {
            findings.count(Count.TAKEN);
        }
        if (e.kind() != Kind.ANSWERED) {
            return;
        }
        if (request != null && request.end != e) {
            findings.broke(Rule.FINAL_ANSWER, e.at(), Event.NONE, request, "answered twice");
        } else if (request == null && requests.wasAsked(e.request())) {
            findings.broke(Rule.FINAL_ANSWER, e.at(), e.node(), Event.NONE, e.request(), List.of(e),
                    "answered once more, long after its end");
        }
    }

    @Override
    public void settled(Request r) {
        for (Event e : r.events) {
            String lost = e.kind() == Kind.SENT_ANEW ? losses.lost(r, e) : null;
            if (lost != null) {
                findings.broke(Rule.FINAL_ANSWER, e.at(), e.node(), Event.NONE, r.number, r.events, lost);
            }
        }
        String lost = losses.whileStopping(r) ? null : losses.lost(r);
        if (lost != null) {
            findings.broke(Rule.FINAL_ANSWER, losses.at(r), Event.NONE, r, lost);
        }
    }
}
