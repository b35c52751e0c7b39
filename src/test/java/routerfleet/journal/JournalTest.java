package routerfleet.journal;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** The fold of journals tells the same at every node, whatever order entries and bases come in. */
class JournalTest {
    private static final Origin A = new Origin("a", 1);
    private static final Origin B = new Origin("b", 1);

    private static JournalEntry entry(Origin origin, long number, String uid, long amount) {
        return new JournalEntry(origin, number, "t", uid, amount);
    }

    private static void exchange(Journal from, Journal to) {
        if (from.needsBases(to.vector())) {
            to.merge(from.bases());
        }
        List<JournalEntry> piece = from.behind(to.vector(), from.vector(), A, 3);
        while (!piece.isEmpty()) {
            piece.forEach(to::append);
            piece = from.behind(to.vector(), from.vector(), A, 3);
        }
    }

    @Test
    void aUidCountsOnceWithTheSmallestAmountInWhateverOrder() {
        Journal one = new Journal();
        one.append(entry(A, 1, "u", 7));
        one.append(entry(B, 1, "u", 5));
        Journal other = new Journal();
        other.append(entry(B, 1, "u", 5));
        other.append(entry(A, 1, "u", 7));
        assertThat(one.total("t"), is(5L));
        assertThat(other.total("t"), is(5L));
        assertThat(other.find("t", "u").origin(), is(B));
    }

    @Test
    void anEntryBeforeWhichOthersAreMissingIsNotTaken() {
        Journal journal = new Journal();
        assertThat(journal.append(entry(A, 2, "u", 7)), is(false));
        assertThat(journal.append(entry(A, 1, "u", 7)), is(true));
        assertThat(journal.append(entry(A, 1, "u", 7)), is(false));
        assertThat(journal.total("t"), is(7L));
    }

    /** Guards TWICE: a node that gets a base and, from others, entries of uids in it, does not count them once more. */
    @Test
    void whatIsFoldedHereAndAnEntryElsewhereCountsOnce() {
        Journal folded = new Journal();
        Journal whole = new Journal();
        for (Journal journal : List.of(folded, whole)) {
            journal.append(entry(A, 1, "u", 5));
            journal.append(entry(B, 1, "v", 1));
            journal.append(entry(B, 2, "u", 7));
        }
        folded.fold(new JournalVector(new TreeMap<>(Map.of(A, 1L))), 0);
        assertThat(folded.size(), is(2));
        Journal newcomer = new Journal();
        newcomer.append(entry(B, 1, "v", 1));
        newcomer.append(entry(B, 2, "u", 7));
        exchange(folded, newcomer);
        assertThat(newcomer.total("t"), is(6L));
        exchange(folded, whole);
        assertThat(whole.total("t"), is(6L));
        Journal later = new Journal();
        exchange(folded, later);
        assertThat(later.total("t"), is(6L));
    }

    /** Bound: a uid whose entry was folded is not known any more, and counts once more. */
    @Test
    void aUidThatWasFoldedIsForgotten() {
        Journal journal = new Journal();
        journal.append(entry(A, 1, "u", 5));
        journal.append(entry(A, 2, "v", 1));
        journal.fold(journal.vector(), 1);
        assertThat(journal.find("t", "u"), is((JournalEntry) null));
        assertThat(journal.find("t", "v").number(), is(2L));
        journal.append(entry(A, 3, "u", 5));
        assertThat(journal.total("t"), is(11L));
    }

    /** Nodes that take adds, exchange and fold at random tell the sum over distinct uids once all is exchanged. */
    @Test
    void journalsThatAreExchangedAndFoldedAgree() {
        for (int seed = 1; seed <= 300; seed++) {
            new Run(seed).play();
        }
    }

    private static final class Run {
        private static final int NODES = 4;
        private static final int STEPS = 250;
        private static final int KEPT = 12;
        private final SplittableRandom random;
        private final int seed;
        private final List<Journal> journals = new ArrayList<>();
        private final List<Origin> origins = new ArrayList<>();
        private final Map<String, Long> smallest = new HashMap<>();
        private int uids;

        Run(int seed) {
            this.seed = seed;
            random = new SplittableRandom(seed);
            for (int i = 0; i < NODES; i++) {
                journals.add(new Journal());
                origins.add(new Origin("n" + i, 0));
            }
        }

        void play() {
            for (int step = 0; step < STEPS; step++) {
                int node = random.nextInt(NODES);
                int lot = random.nextInt(10);
                if (lot < 4) {
                    add(node);
                } else if (lot < 9) {
                    exchange(journals.get(node), journals.get(random.nextInt(NODES)));
                } else {
                    fold(node);
                }
            }
            for (int round = 0; round < 2; round++) {
                for (Journal from : journals) {
                    journals.forEach(to -> exchange(from, to));
                }
            }
            long sum = smallest.values().stream().mapToLong(Long::longValue).sum();
            journals.forEach(journal -> assertThat("seed " + seed, journal.total("t"), is(sum)));
            Journal restarted = new Journal();
            restarted.merge(journals.get(0).state());
            assertThat("seed " + seed, restarted.total("t"), is(sum));
            assertThat(restarted.size(), is(journals.get(0).size()));
        }

        /** An add with a new uid, or with one that is in no base and that this node may not know. */
        private void add(int node) {
            Journal journal = journals.get(node);
            String uid = "u" + uids;
            if (random.nextInt(3) == 0) {
                String earlier = "u" + random.nextInt(uids + 1);
                boolean unfolded = journals.stream().anyMatch(j -> j.find("t", earlier) != null)
                        && journals.stream().allMatch(j -> j.bases().stream().allMatch(b -> b.folded() == 0));
                uid = unfolded ? earlier : uid;
            }
            if (journal.find("t", uid) != null) {
                return;
            }
            uids++;
            long amount = random.nextInt(100);
            smallest.merge(uid, amount, Math::min);
            journal.append(new JournalEntry(origins.get(node), journal.last(origins.get(node)) + 1, "t", uid, amount));
        }

        /** As a node folds: only what all hold, and only where it holds all that they hold. */
        private void fold(int node) {
            Journal journal = journals.get(node);
            TreeMap<Origin, Long> least = new TreeMap<>(journal.vector().upTo());
            for (Journal other : journals) {
                if (!journal.vector().covers(other.vector())) {
                    return;
                }
                least.replaceAll((origin, number) -> Math.min(number, other.vector().of(origin)));
            }
            journal.fold(new JournalVector(least), KEPT);
            assertThat(journal.size(), is(lessThanOrEqualTo(STEPS)));
        }
    }
}
