package rowanplank.intake.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

class BodyPaceTest {
    private final BodyPace pace = new BodyPace();
    private final Instant start = Instant.EPOCH;

    @Test
    void whatComesAtThePaceIsGivenTheTimeThatItTakes() {
        pace.came(start.plusMillis(2400));
        assertEquals(Duration.ofMillis(500), pace.more(start.plusMillis(2500), BodyPace.SLOWEST / 2));
        pace.came(start.plusMillis(2900));
        assertEquals(Duration.ofMillis(250), pace.more(start.plusMillis(3000), BodyPace.SLOWEST * 3 / 4));
        assertEquals(Duration.ZERO, pace.more(start.plusMillis(3250), BodyPace.SLOWEST * 3 / 4), "no more has come");
    }

    /** Half a request and silence: whoever sent it is owed an end in 3 s, however much had come at once. */
    @Test
    void whatHasStoppedIsGivenNone() {
        pace.came(start.plusMillis(10));
        assertEquals(Duration.ZERO, pace.more(start.plusMillis(2500), 60_000));
        assertEquals(Duration.ZERO, new BodyPace().more(start, 60_000));
    }

    @Test
    void theNextRequestBeginsAnew() {
        pace.came(start);
        pace.more(start, 30_000);
        pace.reset();
        assertEquals(pace.more(start, 30_000), Duration.ofNanos(30_000L * 1_000_000_000 / BodyPace.SLOWEST));
    }
}
