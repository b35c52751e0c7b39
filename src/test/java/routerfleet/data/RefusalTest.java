package routerfleet.data;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

/** When a refused client is told to come back. */
class RefusalTest {
    @Test
    void secondsHaveThreeDecimals() {
        assertThat(Refusal.seconds(0), is("0.000"));
        assertThat(Refusal.seconds(7), is("0.007"));
        assertThat(Refusal.seconds(900), is("0.900"));
        assertThat(Refusal.seconds(1_200), is("1.200"));
    }
}
