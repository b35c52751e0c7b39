package rowanplank.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import rowanplank.ledger.Ask.Answer;
import rowanplank.ledger.Result.Kind;

/** The leader's side, entry by entry: each is decided as soon as it is let through. Sessions last 10 s. */
class DeskTest {
    private static final Instant ZERO = Instant.parse("2026-01-01T00:00:00Z");

    private final Ledger ledger = new Ledger(Ledger.Picture.empty());
    private final List<Command> proposed = new ArrayList<>();
    private final List<Result> answers = new ArrayList<>();
    private boolean full;
    private final Desk desk = new Desk(new Desk.Settings(0.01, Duration.ofSeconds(10), Duration.ofSeconds(1)), ledger,
            new Desk.Actions() {
                @Override
                public boolean isKnown(Command command) {
                    return true;
                }

                @Override
                public long propose(Command command) {
                    if (full) {
                        return 0;
                    }
                    proposed.add(command);
                    return proposed.size();
                }

                @Override
                public long confirm() {
                    return 1;
                }

                @Override
                public void answer(Ask ask, Answer answer) {
                    answers.add(answer.result());
                }
            });

    private static Instant at(long ms) {
        return ZERO.plusMillis(ms);
    }

    /** All that was proposed is decided. */
    private void decide(long ms) {
        while (ledger.applied() < proposed.size()) {
            Command next = proposed.get((int) ledger.applied());
            long index = ledger.applied() + 1;
            desk.onApplied(at(ms), index, next, ledger.apply(index, next));
        }
    }

    private void ask(long ms, long incarnation, long session, long number, Ask.What what) {
        desk.onAsk(at(ms), new Ask("n" + incarnation, incarnation, session, number, number, what));
        decide(ms);
    }

    /** Guards a node that is far away: it must not have to open its session again before it could use it. */
    @Test
    void aSessionIsNotOverAsSoonAsItIsOpen() {
        desk.onLeads(at(0));
        desk.onTime(at(25_000));
        ask(30_000, 7, 0, 1, new Ask.Open());
        desk.onTime(at(36_000));
        decide(36_000);
        assertEquals(1, ledger.sessions().size());
        desk.onTime(at(60_000));
        decide(60_000);
        assertEquals(0, ledger.sessions().size());
    }

    /** Guards the line where nothing can be written for a moment: who has waited longest is served first, and soon. */
    @Test
    void whoeverWaitsIsServedOnceItCanBeWritten() {
        desk.onLeads(at(0));
        for (long n = 1; n <= 3; n++) {
            ask(0, n, 0, 1, new Ask.Open());
        }
        for (long n = 1; n <= 3; n++) {
            ask(1, n, n, 2, new Ask.Acquire("nightly", Duration.ofSeconds(1)));
        }
        desk.onAsk(at(5), new Ask("n1", 1, 1, 3, 3, new Ask.Release("nightly", 0)));
        full = true;
        decide(5);
        desk.onTime(at(20));
        full = false;
        desk.onTime(at(40));
        decide(40);
        assertEquals(2, ledger.lease("nightly").session());
        assertEquals(Kind.GRANTED, answers.get(answers.size() - 1).kind());
        answers.clear();
        desk.onLeadsNoMore();
        assertEquals(List.of(Result.of(Kind.NOT_LEADER)), answers, "the third is told that it waits in vain");
    }
}
