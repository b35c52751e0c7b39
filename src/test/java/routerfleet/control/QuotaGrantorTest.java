package routerfleet.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;
import routerfleet.config.TenantConfig;
import routerfleet.settings.Bounds;
import routerfleet.wire.PeerMessage;
import routerfleet.wire.PeerMessage.QuotaVerdict;

/** One control node's shares of the tenants' limits. */
class QuotaGrantorTest {
    private static final Bounds BOUNDS = new Bounds(null, null, null, null, null, null, null, null, null, null, null, null,
            8.0, 0.0, 0.0, null, null, null, null);
    private static final TenantConfig TENANT = tenant(900);
    private static final List<String> THREE = List.of("a", "b", "c");

    private final QuotaGrantor grantor = new QuotaGrantor("a", BOUNDS);
    private long lastId;

    private static TenantConfig tenant(double rate) {
        return new TenantConfig("one", List.of("k"), 0, "requests", 0, rate, 300);
    }

    private PeerMessage.QuotaAnswer ask(double amount, long ageMs, long nowMs) {
        return grantor.answer(new PeerMessage.QuotaAsk(++lastId, "one", amount, false), ageMs, nowMs);
    }

    @Test
    void startsEmptyAndFillsAtItsShareOfTheRate() {
        grantor.configure(List.of(TENANT), THREE, 0);
        assertThat(ask(1, 0, 0).verdict(), is(QuotaVerdict.DENIED));
        assertThat(ask(30, 0, 100).verdict(), is(QuotaVerdict.GRANTED));
        PeerMessage.QuotaAnswer denied = ask(30, 0, 100);
        assertThat(denied.verdict(), is(QuotaVerdict.DENIED));
        assertThat(denied.waitMs(), is(100L));
    }

    @Test
    void grantsNothingOnceItsViewIsOldOrWasNeverConfirmed() {
        grantor.configure(List.of(TENANT), THREE, 0);
        assertThat(ask(1, QuotaGrantor.LEASE_MS, 5_000).verdict(), is(QuotaVerdict.GRANTED));
        assertThat(ask(1, QuotaGrantor.LEASE_MS + 1, 5_000).verdict(), is(QuotaVerdict.NOT_HERE));
        assertThat(ask(1, -1, 5_000).verdict(), is(QuotaVerdict.NOT_HERE));
    }

    @Test
    void grantsNothingOnceItIsNoLongerAReplica() {
        grantor.configure(List.of(TENANT), THREE, 0);
        grantor.configure(List.of(TENANT), List.of("b", "c", "d"), 5_000);
        assertThat(ask(1, 0, 5_000).verdict(), is(QuotaVerdict.NOT_HERE));
    }

    @Test
    void aShareTakenOverFillsOnceItsFormerHolderHasStopped() {
        grantor.configure(List.of(TENANT), List.of("b", "c", "d"), 0);
        grantor.configure(List.of(TENANT), THREE, 1_000);
        long stopped = 1_000 + QuotaGrantor.LEASE_MS;
        assertThat(ask(1, 0, stopped).verdict(), is(QuotaVerdict.DENIED));
        assertThat(ask(30, 0, stopped + 100).verdict(), is(QuotaVerdict.GRANTED));
    }

    @Test
    void aNodeThatJoinsWithAnEmptyDiskWaitsForTheFormerHolderOfItsShare() {
        grantor.configure(List.of(), List.of(), 0);
        grantor.configure(List.of(TENANT), THREE, 1_000);
        long stopped = 1_000 + QuotaGrantor.LEASE_MS;
        assertThat(ask(1, 0, stopped).verdict(), is(QuotaVerdict.DENIED));
        assertThat(ask(30, 0, stopped + 100).verdict(), is(QuotaVerdict.GRANTED));
    }

    @Test
    void aShareGrowsOnlyOnceTheHolderThatLeftHasStopped() {
        grantor.configure(List.of(TENANT), THREE, 0);
        assertThat(ask(100, 0, 1_000).verdict(), is(QuotaVerdict.GRANTED));
        grantor.configure(List.of(TENANT), List.of("a", "b"), 1_000);
        assertThat("a third of 900 a second, not a half", ask(40, 0, 1_100).verdict(), is(QuotaVerdict.DENIED));
        long stopped = 1_000 + QuotaGrantor.LEASE_MS;
        grantor.configure(List.of(TENANT), List.of("a", "b"), stopped);
        assertThat(ask(100, 0, stopped).verdict(), is(QuotaVerdict.GRANTED));
        assertThat("a half of the depth, at a half of the rate", ask(150, 0, stopped + 334).verdict(),
                is(QuotaVerdict.GRANTED));
    }

    @Test
    void aShareTakenOverStartsEmptyAndOneThatIsKeptKeepsItsLevel() {
        grantor.configure(List.of(TENANT), THREE, 0);
        grantor.configure(List.of(TENANT), List.of("a", "b"), 1_000);
        assertThat(ask(60, 0, 1_000).verdict(), is(QuotaVerdict.GRANTED));
        assertThat("it held a third of the rate for a second, 100, and no more", ask(41, 0, 1_000).verdict(),
                is(QuotaVerdict.DENIED));
        assertThat(ask(40, 0, 1_000).verdict(), is(QuotaVerdict.GRANTED));
        grantor.configure(List.of(TENANT), List.of("b", "c"), 2_000);
        grantor.configure(List.of(TENANT), THREE, 3_000);
        assertThat(ask(1, 0, 3_000).verdict(), is(QuotaVerdict.DENIED));
    }

    @Test
    void aRequestLargerThanTheBucketIsGrantedOnceItIsFullAndLeavesADebt() {
        grantor.configure(List.of(TENANT), THREE, 0);
        assertThat(ask(250, 0, 300).verdict(), is(QuotaVerdict.DENIED));
        assertThat(ask(250, 0, 400).verdict(), is(QuotaVerdict.GRANTED));
        assertThat("150 of debt at 300 a second", ask(1, 0, 800).verdict(), is(QuotaVerdict.DENIED));
        assertThat("the debt is paid, but a large request would find no room", ask(1, 0, 910).verdict(),
                is(QuotaVerdict.DENIED));
        assertThat(ask(1, 0, 1_070).verdict(), is(QuotaVerdict.GRANTED));
    }

    @Test
    void aLowerLimitAppliesAtOnce() {
        grantor.configure(List.of(TENANT), THREE, 0);
        grantor.configure(List.of(tenant(30)), THREE, 1_000);
        for (int i = 0; i < 10; i++) {
            assertThat(ask(10, 0, 1_000).verdict(), is(QuotaVerdict.GRANTED));
        }
        assertThat(ask(10, 0, 1_500).verdict(), is(QuotaVerdict.DENIED));
        assertThat(ask(10, 0, 2_000).verdict(), is(QuotaVerdict.GRANTED));
    }

    /** Guards a tenant's other requests: one with an invalid size must not corrupt the bucket. */
    @Test
    void invalidSizesLeaveTheBucketUnchanged() {
        grantor.configure(List.of(TENANT), THREE, 0);
        for (double invalid : new double[] {Double.NaN, Double.POSITIVE_INFINITY, Double.NEGATIVE_INFINITY, -1}) {
            assertThat(ask(invalid, 0, 100).verdict(), is(QuotaVerdict.NOT_HERE));
        }
        assertThat(ask(30, 0, 100).verdict(), is(QuotaVerdict.GRANTED));
        ask(Double.MAX_VALUE, 0, 200);
        assertThat(ask(1, 0, 1_000_000).verdict(), is(QuotaVerdict.GRANTED));
    }
}
