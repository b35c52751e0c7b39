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

/** What comes between a cold server's start and its warmth, event by event: the section of docs/races.md on cold servers. */
class ColdServerRacesTest {
    private static final long COLD = 1;
    private static final int ANSWER_MS = 100;

    /** One node and one server that has answered, so that the node knows how long an answer takes. */
    private static Harness warm() {
        Harness h = new Harness(Harness.settings(1, Harness.LIMITS, Harness.SAFE));
        h.list(ListKind.FULL, List.of(Harness.server(COLD)));
        for (long id = 1; id <= 5; id++) {
            h.request(id, 0);
            h.advance(ANSWER_MS);
            h.outcome(h.last(), Outcome.OK);
        }
        return h;
    }

    private static void starts(Harness h) {
        h.list(ListKind.DELTA, List.of(Harness.server(COLD, Lifecycle.READY, h.now)));
    }

    private static void ask(Harness h, long from, int count) {
        for (long id = from; id < from + count; id++) {
            h.request(id, 0);
        }
    }

    /** Answers of the old process free its places, and none of the new one's. */
    @Test
    void triesOutAtTheOldProcessGiveNoRoomAtTheNewOne() {
        for (Outcome how : new Outcome[] {Outcome.OK, Outcome.RESET, Outcome.CONNECT_FAILED}) {
            Harness h = warm();
            ask(h, 10, 12);
            List<Sent> old = h.pending();
            assertEquals(4, old.size(), "a warm server's places");
            int before = h.sent.size();
            starts(h);
            old.forEach(s -> h.outcome(s, how));
            assertEquals(before, h.sent.size(), how + ": nothing is sent to the new process in that moment");
        }
    }

    /** As on a connection to the old process that was kept: its reset is the first that is heard of the new one. */
    @Test
    void aFailureAtOnceTakesAPlaceForAsLongAsAnAnswerDoes() {
        for (Outcome how : new Outcome[] {Outcome.RESET, Outcome.ERROR, Outcome.FULL, Outcome.CONNECT_FAILED}) {
            Harness h = warm();
            starts(h);
            h.advance(Harness.RULES.warmupMs() / 2);
            ask(h, 10, 3);
            assertEquals(2, h.pending().size(), "places of a server that is half warm");
            h.advance(5);
            int before = h.sent.size();
            h.outcome(h.last(), how);
            h.advance(50);
            assertEquals(before, h.sent.size(), how + " hastens no send");
            h.pending().forEach(s -> h.outcome(s, Outcome.OK));
            assertEquals(before, h.sent.size(), "nor does another try's answer");
            h.advance(2000);
            ask(h, 20, 3);
            assertTrue(h.sent.size() > before, how + " does not keep it out for good");
        }
    }

    /** A page server works on what was withdrawn, so that its place is not free at once. */
    @Test
    void aWithdrawnTryTakesAPlaceForAsLongAsAnAnswerDoes() {
        Harness h = warm();
        starts(h);
        h.advance(Harness.RULES.warmupMs() / 2);
        ask(h, 10, 3);
        Sent left = h.last();
        int before = h.sent.size();
        h.clientLeft(left.request());
        h.outcome(left, Outcome.CANCELLED);
        h.advance(50);
        assertEquals(before, h.sent.size());
    }

    /** Thirty nodes hear of it in the middle of its ramp, all in one moment, and each has requests that wait. */
    @Test
    void nodesThatJoinDuringTheRampDoNotSendAtOnce() {
        int nodes = 30;
        double warmRate = 2.0 / 400;
        OverloadCounter counter = new OverloadCounter(new OverloadCounter.ServerTerms(0.14, 24_000, 3, 1500, warmRate), 1000);
        List<Harness> joined = new ArrayList<>();
        for (int n = 0; n < nodes; n++) {
            Harness h = new Harness(Harness.settings(nodes, Harness.LIMITS, Harness.SAFE), n);
            h.now = 5000;
            h.list(ListKind.FULL, List.of(Harness.server(COLD, Lifecycle.READY, 1000)));
            ask(h, 1, 5);
            joined.add(h);
        }
        for (int ms = 0; ms < 1500; ms += 5) {
            for (Harness h : joined) {
                int before = h.sent.size();
                h.advance(5);
                h.sent.subList(before, h.sent.size()).forEach(s -> counter.arrived(s.at(), 1, true));
            }
        }
        joined.forEach(h -> assertTrue(h.sent.stream().noneMatch(s -> s.at() == 5000), "sent in the moment of its joining"));
        assertFalse(counter.overloaded);
    }
}
