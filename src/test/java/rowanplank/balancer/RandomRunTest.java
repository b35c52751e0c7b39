package rowanplank.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import rowanplank.balancer.BalancerApi.DedupGroup;
import rowanplank.balancer.BalancerApi.Effect;
import rowanplank.balancer.BalancerApi.Lifecycle;
import rowanplank.balancer.BalancerApi.Limits;
import rowanplank.balancer.BalancerApi.ListKind;
import rowanplank.balancer.BalancerApi.Outcome;
import rowanplank.balancer.BalancerApi.RequestClass;
import rowanplank.balancer.BalancerApi.Server;
import rowanplank.balancer.BalancerApi.Settings;

/** Random sequences of legal events; {@link Harness} checks the rules after every action. */
class RandomRunTest {
    private static final Outcome[] OUTCOMES = Outcome.values();

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void everyRequestEndsOnceAndNoRuleBreaks(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Harness h = new Harness(settings(random));
        h.servers(random.nextInt(8));
        for (long id = 1; id <= 3000; id++) {
            h.request(id, random.nextInt(h.settings.classes().size()), h.now + random.nextDouble() * 1500);
            step(h, random, id);
        }
        h.advance(4000);
        for (long id = 1; id <= 3000; id++) {
            assertTrue(h.ended(id), "request " + id + " never got a final response");
        }
        assertEquals(List.of(), h.pending());
        assertTrue(h.sent.size() > 500, "only " + h.sent.size() + " sends");
    }

    private static Settings settings(SplittableRandom random) {
        RequestClass cell = Harness.type(Effect.BY_KEY, DedupGroup.CELL);
        RequestClass zone = Harness.type(Effect.BY_KEY, DedupGroup.ZONE);
        Limits limits = new Limits(1 + random.nextInt(4), random.nextBoolean(), random.nextBoolean(), 1000);
        return new Settings(3, 0, 0, List.of(Harness.SAFE, Harness.UNSAFE, Harness.KEYED, cell, zone), List.of(), 0.1,
                limits, Harness.RULES, false, true, false, 0);
    }

    private static void step(Harness h, SplittableRandom random, long id) {
        if (random.nextInt(20) == 0) {
            h.list(random.nextBoolean() ? ListKind.FULL : ListKind.DELTA, someServers(h, random));
        }
        if (random.nextInt(30) == 0 && !h.ended(id)) {
            h.clientLeft(id);
        }
        for (Harness.Sent s : h.pending()) {
            if (random.nextInt(3) == 0) {
                h.outcome(s, random.nextInt(3) > 0 ? Outcome.OK : OUTCOMES[random.nextInt(OUTCOMES.length)]);
            }
        }
        h.advance(random.nextInt(3) * 10);
    }

    private static List<Server> someServers(Harness h, SplittableRandom random) {
        List<Server> list = new ArrayList<>();
        for (long s = 1; s <= 8; s++) {
            if (random.nextInt(3) > 0) {
                Lifecycle lifecycle = random.nextInt(4) > 0 ? Lifecycle.READY : Lifecycle.DRAINING;
                list.add(Harness.server(s, lifecycle, random.nextInt(5) == 0 ? h.now - 100 : 0));
            }
        }
        return list;
    }
}
