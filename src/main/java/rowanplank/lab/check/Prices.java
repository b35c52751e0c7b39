package rowanplank.lab.check;

import rowanplank.lab.trace.Event.Kind;

/**
 * What breaks no rule and has its price: {@link Count#LATE_UNTRIED}, {@link Count#WITHOUT_RETRY_AFTER}. A request's
 * time runs from its last byte to when the client stops waiting (PROTOCOL, Figures).
 */
final class Prices implements Check {
    private final Figures figures;
    private final Findings findings;

    Prices(Figures figures, Findings findings) {
        this.figures = figures;
        this.findings = findings;
    }

    @Override
    public void settled(Request r) {
        boolean answered = r.endedBy(Kind.ANSWERED);
        boolean early = answered && r.endedAt() - r.askedAt <= (r.deadline - r.askedAt) / 2;
        if (!r.served() && !early && !r.triedBy(r.endedAt())) {
            findings.count(Count.LATE_UNTRIED);
        }
        if (figures.retryAfter() && r.refused() && (r.end.text() == null || r.end.text().isEmpty())) {
            findings.count(Count.WITHOUT_RETRY_AFTER);
        }
    }
}
