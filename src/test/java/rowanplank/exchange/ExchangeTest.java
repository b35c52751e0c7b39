package rowanplank.exchange;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import rowanplank.balancer.BalancerApi.Outcome;

/** Tests of {@link Exchange}. */
class ExchangeTest implements Exchange.Listener {
    private static final Instant NOW = Instant.EPOCH;
    private static final Instant DEADLINE = NOW.plusSeconds(1);

    private final List<Object> seen = new ArrayList<>();
    private final Exchange exchange = new Exchange(1,
            new RequestContext("id", 0, false, NOW, DEADLINE,
                    new RequestContext.Payload("GET", "/", List.of(), new byte[0])),
            seen::add, this);

    @Override
    public void attemptEnded(Exchange.Attempt attempt, Outcome outcome, Response.Served served) {
        seen.add(outcome);
    }

    @Override
    public void clientLeft(Exchange departed) {
        seen.add("departed");
    }

    @Test
    void thereIsOneFinalResponse() {
        assertTrue(exchange.respond(new Response.Failed()));
        assertFalse(exchange.respond(new Response.Rejected(Duration.ZERO)));
        exchange.clientLeft();
        assertEquals(List.of(new Response.Failed()), seen);
        assertNull(exchange.beginAttempt(0, 7, NOW, DEADLINE), "nothing is sent after the end");
    }

    @Test
    void aClientThatLeftGetsNoResponse() {
        exchange.clientLeft();
        assertFalse(exchange.respond(new Response.Failed()));
        assertEquals(List.of("departed"), seen);
    }

    @Test
    void oneAttemptIsPendingAtATimeAndEachHasOneOutcome() {
        Exchange.Attempt first = exchange.beginAttempt(0, 7, NOW, DEADLINE.plusSeconds(5));
        assertEquals(DEADLINE, first.timeoutAt(), "no attempt outlasts its request");
        assertNull(exchange.beginAttempt(1, 8, NOW, DEADLINE));
        first.end(Outcome.RESET, null);
        first.end(Outcome.TIMEOUT, null);
        assertEquals(List.of(Outcome.RESET), seen);
        assertNotNull(exchange.beginAttempt(1, 8, NOW, DEADLINE));
    }
}
