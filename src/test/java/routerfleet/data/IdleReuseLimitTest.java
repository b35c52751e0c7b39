package routerfleet.data;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

/** Tests when idle connections are no longer reused. */
class IdleReuseLimitTest {
    private final IdleReuseLimit limit = new IdleReuseLimit();

    @Test
    void isUnlimitedBeforeAConnectionIsLost() {
        assertThat(limit.maxIdleMs(0), is(Long.MAX_VALUE));
    }

    @Test
    void isHalfOfTheShortestIdleTimeOfALostConnection() {
        limit.connectionLost(1_000, 10);
        limit.connectionLost(400, 20);
        limit.connectionLost(900, 30);
        assertThat(limit.maxIdleMs(40), is(200L));
    }

    @Test
    void expiresAfterItsDuration() {
        limit.connectionLost(400, 20);
        assertThat(limit.maxIdleMs(20_019), is(200L));
        assertThat(limit.maxIdleMs(20_020), is(Long.MAX_VALUE));
    }

    @Test
    void aConnectionLostAfterAShortIdleTimeIsIgnored() {
        limit.connectionLost(39, 20);
        assertThat(limit.maxIdleMs(30), is(Long.MAX_VALUE));
    }
}
