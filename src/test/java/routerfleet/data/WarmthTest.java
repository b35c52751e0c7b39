package routerfleet.data;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

/** Until when a server counts as cold. */
class WarmthTest {
    private final Warmth warmth = new Warmth();

    @Test
    void aServerIsColdFromTheReceiptForAsLongAsItSays() {
        assertThat(warmth.told(1, 3_000, true, 10_000), is(true));
        assertThat(warmth.isCold(13_000), is(true));
        assertThat(warmth.isCold(13_200), is(false));
    }

    @Test
    void theNewestHeartbeatCountsInAnyOrderOfReceipt() {
        warmth.told(5, 2_000, true, 10_000);
        warmth.told(4, 9_000, true, 10_010);
        assertThat(warmth.isCold(12_200), is(false));
        warmth.told(6, 0, true, 10_500);
        assertThat("warm sooner", warmth.isCold(10_501), is(false));
        warmth.told(5, 2_000, true, 10_600);
        assertThat("an earlier one", warmth.isCold(10_601), is(false));
        assertThat("cold again", warmth.told(7, 500, true, 11_000), is(true));
    }

    /** Guards worth: a heartbeat that is told again by another control node does not keep the server cold. */
    @Test
    void theSameHeartbeatToldLateDoesNotProlongIt() {
        warmth.told(1, 3_000, true, 10_000);
        warmth.told(1, 3_000, true, 12_900);
        assertThat(warmth.isCold(13_200), is(false));
    }

    @Test
    void aDoubtfulServerIsColdUntilALaterHeartbeatOrSomeTime() {
        warmth.told(1, 0, true, 10_000);
        warmth.doubt(3_500, 10_100);
        warmth.told(2, 0, true, 10_300);
        assertThat("was under way", warmth.isCold(10_301), is(true));
        warmth.told(3, 0, true, 11_000);
        assertThat(warmth.isCold(11_001), is(false));
        warmth.doubt(3_500, 12_000);
        assertThat(warmth.isCold(15_499), is(true));
        assertThat(warmth.isCold(15_500), is(false));
    }

    /** Guards FAILBACK: a heartbeat of before the doubt, told late by a control node that has come back, proves nothing. */
    @Test
    void aHeartbeatThatIsNotFreshEndsNoDoubt() {
        warmth.told(1, 0, true, 10_000);
        warmth.doubt(3_500, 10_100);
        warmth.told(2, 0, false, 11_000);
        assertThat(warmth.isCold(11_001), is(true));
    }

    @Test
    void whatAnAnswerSaysCountsToo() {
        warmth.told(1, 0, true, 10_000);
        warmth.answered(800, 10_100);
        assertThat(warmth.isCold(10_900), is(true));
    }
}
