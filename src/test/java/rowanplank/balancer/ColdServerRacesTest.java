package rowanplank.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import rowanplank.balancer.BalancerApi.Lifecycle;
import rowanplank.balancer.BalancerApi.ListKind;
import rowanplank.balancer.BalancerApi.Outcome;
import rowanplank.balancer.Harness.Sent;

/**
 * Events that may come between the start of a cold server and the end of its warm-up, each in a sequence of its own.
 */
class ColdServerRacesTest {
    private static final long COLD = 1;
    private static final int ANSWER_MS = 100;

    /** One node and one server that has answered, so that the node knows how long a response takes. */
    private static Harness warmNode() {
        Harness h = new Harness(Harness.settings(1, Harness.LIMITS, Harness.SAFE));
        h.list(ListKind.FULL, List.of(Harness.server(COLD)));
        for (long id = 1; id <= 5; id++) {
            h.request(id, 0);
            h.advance(ANSWER_MS);
            h.outcome(h.last(), Outcome.OK);
        }
        return h;
    }

    private static void restart(Harness h) {
        h.list(ListKind.DELTA, List.of(Harness.server(COLD, Lifecycle.READY, h.now)));
    }

    private static void requests(Harness h, long from, int count) {
        for (long id = from; id < from + count; id++) {
            h.request(id, 0);
        }
    }

    /** Outcomes of attempts at the old process must not free slots of the new one. */
    @Test
    void attemptsPendingAtTheOldProcessFreeNoSlotsAtTheNewOne() {
        for (Outcome outcome : new Outcome[] {Outcome.OK, Outcome.RESET, Outcome.CONNECT_FAILED}) {
            Harness h = warmNode();
            requests(h, 10, 12);
            List<Sent> old = h.pending();
            assertEquals(4, old.size(), "slots of a warm server");
            int before = h.sent.size();
            restart(h);
            old.forEach(s -> h.outcome(s, outcome));
            assertEquals(before, h.sent.size(), outcome + ": nothing may be sent to the new process at that moment");
        }
    }

    /**
     * An immediate failure, such as the reset of a kept connection to the old process, must not lead to faster sends.
     */
    @Test
    void anImmediateFailureTakesASlotForAsLongAsAResponse() {
        for (Outcome outcome : new Outcome[] {Outcome.RESET, Outcome.ERROR, Outcome.FULL, Outcome.CONNECT_FAILED}) {
            Harness h = warmNode();
            restart(h);
            h.advance(Harness.RULES.warmupMs() / 2);
            requests(h, 10, 3);
            assertEquals(2, h.pending().size(), "slots of a server halfway through its warm-up");
            h.advance(5);
            int before = h.sent.size();
            h.outcome(h.last(), outcome);
            h.advance(50);
            assertEquals(before, h.sent.size(), outcome + " must not lead to another send");
            h.pending().forEach(s -> h.outcome(s, Outcome.OK));
            assertEquals(before, h.sent.size(), "nor must the response of another attempt");
            h.advance(2000);
            requests(h, 20, 3);
            assertTrue(h.sent.size() > before, outcome + " must not keep the server from getting requests later");
        }
    }

    /** A page server continues to work on a cancelled request, so its slot is not free at once. */
    @Test
    void aCancelledAttemptTakesASlotForAsLongAsAResponse() {
        Harness h = warmNode();
        restart(h);
        h.advance(Harness.RULES.warmupMs() / 2);
        requests(h, 10, 3);
        Sent left = h.last();
        int before = h.sent.size();
        h.clientLeft(left.request());
        h.outcome(left, Outcome.CANCELLED);
        h.advance(50);
        assertEquals(before, h.sent.size());
    }

    /**
     * Thirty nodes hear of a cold server in the middle of its warm-up at the same moment, each with requests in its
     * queue. They must not all send at once.
     */
    @Test
    void nodesThatJoinDuringTheWarmupDoNotAllSendAtOnce() {
        int nodes = 30;
        double warmRate = 2.0 / 400;
        OverloadCounter counter = new OverloadCounter(
                new OverloadCounter.ServerTerms(0.14, 24_000, 3, 1500, warmRate), 1000);
        List<Harness> joined = new ArrayList<>();
        for (int n = 0; n < nodes; n++) {
            Harness h = new Harness(Harness.settings(nodes, Harness.LIMITS, Harness.SAFE), n);
            h.now = 5000;
            h.list(ListKind.FULL, List.of(Harness.server(COLD, Lifecycle.READY, 1000)));
            requests(h, 1, 5);
            joined.add(h);
        }
        for (int ms = 0; ms < 1500; ms += 5) {
            for (Harness h : joined) {
                int before = h.sent.size();
                h.advance(5);
                h.sent.subList(before, h.sent.size()).forEach(s -> counter.arrived(s.at(), 1, true));
            }
        }
        joined.forEach(h -> assertTrue(h.sent.stream().noneMatch(s -> s.at() == 5000),
                "sent at the moment of joining"));
        assertFalse(counter.overloaded);
    }
}
