package routerfleet.data;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

/** By how many data nodes common allowances are divided. */
class FleetSizeTest {
    private final FleetSize size = new FleetSize();

    /** Guards what all share: while a control node that has just started counts them one by one, it is not believed. */
    @Test
    void countsOfAStartingControlNodeAreIgnored() {
        size.countReported(1, true, 1_000);
        assertThat(size.divisor(), is(0));
        size.countReported(66, false, 1_100);
        size.countReported(2, true, 1_200);
        assertThat(size.divisor(), is(66));
        assertThat(size.latest(), is(66));
    }

    /** Guards the same where a control node is cut off from most data nodes: the others still use their parts. */
    @Test
    void aSmallerCountAppliesOnlyAfterTheRetentionTime() {
        size.countReported(66, false, 1_000);
        size.countReported(22, false, 2_000);
        assertThat(size.latest(), is(22));
        assertThat(size.divisor(), is(66));
        size.countReported(22, false, 2_001 + FleetSize.RETENTION_MS);
        assertThat(size.divisor(), is(66));
        size.countReported(22, false, 2_003 + 2 * FleetSize.RETENTION_MS);
        assertThat(size.divisor(), is(22));
    }
}
