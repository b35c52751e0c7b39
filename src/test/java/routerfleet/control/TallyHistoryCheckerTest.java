package routerfleet.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.nullValue;
import static org.hamcrest.Matchers.startsWith;

import java.util.List;
import org.hamcrest.Matcher;
import org.junit.jupiter.api.Test;
import routerfleet.control.TallyHistory.Add;
import routerfleet.control.TallyHistory.Attempt;

/** Histories written by hand, in which each rule of tallies is violated or kept. Times are in milliseconds. */
class TallyHistoryCheckerTest {
    private static final long MERGE_MS = 3_000;
    private static final long SETTLED_MS = 6_000;
    private static final long NANOS = 1_000_000;

    private final TallyHistory history = new TallyHistory();

    TallyHistoryCheckerTest() {
        disruption(0, 0); // the start of all machines
    }

    private static Attempt call(String machine, int life, long sentMs, int status) {
        return new Attempt("zone-" + machine, machine, life, sentMs * NANOS, (sentMs + 5) * NANOS, status);
    }

    private Add add(String uid, long amount, Attempt... tries) {
        Add add = new Add("t", uid, amount);
        add.attempts.addAll(List.of(tries));
        history.adds.add(add);
        return add;
    }

    private static TallyHistory.Read read(String machine, int life, long sentMs, long total) {
        return new TallyHistory.Read("t", call(machine, life, sentMs, 200), total);
    }

    private void reads(String machine, int life, long sentMs, long total) {
        history.reads.add(read(machine, life, sentMs, total));
    }

    private void finallyReads(String machine, long total) {
        history.finalReads.add(read(machine, 9, 90_000, total));
    }

    private void disruption(long fromMs, long untilMs) {
        history.disruptions.add(new TallyHistory.Disruption("kill", false, fromMs * NANOS, untilMs * NANOS));
    }

    private void cut(String one, String other, long fromMs, long untilMs) {
        history.cuts.add(new TallyHistory.Cut(one, other, fromMs * NANOS, untilMs * NANOS));
        history.disruptions.add(new TallyHistory.Disruption("cut", true, fromMs * NANOS, untilMs * NANOS));
    }

    private void losesItsDisk(String machine, long atMs) {
        history.diskLosses.add(new TallyHistory.DiskLoss(machine, atMs * NANOS));
        disruption(atMs, atMs + 500);
    }

    private void assertVerdict(Matcher<? super String> matcher) {
        assertThat(TallyHistoryChecker.check(history, MERGE_MS, SETTLED_MS), matcher);
    }

    private static Matcher<String> violates(String rule) {
        return startsWith(rule + ":");
    }

    // ---- TWICE

    @Test
    void aUidThatCountsOnceOnBothSides() {
        add("u", 3, call("a", 1, 1_000, 200), call("b", 1, 1_010, 200));
        add("v", 3, call("a", 1, 1_020, 0));
        reads("a", 1, 2_000, 3);
        reads("b", 1, 2_000, 6);
        assertVerdict(nullValue());
    }

    @Test
    void aTotalAboveAllThatCanHaveCounted() {
        add("u", 3, call("a", 1, 1_000, 200), call("b", 1, 1_010, 200));
        reads("a", 1, 2_000, 6);
        assertVerdict(violates("TWICE"));
    }

    @Test
    void aUidCountedTwiceHiddenByAMissingAdd() {
        add("u", 2, call("a", 1, 1_000, 200));
        add("v", 4, call("b", 1, 1_000, 0));
        add("w", 8, call("b", 1, 1_000, 503));
        reads("a", 1, 2_000, 8);
        assertVerdict(violates("TWICE"));
    }

    @Test
    void anAddThatWasNotYetSent() {
        add("u", 3, call("a", 1, 2_500, 200));
        reads("a", 1, 2_000, 3);
        assertVerdict(violates("TWICE"));
    }

    @Test
    void anAddThatWasRefusedAndCounted() {
        add("u", 3, call("a", 1, 1_000, 503), call("b", 1, 1_100, 429));
        reads("a", 1, 2_000, 3);
        assertVerdict(violates("TWICE"));
    }

