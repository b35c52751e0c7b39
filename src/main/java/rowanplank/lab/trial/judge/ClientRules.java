package rowanplank.lab.trial.judge;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import rowanplank.lab.trial.judge.Event.Kind;

/**
 * What a client of the ledger was told, held against what it reads afterwards: <i>not-lost</i> and <i>done-once</i>, as
 * {@link LeaseJudge} states them. The client does one thing at a time, and nobody else asks for its lease: from an
 * acknowledgement until its next request there is one right answer to a read.
 */
final class ClientRules {
    private static final String GRANTED = "GRANTED";
    /** Half of its lease: whatever the clocks do, it lasts so long from the asking. */
    private static final long LASTS = 30_000_000;

    private final List<Event> history;
    private final Consumer<Finding> findings;
    private final Map<Long, Event> told = new TreeMap<>();
    /** The request that was sent last, and what it was told; null before. */
    private Event sent;
    private Event stands;
    private Event grant;

    ClientRules(List<Event> history, Consumer<Finding> findings) {
        this.history = history;
        this.findings = findings;
    }

    void judge() {
        for (Event e : history) {
            if (e.kind() == Kind.SENT) {
                sent = e;
                stands = null;
            } else if (e.kind() == Kind.TOLD) {
                told(e);
            } else if (e.kind() == Kind.READ && stands != null && e.node().equals(stands.node())) {
                read(e);
            }
        }
    }

    private void told(Event e) {
        Event first = told.putIfAbsent(e.other(), e);
        if (first != null && (first.number() != e.number() || !first.text().equals(e.text()))) {
            findings.accept(Finding.of("done-once", "one request was done twice", first, e));
        } else if (first == null && sent != null && sent.other() == e.other()) {
            stands = e;
            grant = e.text().equals(GRANTED) ? e : grant;
        }
    }

    private void read(Event e) {
        boolean held = e.text().equals("held");
        boolean same = grant != null && e.number() == grant.number();
        if (stands.text().equals(GRANTED)) {
            if (e.at() < sent.at() + LASTS && !(held && same)) {
                findings.accept(Finding.of(held && e.number() > stands.number() ? "done-once" : "not-lost",
                        "what was granted under " + stands.number() + " was read otherwise", sent, stands, e));
            }
        } else if (held) {
            findings.accept(Finding.of(same ? "not-lost" : "done-once", "what was given back was read as held", sent, stands, e));
        }
    }
}
