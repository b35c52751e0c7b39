package rowanplank.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import rowanplank.balancer.BalancerApi;
import rowanplank.balancer.BalancerApi.Lifecycle;
import rowanplank.balancer.BalancerApi.Server;
import rowanplank.config.FleetConfig;
import rowanplank.ledger.Ask;
import rowanplank.ledger.BudgetHolder;
import rowanplank.ledger.Result;
import rowanplank.ledger.Share;
import rowanplank.net.StandingLoop;

/** Slots at back-end servers: ten servers with four slots each. */
class SlotLimiterTest {
    private static final Instant NOW = Instant.EPOCH;
    private static final BalancerApi.Settings SITE =
            new BalancerApi.Settings(1, 0, 0, List.of(new BalancerApi.RequestClass(400,
            1200, 1, 0.2, BalancerApi.Effect.REPEATABLE, BalancerApi.DedupGroup.ALL, 0, false)), List.of(), 0.1,
            new BalancerApi.Limits(3, true, true, 1000), new BalancerApi.Rules(10_000, 0.14, 24_000, 3), true, false,
            false, 0);
    private static final Duration LONGEST = Duration.ofSeconds(2);
    private final FleetConfig.Sharing sharing = new FleetConfig.Sharing(Duration.ofSeconds(4), List.of(), List.of(),
            new FleetConfig.Places(4, 0, 3, Duration.ZERO, LONGEST));
    private final List<Ask> asked = new ArrayList<>();
    private final BudgetHolder holder =
            new BudgetHolder(new BudgetHolder.Settings("n1", 1, List.of("n1"), Duration.ofMillis(150),
            Duration.ofSeconds(4), LONGEST, 0.01), NOW, new BudgetHolder.Actions() {
                @Override
                public void ask(String voter, Ask ask) {
                    asked.add(ask);
                }

                @Override
                public void more(String budget) { }
            });
    private final SlotLimiter limiter =
            new SlotLimiter(sharing.places(), "n1", new StandingLoop(), holder, this::applyBudgets,
            () -> holder.onTime(NOW));

    private void applyBudgets() {
        holder.budgets(NOW, limiter.budgets(sharing), LONGEST);
    }

    private static List<Server> servers(LongStream ids) {
        return ids.mapToObj(id -> new Server(id, 0, 0, Lifecycle.READY, 1, 0)).toList();
    }

    private void answer(Result result, List<Ask.Told> parts) {
        holder.onAnswer(NOW, new Ask.Answer(1, asked.get(asked.size() - 1).number(), result, parts));
    }

    private static String name(long id) {
        return "place/" + Long.toUnsignedString(id, Character.MAX_RADIX);
    }

    /**
     * If six of ten servers are replaced while attempts are open, open attempts must stay counted, and the other slots
     * must be released and requested anew.
     */
    @Test
    void replacingServersKeepsOpenAttemptsCounted() {
        limiter.updateServers(servers(LongStream.rangeClosed(1, 10)), true, SITE);
        answer(Result.of(Result.Kind.OPENED, 5), List.of());
        answer(Result.of(Result.Kind.JOINED, 9), List.of());
        answer(Result.of(Result.Kind.PARTS, 10), LongStream.rangeClosed(1, 10)
                .mapToObj(id -> new Ask.Told(name(id), 9, new Share(2, 0), new Share(2, 0), id)).toList());
        assertTrue(limiter.tryAcquire(1, 1) && limiter.tryAcquire(7, 1) && limiter.tryAcquire(7, 1));
        assertFalse(limiter.tryAcquire(7, 1), "two of two slots are in use");

        limiter.updateServers(servers(LongStream.concat(LongStream.rangeClosed(1, 4), LongStream.rangeClosed(21, 26))), true,
                SITE);
        Set<String> used = new TreeSet<>(limiter.budgets(sharing).keySet());
        assertEquals(11, used.size(), "four, six new ones, and one with open attempts");
        assertEquals(2.0, limiter.limit(1), "a remaining server keeps its slots");
        assertEquals(0.0, limiter.limit(7), "a removed server is not used");
        assertEquals(0.0, limiter.limit(21), "there is no share of a new one yet");
        assertTrue(asked.stream().noneMatch(a -> a.what() instanceof Ask.Give g && g.budget().equals(name(7))),
                "it is in use");
        assertTrue(asked.stream().anyMatch(a -> a.what() instanceof Ask.Give g && g.budget().equals(name(8))
                && g.most().equals(Share.NONE)));

        limiter.release(7, true);
        limiter.release(7, true);
        limiter.updateServers(servers(LongStream.concat(LongStream.rangeClosed(1, 4), LongStream.rangeClosed(21, 26))), true,
                SITE);
        assertFalse(limiter.budgets(sharing).containsKey(name(7)));
        assertTrue(asked.stream().anyMatch(a -> a.what() instanceof Ask.Give g && g.budget().equals(name(7))
                && g.most().equals(Share.NONE)));
        limiter.updateServers(servers(LongStream.of(7)), false, SITE);
        assertEquals(0.0, limiter.limit(7), "a returning server gets its slots from the ledger");
    }
}
