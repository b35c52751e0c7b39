package rowanplank.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import rowanplank.ledger.Ask.Answer;
import rowanplank.ledger.Result.Kind;

/** The leader's side of budgets. Parts last 1,000 ms, uses 500 ms, clocks are off by 1 % at the most; what is proposed is applied at once. */
class BudgetDeskTest {
    private static final Instant ZERO = Instant.parse("2026-01-01T00:00:00Z");
    /** (1,000 + 500) * 1.01 / 0.99, rounded up. */
    private static final long WAIT = 1531;

    private final Ledger ledger = new Ledger(Ledger.Picture.empty());
    private final List<Answer> told = new ArrayList<>();
    private final ArrayDeque<Runnable> entries = new ArrayDeque<>();
    private long index;
    private long rounds;
    private long numbers;
    private Instant now = ZERO;
    private BudgetDesk desk;

    @BeforeEach
    void lead() {
        for (int n = 1; n <= 4; n++) {
            ledger.apply(++index, new Command.Open("n" + n, -n));
        }
        desk = newLeader();
    }

    private BudgetDesk newLeader() {
        BudgetDesk d = new BudgetDesk(0.01, ledger, new BudgetDesk.Actions() {
            @Override
            public boolean isKnown(Command command) {
                return true;
            }

            @Override
            public long propose(Command command) {
                long at = ++index;
                entries.add(() -> desk.onApplied(now, at, command, ledger.apply(at, command)));
                return at;
            }

            @Override
            public long confirm() {
                return ++rounds;
            }

            @Override
            public void answer(Ask ask, Answer answer) {
                told.add(answer);
            }

            @Override
            public void tell(Answer answer) {
                told.add(answer);
            }
        });
        d.budgets(List.of(new Command.Define("places", false, new Share(8, 0), Share.NONE, 4)),
                name -> name.startsWith("place/") ? new Command.Define(name, false, new Share(1, 0), Share.NONE, 1) : null,
                name -> Division.Terms.NONE);
        d.onLeads(now);
        return d;
    }

    private void ask(long session, Ask.What what) {
        desk.onAsk(now, new Ask("n" + session, -session, session, 0, ++numbers, what));
        apply();
    }

    private void apply() {
        while (!entries.isEmpty()) {
            entries.poll().run();
        }
    }

    private void join(long session) {
        ask(session, new Ask.Join(Duration.ofSeconds(1), Duration.ofMillis(500)));
    }

    private void wish(long session, long amount) {
        ask(session, new Ask.Parts(epoch(session), 0, List.of(new Ask.Wish("places", amount))));
    }

    private long epoch(long session) {
        return ledger.budgets().member(session).epoch();
    }

    private long has(String budget, long session) {
        return ledger.budgets().part(budget, session).amount().amount();
    }

    private void at(long ms) {
        now = ZERO.plusMillis(ms);
        desk.onTime(now);
        apply();
    }

    @Test
    void whatIsFreeGoesToThoseWhoWishAndNothingIsTakenWhileItDoes() {
        join(1);
        join(2);
        wish(1, 6);
        at(0);
        at(150);
        assertEquals(6, has("places", 1));
        wish(2, 2);
        at(300);
        assertEquals(6, has("places", 1));
        assertEquals(2, has("places", 2));
        wish(2, 8);
        at(500);
        assertEquals(4, ledger.budgets().part("places", 1).target().amount(), "both want more than half");
        assertEquals(2, has("places", 2), "until the other has given back");
        ask(1, new Ask.Give(epoch(1), "places", new Share(4, 0)));
        assertEquals(4, has("places", 2));
    }

    @Test
    void aPartIsTakenBackOnceItsEndAndTheLongestUseAreOver() {
        join(1);
        wish(1, 5);
        at(0);
        at(150);
        now = ZERO.plusMillis(700);
        wish(1, 5);
        at(700 + WAIT - 1);
        assertEquals(5, has("places", 1));
        at(700 + WAIT + 20);
        assertNull(ledger.budgets().member(1));
        assertEquals(0, has("places", 1));
    }

    /** Guards parts that an earlier leader has renewed: a new one counts from when it leads. */
    @Test
    void aNewLeaderWaitsAsThoughAllHadBeenRenewedJustNow() {
        join(1);
        wish(1, 5);
        at(0);
        at(150);
        desk.onLeadsNoMore();
        now = ZERO.plusMillis(5000);
        desk = newLeader();
        at(5000 + WAIT - 1);
        assertEquals(5, has("places", 1));
        at(5000 + WAIT + 20);
        assertEquals(0, has("places", 1));
    }

    @Test
    void aRenewalIsAnsweredOnceARoundHasConfirmedThatItLeads() {
        join(1);
        told.clear();
        wish(1, 5);
        assertTrue(told.isEmpty());
        desk.onConfirmed(rounds);
        assertEquals(Kind.PARTS, told.get(0).result().kind());
        ask(1, new Ask.Parts(epoch(1) - 1, 0, List.of()));
        desk.onConfirmed(rounds);
        assertEquals(Kind.NOT_JOINED, told.get(told.size() - 1).result().kind(), "of an epoch that is over");
    }

    /** Guards a node that comes back from having no place anywhere, where each server has fewer places than there are nodes. */
    @Test
    void placesThatDoNotDoForAllAreSpreadAndNobodyIsLeftWithNone() {
        List<Ask.Wish> all = List.of(new Ask.Wish("place/a", 1), new Ask.Wish("place/b", 1), new Ask.Wish("place/c", 1));
        for (long s = 1; s <= 2; s++) {
            join(s);
            ask(s, new Ask.Parts(epoch(s), 0, all));
        }
        at(0);
        at(150);
        at(300);
        assertEquals(3, sum(1) + sum(2));
        assertEquals(1, Math.min(sum(1), sum(2)));
        long richer = sum(1) > sum(2) ? 1 : 2;
        join(3);
        ask(3, new Ask.Parts(epoch(3), 0, all));
        at(450);
        Budgets.Part moved = ledger.budgets().partsOf(richer).stream().filter(p -> p.target().amount() == 0).findFirst()
                .orElseThrow();
        ask(richer, new Ask.Give(epoch(richer), moved.budget(), Share.NONE));
        assertEquals(1, sum(3));
    }

    private long sum(long session) {
        return ledger.budgets().partsOf(session).stream().mapToLong(p -> p.amount().amount()).sum();
    }
}
