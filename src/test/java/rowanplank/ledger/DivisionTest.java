package rowanplank.ledger;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import rowanplank.ledger.Division.Claim;
import rowanplank.ledger.Division.Terms;

/** What a division promises, of itself and of the desk that divides, after every event. */
class DivisionTest {
    private static final Instant ZERO = Instant.parse("2026-01-01T00:00:00Z");
    private static final Duration HOLD = Duration.ofSeconds(3);
    private static final int[] WEIGHTS = {250, 1000, 1000, 3000};

    /** Progressive filling, one unit after the other: whoever would have the least for its weight has the next. */
    private static long[] filled(long whole, List<Claim> claims, long floor) {
        long[] parts = new long[claims.size()];
        for (long left = whole; left > 0; left--) {
            int least = -1;
            for (int i = 0; i < parts.length; i++) {
                Claim c = claims.get(i);
                boolean wants = parts[i] < want(c, floor);
                least = wants && (least < 0 || rank(parts[i], c, floor) < rank(parts[least], claims.get(least), floor)) ? i : least;
            }
            if (least < 0) {
                return parts;
            }
            parts[least]++;
        }
        return parts;
    }

    private static long want(Claim c, long floor) {
        return c.wish() == 0 ? 0 : Math.max(c.wish(), floor);
    }

    private static long floor(long whole, List<Claim> claims, long wanted) {
        return Math.min(wanted, whole / Math.max(1, claims.stream().filter(c -> c.wish() > 0).count()));
    }

    /** Below the floor all are alike, and before all others. */
    private static double rank(long part, Claim c, long floor) {
        return part < floor ? part - floor : (part + 1.0) / c.weight();
    }

    @Property(tries = 500, seed = "28")
    void itIsFairAndNoMoreThanTheWhole(@ForAll @LongRange(min = 0, max = 200) long whole,
            @ForAll @Size(min = 1, max = 12) List<@IntRange(min = 0, max = 60) Integer> wished,
            @ForAll @Size(min = 12, max = 12) List<@IntRange(min = 0, max = 40) Integer> had,
            @ForAll @LongRange(min = 0, max = 5) long wantedFloor, @ForAll boolean weighted) {
        List<Claim> claims = IntStream.range(0, wished.size()).mapToObj(i -> new Claim(wished.get(i),
                weighted ? WEIGHTS[i % WEIGHTS.length] : Division.NORMAL, had.get(i))).toList();
        long floor = floor(whole, claims, wantedFloor);
        long[] fair = Division.fair(whole, claims, wantedFloor);
        long wanted = claims.stream().mapToLong(c -> want(c, floor)).sum();
        assertEquals(Math.min(whole, wanted), Arrays.stream(fair).sum(), "nothing is kept back");
        long[] other = filled(whole, claims, floor);
        for (int i = 0; i < fair.length; i++) {
            assertTrue(claims.get(i).wish() == 0 || fair[i] >= floor, "the floor is everyone's who asks");
            assertTrue(fair[i] <= want(claims.get(i), floor), "nobody has more than it wants");
            assertTrue(Math.abs(fair[i] - other[i]) <= Math.ceil(claims.get(i).weight() / 1000.0),
                    () -> claims + ": " + Arrays.toString(fair) + " and " + Arrays.toString(other));
        }
        long[] now = had.subList(0, claims.size()).stream().mapToLong(h -> h).toArray();
        long[] next = Division.next(whole, now, fair, 0);
        assertTrue(Arrays.stream(next).sum() <= whole);
        boolean enough = Arrays.stream(next).sum() < whole;
        for (int i = 0; i < next.length; i++) {
            assertTrue(next[i] >= fair[i], "nobody is below the fair part");
            assertTrue(next[i] <= Math.max(now[i], fair[i]));
            assertTrue(!enough || next[i] >= now[i], "nothing is taken while there is room");
        }
        assertArrayEquals(next, Division.next(whole, next, fair, 0), "what is fair stays as it is");
    }

    @Test
    void worthCountsOnlyWhereTheWholeIsShort() {
        List<Claim> claims = List.of(new Claim(6, 3000, 0), new Claim(6, 1000, 1), new Claim(1, 1000, 2));
        assertArrayEquals(new long[] {6, 6, 1}, Division.fair(13, claims, 0));
        assertArrayEquals(new long[] {6, 2, 1}, Division.fair(9, claims, 0));
        assertArrayEquals(new long[] {3, 3, 3}, Division.fair(9, claims, 3), "the floor goes before worth");
        assertArrayEquals(new long[] {1, 0, 0}, Division.fair(1, claims, 3), "and is even where it does not fit");
    }

    @Test
    void aWishThatFallsCountsForAWhile() {
        Wishes w = new Wishes();
        w.tell(ZERO, "places", 4, Division.NORMAL, HOLD);
        w.tell(ZERO.plusSeconds(1), "places", 1, Division.NORMAL, HOLD);
        assertEquals(4, w.counts(ZERO.plusMillis(3999), "places"));
        assertEquals(1, w.counts(ZERO.plusSeconds(4), "places"));
        w.tell(ZERO.plusSeconds(5), "places", 0, Division.NORMAL, HOLD);
        assertEquals(1, w.counts(ZERO.plusSeconds(6), "places"), "and again from there");
        w.tell(ZERO.plusSeconds(6), "places", 2, Division.NORMAL, HOLD);
        assertEquals(2, w.counts(ZERO.plusSeconds(6), "places"), "one that rises counts at once");
        assertEquals(0, w.counts(ZERO, "others"));
    }

    // ---- the desk, event by event

