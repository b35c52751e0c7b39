package rowanplank.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import rowanplank.ledger.Ask.Answer;
import rowanplank.ledger.Ask.Told;
import rowanplank.ledger.Result.Kind;

/** The holder's side of budgets, answer by answer: parts are 1,000 ms long, uses last 400 ms, clocks are 1 % off at the most. */
class BudgetHolderTest {
    private static final Instant ZERO = Instant.parse("2026-01-01T00:00:00Z");
    private static final long EPOCH = 41;

    private final List<Ask> asked = new ArrayList<>();
    private BudgetHolder holder;

    @BeforeEach
    void join() {
        holder = new BudgetHolder(new BudgetHolder.Settings("n1", -5, List.of("n1", "n2", "n3"), Duration.ofMillis(150),
                Duration.ofSeconds(1), Duration.ofMillis(400), 0.01), ZERO, new BudgetHolder.Actions() {
                    @Override
                    public void ask(String voter, Ask ask) {
                        asked.add(ask);
                    }

                    @Override
                    public void more(String budget) { }
                });
        holder.budgets(ZERO, Map.of("places", new Command.Define("places", false, new Share(9, 0), new Share(1, 0), 3),
                "starts", new Command.Define("starts", true, new Share(10_000, 4000), Share.NONE, 3)), Duration.ofMillis(400));
        answer(0, last(Ask.Open.class), Result.of(Kind.OPENED, 40));
        answer(0, last(Ask.Join.class), Result.of(Kind.JOINED, EPOCH));
    }

    private static Instant at(long ms) {
        return ZERO.plusMillis(ms);
    }

    private Ask last(Class<?> what) {
        return asked.stream().filter(a -> what.isInstance(a.what())).reduce((a, b) -> b).orElseThrow();
    }

    private boolean has(Class<?> what) {
        return asked.stream().anyMatch(a -> what.isInstance(a.what()));
    }

    private void answer(long ms, Ask ask, Result result, Told... parts) {
        holder.onAnswer(at(ms), new Answer(-5, ask.number(), result, List.of(parts)));
    }

    private static Told places(long epoch, long amount, long target, long change) {
        return new Told("places", epoch, new Share(amount, 0), new Share(target, 0), change);
    }

    private void tell(long ms, Told told) {
        holder.onAnswer(at(ms), new Answer(-5, 0, Result.of(Kind.PARTS, told.change()), List.of(told)));
    }

    private void end(long ms) {
        if (holder.end("places")) {
            holder.onTime(at(ms));
        }
    }

    private int begin(long ms, int wanted) {
        int begun = 0;
        while (begun < wanted && holder.begin(at(ms), "places") >= 0) {
            begun++;
        }
        return begun;
    }

    @Test
    void usesFitThePartWhileItLastsAndTheFixedOneOnceEarlierUsesAreOver() {
        tell(10, places(EPOCH, 3, 3, 1));
        assertEquals(3, begin(20, 9));
        assertEquals(1, begin(409, 9), "the fixed part, 400 ms and the clocks' bound after the start");
        end(500);
        assertEquals(1, begin(999, 9));
        end(1000);
        assertEquals(0, begin(1000, 9), "the part is over: 3 are open, and 1 may be");
        for (int i = 0; i < 3; i++) {
            end(1001);
        }
        assertEquals(1, begin(1002, 9));
    }

    /** Guards a use after a stall: the end is looked at with each use, and not when a timer comes. */
    @Test
    void aRenewalThatIsConfirmedAfterTheEndRevivesNothing() {
        tell(10, places(EPOCH, 3, 3, 1));
        holder.onTime(at(400));
        Ask renewal = last(Ask.Parts.class);
        answer(1000, renewal, Result.of(Kind.PARTS, 1));
        assertEquals(1, begin(1001, 9), "only the fixed part");
        tell(1002, places(EPOCH, 3, 3, 2));
        assertEquals(0, begin(1003, 9), "nothing is believed of the epoch that is over");
        holder.onTime(at(1200));
        answer(1210, last(Ask.Join.class), Result.of(Kind.JOINED, 60));
        tell(1220, places(60, 3, 3, 3));
        assertEquals(3, begin(1230, 9));
    }

    @Test
    void theEndIsCountedFromTheAsking() {
        tell(10, places(EPOCH, 2, 2, 1));
        holder.onTime(at(400));
        answer(900, last(Ask.Parts.class), Result.of(Kind.PARTS, 1));
        assertEquals(2, begin(1330, 2), "the renewal was asked for at 0 or later, at the latest at 400");
        for (int i = 0; i < 2; i++) {
            end(1340);
        }
        assertEquals(1, begin(1400, 9));
    }