    @Test
    void anAddThatWasRefusedOnceAndUnclearOnce() {
        add("u", 3, call("a", 1, 1_000, 503), call("b", 1, 1_100, 504));
        reads("a", 1, 2_000, 3);
        reads("b", 1, 2_000, 0);
        assertVerdict(nullValue());
    }

    @Test
    void aUidWithTwoAmountsCountsAsEitherOfThem() {
        add("u", 3, call("a", 1, 1_000, 200));
        add("u", 5, call("b", 1, 1_000, 200));
        reads("a", 1, 2_000, 3);
        reads("b", 1, 2_000, 5);
        assertVerdict(nullValue());
    }

    @Test
    void aUidWithTwoAmountsCountsAsBoth() {
        add("u", 3, call("a", 1, 1_000, 200));
        add("u", 5, call("b", 1, 1_000, 200));
        reads("a", 1, 2_000, 8);
        assertVerdict(violates("TWICE"));
    }

    @Test
    void aUidCountsAsAnAmountThatWasRefused() {
        add("u", 3, call("a", 1, 1_000, 200));
        add("u", 5, call("b", 1, 1_000, 503));
        reads("a", 1, 2_000, 5);
        assertVerdict(violates("TWICE"));
    }

    // ---- STALE

    @Test
    void aMachineLacksItsOwnAcknowledgement() {
        add("u", 3, call("a", 1, 1_000, 200));
        disruption(1_500, 1_900);
        reads("a", 1, 2_000, 0);
        assertVerdict(violates("STALE"));
    }

    @Test
    void aMachineLacksWhatItAcknowledgedInAnEarlierLifeRightAfterADisruption() {
        add("u", 3, call("a", 1, 1_000, 200));
        disruption(1_500, 1_900);
        reads("a", 2, 2_000, 0);
        assertVerdict(nullValue());
    }

    @Test
    void aReadThatWasSentBeforeTheAcknowledgementCame() {
        add("u", 3, call("a", 1, 1_000, 200));
        reads("a", 1, 1_004, 0);
        assertVerdict(nullValue());
    }

    @Test
    void anotherMachineLacksAnAddAfterMergeMs() {
        add("u", 3, call("a", 1, 1_000, 200));
        disruption(1_500, 1_900);
        reads("b", 1, 4_899, 0);
        assertVerdict(nullValue());
        reads("b", 1, 4_901, 0);
        assertVerdict(violates("STALE"));
    }

    @Test
    void anotherMachineLacksAnAddThatIsYoungerThanMergeMs() {
        add("u", 3, call("a", 1, 10_000, 200));
        reads("b", 1, 13_004, 0);
        assertVerdict(nullValue());
        reads("b", 1, 13_006, 0);
        assertVerdict(violates("STALE"));
    }

    @Test
    void eachAddIsCheckedIndividually() {
        add("u", 1, call("a", 1, 1_000, 200));
        add("v", 4, call("b", 1, 1_000, 0));
        reads("a", 1, 2_000, 4);
        assertVerdict(violates("STALE"));
    }

    // ---- LOST

    @Test
    void anAddIsMissingAtTheEnd() {
        add("u", 3, call("a", 1, 1_000, 200));
        disruption(89_000, 89_500);
        finallyReads("b", 0);
        assertVerdict(violates("LOST"));
    }

    @Test
    void anAddThatIsPresentAtTheEnd() {
        add("u", 3, call("a", 1, 1_000, 200));
        add("v", 4, call("a", 1, 1_100, 504));
        disruption(89_000, 89_500);
        finallyReads("b", 7);
        finallyReads("a", 7);
        assertVerdict(nullValue());
    }

    @Test
    void machinesThatDifferAtTheEnd() {
        add("u", 3, call("a", 1, 1_000, 200));
        add("v", 4, call("a", 1, 1_100, 504));
        finallyReads("b", 3);
        finallyReads("a", 7);
        assertVerdict(violates("DIFFERS"));
    }