    /** A leader over a ledger that takes every entry at once; members give back at once what they are to give back. */
    private static final class Desk {
        final Ledger ledger = new Ledger(Ledger.Picture.empty());
        final Map<Long, Long> wishes = new TreeMap<>();
        final ArrayDeque<Runnable> entries = new ArrayDeque<>();
        final Terms terms;
        private BudgetDesk desk;
        Instant now = ZERO;
        long index;
        long numbers;
        long moves;

        Desk(long whole, Terms terms) {
            this.terms = terms;
            desk = new BudgetDesk(0.01, ledger, new BudgetDesk.Actions() {
                @Override
                public boolean isKnown(Command command) {
                    return true;
                }

                @Override
                public long propose(Command command) {
                    moves += command instanceof Command.Divide d ? d.targets().size() : 0;
                    long at = ++index;
                    entries.add(() -> desk.onApplied(now, at, command, ledger.apply(at, command)));
                    return at;
                }

                @Override
                public long confirm() {
                    return 1;
                }

                @Override
                public void answer(Ask ask, Ask.Answer answer) { }

                @Override
                public void tell(Ask.Answer answer) { }
            });
            desk.budgets(List.of(new Command.Define("places", false, new Share(whole, 0), Share.NONE, 1)), name -> null,
                    name -> terms);
            desk.onLeads(now);
            pass(100);
        }

        private void apply(Command command) {
            applyAll();
            long at = ++index;
            desk.onApplied(now, at, command, ledger.apply(at, command));
        }

        private void applyAll() {
            for (Runnable next; (next = entries.poll()) != null;) {
                next.run();
            }
        }

        void join(long n) {
            apply(new Command.Open("n" + n, -n));
            long session = ledger.sessions().stream().filter(s -> s.node().equals("n" + n)).findFirst().orElseThrow().id();
            apply(new Command.Join(session, 0, ++numbers, Duration.ofSeconds(4), Duration.ofSeconds(1)));
            wishes.put(session, 0L);
        }

        void wish(int place, long wish) {
            long session = wishes.keySet().stream().skip(place % wishes.size()).findFirst().orElseThrow();
            wishes.put(session, wish);
        }

        void leave(int place) {
            long session = wishes.keySet().stream().skip(place % wishes.size()).findFirst().orElseThrow();
            wishes.remove(session);
            apply(new Command.Leave(session, 0, ++numbers));
        }

        /** All renew and say what they wish, and what is to be given back is. */
        void pass(long ms) {
            now = now.plusMillis(ms);
            wishes.forEach((s, w) -> desk.onAsk(now, new Ask("n", -1, s, 0, ++numbers,
                    new Ask.Parts(ledger.budgets().member(s).epoch(), 0, List.of(new Ask.Wish("places", w))))));
            for (int i = 0; i < 4; i++) { // an entry of its own for what is lowered, and what is free then
                now = now.plusMillis(101);
                desk.onTime(now);
                applyAll();
                for (Budgets.Part p : new ArrayList<>(ledger.budgets().partsOf("places"))) {
                    if (!p.target().covers(p.amount())) {
                        apply(new Command.Give(p.session(), 0, ++numbers,
                                ledger.budgets().member(p.session()).epoch(), "places", p.target()));
                    }
                }
            }
        }

        void check() {
            long divided = Math.max(0, ledger.budgets().whole("places").asked().amount() - terms.reserve());
            List<Claim> claims = wishes.values().stream().map(w -> new Claim(w, Division.NORMAL, 0)).toList();
            long floor = floor(divided, claims, terms.floor());
            long[] fair = filled(divided, claims, floor);
            long sum = 0;
            int i = 0;
            for (long s : wishes.keySet()) {
                long part = ledger.budgets().part("places", s).amount().amount();
                long target = ledger.budgets().part("places", s).target().amount();
                assertEquals(part, target, "all that was to come has come");
                assertTrue(claims.get(i).wish() == 0 ? part == 0 : part >= floor, "the floor, and nothing that nobody wants");
                assertTrue(part >= fair[i] - 1, "the fair part, within one use");
                sum += part;
                i++;
            }
            assertTrue(sum <= divided, "the reserve stays free");
            assertTrue(sum >= Math.min(divided, Arrays.stream(fair).sum()), "nothing is kept back beside it");
        }
    }

    @Property(tries = 60, seed = "28")
    void afterEveryEventAllHaveTheirFairPart(@ForAll @LongRange(min = 0, max = 30) long whole,
            @ForAll @LongRange(min = 0, max = 2) long floor, @ForAll @LongRange(min = 0, max = 3) long reserve,
            @ForAll @Size(min = 1, max = 40) List<@IntRange(min = 0, max = 999) Integer> events) {
        Desk d = new Desk(whole, new Terms(floor, reserve, Duration.ZERO));
        int joined = 0;
        for (int e : events) {
            if (d.wishes.isEmpty() || e % 5 == 0 && joined < 12) {
                d.join(++joined);
            } else if (e % 5 == 1) {
                d.leave(e / 5);
            } else {
                d.wish(e / 5, e / 50);
            }
            d.pass(200);
            d.check();
        }
    }

    /** Two that want all in turn: without the hold each turn moves parts, with it none after the first. */
    @Test
    void partsDoNotSwingWithWishesThatDo() {
        assertTrue(movesOfSwings(Duration.ZERO) >= 20, () -> movesOfSwings(Duration.ZERO) + " moves");
        assertEquals(0, movesOfSwings(HOLD));
    }

    private static long movesOfSwings(Duration hold) {
        Desk d = new Desk(8, new Terms(0, 0, hold));
        d.join(1);
        d.join(2);
        for (int i = 0; i < 22; i++) {
            d.wish(0, i % 2 == 0 ? 8 : 1);
            d.wish(1, i % 2 == 0 ? 1 : 8);
            d.pass(200);
            d.moves = i < 2 ? 0 : d.moves;
        }
        return d.moves;
    }
}