    @Test
    void whatIsGivenBackIsNotUsedFromTheSayingOnWhateverIsToldLater() {
        tell(10, places(EPOCH, 5, 5, 1));
        assertEquals(4, begin(20, 4));
        tell(30, places(EPOCH, 5, 2, 2));
        assertFalse(has(Ask.Give.class), "4 are open, and 2 will be left");
        assertEquals(0, begin(40, 9));
        end(50);
        end(60);
        Ask give = last(Ask.Give.class);
        assertEquals(new Ask.Give(EPOCH, "places", new Share(2, 0)), give.what());
        tell(70, places(EPOCH, 5, 5, 3)); // of before the giving back
        assertEquals(0, begin(80, 9));
        answer(90, give, Result.of(Kind.GIVEN, 4));
        tell(95, places(EPOCH, 5, 5, 3));
        assertEquals(0, begin(100, 9), "what is older than the giving back is not believed");
        tell(110, places(EPOCH, 3, 5, 5));
        assertEquals(1, begin(120, 9));
    }

    /** Guards what was raised at once with the giving back, and heard of before its answer. */
    @Test
    void anAnswerThatIsOlderThanWhatIsKnownTakesNothingAway() {
        tell(10, places(EPOCH, 5, 2, 1));
        Ask give = last(Ask.Give.class);
        tell(30, places(EPOCH, 4, 4, 3));
        assertEquals(2, begin(35, 9));
        answer(40, give, Result.of(Kind.GIVEN, 2));
        assertEquals(2, begin(45, 9), "4 are usable");
    }

    /** Guards whoever leads, which answers in time: nobody else is asked a moment after it was. */
    @Test
    void nobodyIsSilentWhoWasNotAsked() {
        holder.onTime(at(10));
        answer(20, last(Ask.Parts.class), Result.of(Kind.PARTS, 1));
        holder.onTime(at(400));
        holder.onTime(at(401));
        holder.onTime(at(402));
        assertEquals(2, asked.stream().filter(a -> a.what() instanceof Ask.Parts).count());
    }

    /** Guards what is to be given back beyond a giving back: the answer to that overtook the word of it. */
    @Test
    void aTargetThatIsHeardOfAfterTheAnswerCounts() {
        tell(10, places(EPOCH, 5, 4, 1));
        answer(20, last(Ask.Give.class), Result.of(Kind.GIVEN, 3));
        tell(30, places(EPOCH, 5, 2, 2));
        assertEquals(4, begin(40, 4), "what is older than the giving back is not believed");
        tell(50, places(EPOCH, 4, 2, 3));
        end(60);
        end(70);
        assertEquals(new Share(2, 0), ((Ask.Give) last(Ask.Give.class).what()).most());
    }

    private int starts(long ms) {
        int begun = 0;
        while (holder.begin(at(ms), "starts") >= 0) {
            begun++;
        }
        return begun;
    }

    private void rate(long ms, long amount, long burst, long change) {
        tell(ms, new Told("starts", EPOCH, new Share(amount, burst), new Share(amount, burst), change));
    }

    @Test
    void aBucketBeginsEmptyFillsAtItsRateAndHoldsNoMoreThanItsBurst() {
        rate(0, 10_000, 3000, 1);
        assertEquals(0, starts(0));
        assertEquals(0, starts(100), "the clock may be fast by 1 %");
        assertEquals(1, starts(102));
        assertEquals(3, starts(800));
        rate(900, 10_000, 1000, 2);
        assertEquals(1, starts(999));
        assertEquals(0, starts(1500), "the part is over, and nothing is fixed");
        assertTrue(holder.ready(at(1500), "starts") == null);
    }

    /** Guards a reload: uses that last longer than was said are begun only once the ledger knows it. */
    @Test
    void longerUsesNeedANewJoining() {
        tell(10, places(EPOCH, 3, 3, 1));
        holder.budgets(at(20), Map.of("places", new Command.Define("places", false, new Share(9, 0), new Share(1, 0), 3)),
                Duration.ofSeconds(2));
        assertEquals(0, begin(30, 9));
        assertEquals(new Ask.Join(Duration.ofSeconds(1), Duration.ofSeconds(2)), last(Ask.Join.class).what());
    }

    /** Guards a page server that goes while its places are out, and comes back under its id: what is out stays counted. */
    @Test
    void aBudgetThatGoesWhileItIsUsedAndComesBackIsNotUsedTwice() {
        tell(10, places(EPOCH, 5, 5, 50));
        assertEquals(3, begin(20, 3));
        holder.budgets(at(30), Map.of(), Duration.ofMillis(400));
        assertEquals(0, begin(40, 1));
        holder.budgets(at(50), Map.of("places", new Command.Define("places", false, new Share(9, 0), Share.NONE, 3)),
                Duration.ofMillis(400));
        assertTrue(begin(60, 9) <= 2, "three of five are out");
        assertFalse(has(Ask.Give.class), "nothing is given back while it is out");
        int out = (int) holder.has(at(60)).get(0).open();
        for (int i = 0; i < out; i++) {
            end(100);
        }
        Ask give = last(Ask.Give.class);
        assertEquals(Share.NONE, ((Ask.Give) give.what()).most());
        answer(120, give, Result.of(Kind.GIVEN, 51));
        tell(130, places(EPOCH, 5, 5, 52)); // the ledger knows of no other wish
        assertEquals(5, begin(140, 9));
    }
}
