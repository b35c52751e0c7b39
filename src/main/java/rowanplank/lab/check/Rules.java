package rowanplank.lab.check;

import java.util.List;
import rowanplank.lab.day.Day;
import rowanplank.lab.trace.Event;
import rowanplank.lab.trace.Event.Kind;
import rowanplank.lab.trace.Trace;

/**
 * The rules of the platform, checked on the event stream alone: nothing here uses a node's code, so that both can't be
 * wrong in the same way. What each {@link Rule} says, and what it excuses, stands at its class.
 *
 * <p>Events come in the order in which they are seen, while the rules ask when things were sent. So a request is judged
 * once all that can matter to it has come ({@link Figures#settles} after it was owed an answer), or at the day's end.
 *
 * <p>Costs: O(log n) an event for n requests kept. Memory: the requests of one such time, each under a kilobyte; for
 * each node and server its lives, what it was told and its last events; one bit for each request ever asked.
 */
public final class Rules implements Trace {
    private final Picture picture;
    private final Requests requests;
    private final Findings findings;
    private final List<Check> checks;
    private final EndOfDay endOfDay;
    private boolean ended;

    public Rules(Day day) {
        this(Figures.of(day));
    }

    Rules(Figures figures) {
        picture = new Picture(figures);
        requests = new Requests(figures, picture.held);
        findings = new Findings(figures.seed(), picture);
        Losses losses = new Losses(figures, picture, findings);
        checks = List.of(new FinalAnswer(requests, losses, findings), new PlannedStop(losses, findings),
                new OneTry(figures, picture, requests, findings), new Effects(figures, findings),
                new Drains(figures, picture, findings), new ColdServers(figures, picture, findings),
                new ServedBytes(requests, findings), new Prices(figures, findings),
                new BadClients(figures, picture, findings), new NodeHealth(picture, findings));
        endOfDay = new EndOfDay(findings);
    }

    @Override
    public void tell(Event e) {
        picture.see(e);
        settle(e.at());
        Request request = requests.see(e);
        for (Check check : checks) {
            check.see(e, request);
        }
        if (e.kind() == Kind.DAY_ENDED) {
            end(e);
        }
    }

    private void end(Event e) {
        endOfDay.see(e, requests.open());
        settle(Long.MAX_VALUE);
        checks.forEach(c -> c.ended(e));
        ended = true;
    }

    private void settle(long now) {
        for (Request r; (r = requests.settled(now)) != null;) {
            r.orderEnds();
            for (Check check : checks) {
                check.settled(r);
            }
        }
    }

    /** What was found so far. */
    public Verdict verdict() {
        return findings.verdict(ended);
    }
}
