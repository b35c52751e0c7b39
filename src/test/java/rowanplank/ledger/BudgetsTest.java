package rowanplank.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import rowanplank.ledger.Result.Kind;

/** Budgets as the log tells them: whatever is told, they add up after every entry. Sessions 1 to 5 are those of n1 to n5. */
class BudgetsTest {
    private static final Duration SECOND = Duration.ofSeconds(1);

    private final Ledger ledger = new Ledger(Ledger.Picture.empty());
    private final Map<Long, Long> epochs = new TreeMap<>();
    private long index;
    private long numbers;

    BudgetsTest() {
        for (int n = 1; n <= 5; n++) {
            apply(new Command.Open("n" + n, -n));
        }
    }

    private Result apply(Command command) {
        Result r = ledger.apply(++index, command);
        for (Budgets.Whole w : ledger.budgets().wholes()) {
            addsUp(w);
        }
        return r;
    }

    private void addsUp(Budgets.Whole w) {
        Budgets.Figures f = ledger.budgets().figures(w);
        Share sum = w.setAside();
        for (Budgets.Part p : ledger.budgets().partsOf(w.name())) {
            assertTrue(p.amount().covers(Share.NONE));
            assertTrue(ledger.budgets().member(p.session()) != null, "a part of nobody's");
            sum = sum.plus(p.amount());
        }
        assertTrue(f.free().covers(Share.NONE) && f.promised().covers(Share.NONE) && f.givingBack().covers(Share.NONE));
        assertEquals(f.whole(), f.free().plus(sum));
        assertEquals(f.whole(), f.free().plus(f.promised()).plus(f.givingBack()).plus(f.setAside()));
        assertTrue(f.whole().covers(w.asked()));
    }

    private void define(String name, long whole, long fixed) {
        apply(new Command.Define(name, false, new Share(whole, 0), new Share(fixed, 0), 3));
    }

    private long join(long session) {
        epochs.put(session, apply(new Command.Join(session, 0, ++numbers, SECOND, SECOND)).value());
        return epochs.get(session);
    }

    private void target(String name, long session, long amount) {
        apply(new Command.Divide(List.of(new Command.Target(name, session, new Share(amount, 0)))));
    }

    private Result give(String name, long session, long most) {
        return apply(new Command.Give(session, 0, ++numbers, epochs.get(session), name, new Share(most, 0)));
    }

    private long amount(String name, long session) {
        return ledger.budgets().part(name, session).amount().amount();
    }

    @Test
    void aPartGrowsByWhatIsFreeAndTheRestFollowsAsOthersGiveBack() {
        define("places", 10, 1);
        join(1);
        join(2);
        target("places", 1, 7);
        target("places", 2, 4);
        assertEquals(0, amount("places", 2), "7 are promised and 3 set aside");
        target("places", 1, 3);
        assertEquals(7, amount("places", 1), "nothing is taken back without its holder's word");
        assertEquals(Kind.GIVEN, give("places", 1, 4).kind());
        assertEquals(3, amount("places", 2));
        give("places", 1, 3);
        assertEquals(4, amount("places", 2));
    }

    @Test
    void aLoweredWholeIsInForceOnceEnoughHasComeBack() {
        define("places", 10, 0);
        join(1);
        target("places", 1, 8);
        apply(new Command.Resize("places", new Share(5, 0)));
        assertEquals(8, ledger.budgets().whole("places").inForce().amount());
        target("places", 1, 5);
        give("places", 1, 6);
        assertEquals(6, ledger.budgets().whole("places").inForce().amount());
        give("places", 1, 5);
        assertEquals(5, ledger.budgets().whole("places").inForce().amount());
        apply(new Command.Resize("places", new Share(0, 0)));
        target("places", 1, 0);
        give("places", 1, 0);
        assertEquals(0, ledger.budgets().whole("places").inForce().amount());
        assertEquals(Kind.TOO_SMALL, apply(new Command.Resize("none", new Share(5, 0))).kind());
    }

    /** Guards a copy of an old message that comes late: it was meant for what the holder had then. */
    @Test
    void whatWasSaidUnderAnOlderEpochIsNotMeantAnyMore() {
        define("places", 10, 0);
        join(1);
        target("places", 1, 8);
        Command.Give old = new Command.Give(1, 0, ++numbers, epochs.get(1L), "places", new Share(2, 0));
        Command.Lapse lapse = new Command.Lapse(List.of(new Command.Gone(1, epochs.get(1L))));
        join(1);
        apply(lapse);
        assertEquals(Kind.NOT_JOINED, apply(old).kind());
        assertEquals(8, amount("places", 1));
        apply(new Command.Lapse(List.of(new Command.Gone(1, epochs.get(1L)))));
        assertEquals(0, amount("places", 1));
    }

    @Test
    void aMemberIsKnownUntilItsPartsAreOver() {
        define("places", 10, 0);
        join(1);
        assertEquals(Kind.HELD, apply(new Command.Close(1)).kind());
        apply(new Command.Leave(1, 0, ++numbers));
        assertEquals(Kind.RELEASED, apply(new Command.Close(1)).kind());
    }

    /** One step of the property below. */
    private void step(long what) {
        long session = 1 + what / 10 % 5;
        String name = what / 50 % 2 == 0 ? "places" : "starts";
        long some = what / 100 % 14;
        switch ((int) (what % 10)) {
            case 0, 1 -> join(session);
            case 2, 3, 4 -> target(name, session, some);
            case 5, 6 -> {
                if (epochs.containsKey(session)) {
                    give(name, session, some / 2);
                }
            }
            case 7 -> apply(new Command.Leave(session, 0, ++numbers));
            case 8 -> apply(new Command.Resize(name, new Share(some, 0)));
            default -> apply(new Command.Lapse(List.of(new Command.Gone(session, epochs.getOrDefault(session, 0L)))));
        }
        if (what % 7 == 0) {
            ledger.restore(ledger.picture());
        }
    }

    @Property(tries = 300, seed = "28")
    void addsUpWhateverIsTold(@ForAll @Size(min = 1, max = 200) List<@LongRange(min = 0, max = 1400) Long> steps) {
        define("places", 12, 2);
        define("starts", 9, 0);
        Ledger other = new Ledger(ledger.picture());
        long from = index;
        List<Long> parts = new ArrayList<>();
        steps.forEach(this::step);
        ledger.budgets().partsOf("places").forEach(p -> parts.add(p.amount().amount()));
        assertTrue(parts.stream().mapToLong(a -> a).sum() <= 14 + 6);
        assertTrue(index >= from && other.applied() == from);
    }

    /** Guards parts of a rate that can never be used, as their burst holds no use. */
    @Test
    void aRatesPartHasRoomForAUseOrIsNone() {
        long[] parts = {500, 9000, 100, 4000};
        assertEquals("[0, 2384, 0, 1615]", Arrays.toString(Division.bursts(4000, new long[] {0, 9000, 0, 4000})));
        long[] bursts = Division.bursts(3500, parts);
        assertEquals("[500, 9000, 0, 4000]", Arrays.toString(parts), "the smallest part has none");
        for (int i = 0; i < parts.length; i++) {
            assertTrue(parts[i] == 0 ? bursts[i] == 0 : bursts[i] >= Share.USE);
        }
        assertTrue(Arrays.stream(bursts).sum() <= 3500);
    }
}
