package routerfleet.data;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

/** When connections that have rested are no longer used. */
class RestLimitTest {
    private final RestLimit limit = new RestLimit();

    @Test
    void isNoneBeforeAConnectionWasLost() {
        assertThat(limit.longestRestMs(0), is(Long.MAX_VALUE));
    }

    @Test
    void isHalfOfTheShortestRestAfterWhichOneWasLost() {
        limit.lost(1_000, 10);
        limit.lost(400, 20);
        limit.lost(900, 30);
        assertThat(limit.longestRestMs(40), is(200L));
    }

    @Test
    void isGivenUpAfterAWhile() {
        limit.lost(400, 20);
        assertThat(limit.longestRestMs(20_019), is(200L));
        assertThat(limit.longestRestMs(20_020), is(Long.MAX_VALUE));
    }

    @Test
    void aConnectionThatHasHardlyRestedTellsNothing() {
        limit.lost(39, 20);
        assertThat(limit.longestRestMs(30), is(Long.MAX_VALUE));
    }
}