    @Test
    void aTallyThatCannotBeReadAtTheEnd() {
        history.finalReads.add(new TallyHistory.Read("t", call("a", 1, 90_000, 503), 0));
        assertVerdict(violates("LOST"));
    }

    @Test
    void acknowledgedWhileCutOffByAMachineThatThenLosesItsDisk() {
        add("u", 3, call("a", 1, 1_000, 200));
        cut("a", "b", 500, 20_000);
        losesItsDisk("a", 22_900);
        finallyReads("b", 0);
        assertVerdict(nullValue());
    }

    @Test
    void acknowledgedWhileCutOffByAMachineThatLosesItsDiskMergeMsAfterTheHealing() {
        add("u", 3, call("a", 1, 1_000, 200));
        cut("a", "b", 500, 20_000);
        losesItsDisk("a", 23_100);
        finallyReads("b", 0);
        assertVerdict(violates("LOST"));
    }

    @Test
    void cutOffAgainBeforeTheFirstCutWasMerged() {
        add("u", 3, call("a", 1, 1_000, 200));
        cut("a", "b", 500, 20_000);
        cut("c", "a", 19_000, 30_000);
        cut("a", "b", 32_900, 40_000);
        losesItsDisk("a", 42_900);
        finallyReads("b", 0);
        assertVerdict(nullValue());
    }

    @Test
    void cutOffAgainOnceTheFirstCutWasMerged() {
        add("u", 3, call("a", 1, 1_000, 200));
        cut("a", "b", 500, 20_000);
        cut("a", "b", 23_100, 40_000);
        losesItsDisk("a", 30_000);
        finallyReads("b", 0);
        assertVerdict(violates("LOST"));
    }

    @Test
    void acknowledgedWhileCutOffAndAnotherMachineLosesItsDisk() {
        add("u", 3, call("a", 1, 1_000, 200));
        cut("a", "b", 500, 20_000);
        losesItsDisk("b", 5_000);
        finallyReads("b", 0);
        assertVerdict(violates("LOST"));
    }

    @Test
    void acknowledgedWhileOthersAreCutOff() {
        add("u", 3, call("a", 1, 1_000, 200));
        cut("b", "c", 500, 20_000);
        losesItsDisk("a", 5_000);
        finallyReads("b", 0);
        assertVerdict(violates("LOST"));
    }

    @Test
    void acknowledgedBeforeTheCut() {
        add("u", 3, call("a", 1, 1_000, 200));
        cut("a", "b", 1_100, 20_000);
        losesItsDisk("a", 5_000);
        finallyReads("b", 0);
        assertVerdict(violates("LOST"));
    }

    @Test
    void acknowledgedOnBothSidesAndOneLosesItsDisk() {
        add("u", 3, call("a", 1, 1_000, 200), call("b", 1, 1_000, 200));
        cut("a", "b", 500, 20_000);
        losesItsDisk("a", 5_000);
        finallyReads("c", 0);
        assertVerdict(violates("LOST"));
    }

    // ---- calls that must succeed

    @Test
    void aCallFailsInALongCut() {
        add("u", 3, call("a", 1, 6_400, 503));
        cut("a", "b", 500, 20_000);
        assertVerdict(nullValue());
        add("v", 3, call("a", 1, 6_600, 503));
        assertVerdict(violates("UNSERVED"));
    }

    @Test
    void aCallAcrossACutFails() {
        add("u", 3, call("a", 1, 9_000, 0));
        cut("a", "b", 500, 20_000);
        history.callerCuts.add(new TallyHistory.Cut("zone-a", "a", 500 * NANOS, 20_000 * NANOS));
        assertVerdict(nullValue());
    }

    @Test
    void aCallFailsInAnotherDisruption() {
        add("u", 3, call("a", 1, 9_000, 503));
        disruption(500, 20_000);
        assertVerdict(nullValue());
    }

    @Test
    void aReadFailsWithoutADisruption() {
        history.reads.add(new TallyHistory.Read("t", call("a", 1, 9_000, 503), 0));
        assertVerdict(violates("UNSERVED"));
    }
}
