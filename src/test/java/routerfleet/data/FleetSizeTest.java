package routerfleet.data;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

/** Tests the number of data nodes by which common limits are divided. */
class FleetSizeTest {
    private final FleetSize size = new FleetSize();

    /** Guards common limits: a control node that has just started reports too few data nodes until all have polled it. */
    @Test
    void countsOfAStartingControlNodeAreIgnored() {
        size.countReported(1, true, 1_000);
        assertThat(size.divisor(), is(0));
        size.countReported(66, false, 1_100);
        size.countReported(2, true, 1_200);
        assertThat(size.divisor(), is(66));
        assertThat(size.latest(), is(66));
    }

    /** Guards common limits when a control node is partitioned from most data nodes, which still use their shares. */
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
