package routerfleet.data;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

/** Tests the format of Retry-After values. */
class ErrorResponseTest {
    @Test
    void secondsHaveThreeDecimals() {
        assertThat(ErrorResponse.seconds(0), is("0.000"));
        assertThat(ErrorResponse.seconds(7), is("0.007"));
        assertThat(ErrorResponse.seconds(900), is("0.900"));
        assertThat(ErrorResponse.seconds(1_200), is("1.200"));
    }
}
