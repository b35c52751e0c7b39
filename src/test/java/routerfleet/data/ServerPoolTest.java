package routerfleet.data;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.nullValue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import routerfleet.wire.SessionRecord;

/** Tests the choice among listed servers. */
class ServerPoolTest {
    private static final int IN_FLIGHT_LIMIT = 100;

    private static final long TARGET_LATENCY_MS = 400;

    private static PromptProfile profile(String requestClass, PromptPrefix prefix) {
        return new PromptProfile(requestClass, prefix, TARGET_LATENCY_MS);
    }

    private static Server server(int number) {
        Server server = new Server(new SessionRecord("s" + number, "llm", "127.0.0.1:" + (1000 + number), "a", 16,
                SessionRecord.Phase.READY, 1, 0));
        server.listed(true);
        return server;
    }

    private static List<Server> fill(ServerPool pool, int count) {
        List<Server> servers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            servers.add(server(i));
            pool.add(servers.get(i));
        }
        pool.applyMembership();
        return servers;
    }

    @Test
    void fasterServersGetMoreRequests() {
        ServerPool pool = new ServerPool(1, "a");
        List<Server> servers = fill(pool, 4);
        Map<Server, Integer> chosen = new HashMap<>();
        for (int i = 0; i < 4_000; i++) {
            Server server = pool.choose(profile("c", PromptPrefix.NONE), IN_FLIGHT_LIMIT, List.of(), 1);
            pool.recordOutcome(profile("c", PromptPrefix.NONE), server, server == servers.get(0) ? 400 : 50, true);
            chosen.merge(server, 1, Integer::sum);
        }
        assertThat(chosen.get(servers.get(0)), is(lessThan(chosen.get(servers.get(1)) / 2)));
    }

    @Test
    void mostPrefixesKeepTheirServerWhenServersAreAdded() {
        ServerPool pool = new ServerPool(1, "a");
        fill(pool, 6);
        Map<Integer, Server> chosen = new HashMap<>();
        for (int prefix = 0; prefix < 200; prefix++) {
            chosen.put(prefix, pool.choose(profile("c", new PromptPrefix(prefix + 1, 9_000, 9_000)),
                    IN_FLIGHT_LIMIT, List.of(), 1));
        }
        pool.add(server(99));
        pool.applyMembership();
        int same = 0;
        for (int prefix = 0; prefix < 200; prefix++) {
            same += chosen.get(prefix) == pool.choose(profile("c", new PromptPrefix(prefix + 1, 9_000, 9_000)),
                    IN_FLIGHT_LIMIT, List.of(), 1) ? 1 : 0;
        }
        assertThat(same, is(greaterThan(140)));
    }

    /** Guards prompt caches: one fast response of another server does not justify processing a long prefix again there. */
    @Test
    void oneFastResponseElsewhereDoesNotMoveAPrefix() {
        ServerPool pool = new ServerPool(1, "a");
        fill(pool, 40);
        PromptPrefix prefix = new PromptPrefix(7, 13_000, 13_000);
        Server first = pool.choose(profile("c", prefix), IN_FLIGHT_LIMIT, List.of(), 1);
        Server next = pool.choose(profile("c", prefix), IN_FLIGHT_LIMIT, List.of(first), 1);
        Server third = pool.choose(profile("c", prefix), IN_FLIGHT_LIMIT, List.of(first, next), 1);
        pool.recordOutcome(profile("c", PromptPrefix.NONE), third, 200, true);
        pool.recordOutcome(profile("c", PromptPrefix.NONE), next, 100, true);
        first.requestSent(1);
        assertThat(pool.choose(profile("c", prefix), IN_FLIGHT_LIMIT, List.of(), 1), is(first));
        first.backOff(10);
        assertThat("an avoided server loses the prefix",
                pool.choose(profile("c", prefix), IN_FLIGHT_LIMIT, List.of(), 11), is(not(first)));
    }

    @Test
    void aServerIsNotTriedTwiceAndFullServersGetNoRequests() {
        ServerPool pool = new ServerPool(1, "a");
        List<Server> servers = fill(pool, 2);
        Server first = pool.choose(profile("c", PromptPrefix.NONE), IN_FLIGHT_LIMIT, List.of(), 1);
        assertThat(pool.choose(profile("c", PromptPrefix.NONE), IN_FLIGHT_LIMIT, List.of(first), 1), is(not(first)));
        servers.forEach(s -> s.requestSent(1));
        assertThat(pool.choose(profile("c", PromptPrefix.NONE), 1, List.of(), 1), is(nullValue()));
    }

    @Test
    void aFailedServerIsAvoidedUnlessThereIsNoOther() {
        ServerPool pool = new ServerPool(1, "a");
        List<Server> servers = fill(pool, 2);
        servers.get(0).backOff(10);
        for (int i = 0; i < 50; i++) {
            assertThat(pool.choose(profile("c", PromptPrefix.NONE), IN_FLIGHT_LIMIT, List.of(), 11), is(servers.get(1)));
        }
        servers.get(1).backOff(10);
        assertThat(pool.choose(profile("c", PromptPrefix.NONE), IN_FLIGHT_LIMIT, List.of(), 11), is(not(nullValue())));
    }

    @Test
    void thePrefixEndsWithTheLongestSharedPart() {
        PromptPrefix a = PromptPrefix.parse("5c1e07a2:13000,91bd3f06:41,e4402b7d:25");
        PromptPrefix b = PromptPrefix.parse("5c1e07a2:13000,77777777:30,e4402b7e:25");
        assertThat(a.hash(), is(b.hash()));
        assertThat(PromptPrefix.parse("5c1e07a2:55,e4402b7d:2500"), is(new PromptPrefix(0, 0, 2_555)));
        assertThat(PromptPrefix.parse("garbage"), is(PromptPrefix.NONE));
    }

    /** Guards requests between a server's removal and the update that follows: the ring still contains the server. */
    @Test
    void aRemovedServerGetsNoRequests() {
        ServerPool pool = new ServerPool(1, "a");
        List<Server> servers = fill(pool, 3);
        pool.recordOutcome(profile("c", PromptPrefix.NONE), servers.get(0), 50, true);
        servers.get(0).listed(false);
        pool.remove(servers.get(0));
        for (int prefix = 1; prefix < 100; prefix++) {
            assertThat(pool.choose(profile("c", new PromptPrefix(prefix, 9_000, 9_000)),
                    IN_FLIGHT_LIMIT, List.of(), 1), not(servers.get(0)));
        }
        pool.applyMembership();
        for (int prefix = 1; prefix < 100; prefix++) {
            assertThat(pool.choose(profile("c", new PromptPrefix(prefix, 9_000, 9_000)),
                    IN_FLIGHT_LIMIT, List.of(), 1), not(servers.get(0)));
        }
    }

    /** Guards long-running nodes: classes change with configurations, and the number of networks is limited. */
    @Test
    void aNewClassHasItsOwnNetworkOnceOldClassesAreRemoved() {
        ServerPool pool = new ServerPool(1, "a");
        List<Server> servers = fill(pool, 2);
        for (int i = 0; i < 100; i++) {
            pool.recordOutcome(profile("old-" + i, PromptPrefix.NONE), servers.get(0), 50, true);
        }
        pool.retainClasses(Set.of("new", "other"));
        for (int i = 0; i < 200; i++) {
            pool.recordOutcome(profile("new", PromptPrefix.NONE), servers.get(0), 500, true);
            pool.recordOutcome(profile("new", PromptPrefix.NONE), servers.get(1), 50, true);
            pool.recordOutcome(profile("other", PromptPrefix.NONE), servers.get(0), 50, true);
            pool.recordOutcome(profile("other", PromptPrefix.NONE), servers.get(1), 500, true);
        }
        Map<Server, Integer> chosen = new HashMap<>();
        for (int i = 0; i < 100; i++) {
            chosen.merge(pool.choose(profile("new", PromptPrefix.NONE), IN_FLIGHT_LIMIT, List.of(), 1), 1, Integer::sum);
        }
        assertThat(chosen.getOrDefault(servers.get(1), 0), is(greaterThan(chosen.getOrDefault(servers.get(0), 0))));
        chosen.clear();
        for (int i = 0; i < 100; i++) {
            chosen.merge(pool.choose(profile("other", PromptPrefix.NONE), IN_FLIGHT_LIMIT, List.of(), 1), 1, Integer::sum);
        }
        assertThat(chosen.getOrDefault(servers.get(0), 0), is(greaterThan(chosen.getOrDefault(servers.get(1), 0))));
    }

    /**
     * Guards against overloading a cold server: a server that returns cold looks idle to all nodes at the same time, on
     * every path of the choice.
     */
    @Test
    void nodesTogetherDoNotOverloadAColdServer() {
        int nodes = 84;
        int maxPerSecond = 38;
        double probability = WarmupRate.permitProbability(WarmupRate.maxRate(maxPerSecond), nodes);
        List<ServerPool> pools = new ArrayList<>();
        List<List<Server>> known = new ArrayList<>();
        for (int node = 0; node < nodes; node++) {
            ServerPool pool = new ServerPool(node, "a");
            pool.coldAdmission().permitProbability(probability);
            known.add(fill(pool, 40));
            known.get(node).get(0).warmupState().heartbeatReported(2, 10_000, true, 0);
            pools.add(pool);
        }
        SplittableRandom random = new SplittableRandom(3);
        List<Long> arrivals = new ArrayList<>();
        for (int i = 0; i < 8_000; i++) {
            long now = i;
            int node = random.nextInt(nodes);
            boolean longPrompt = random.nextInt(6) == 0;
            PromptPrefix prefix = longPrompt ? new PromptPrefix(random.nextInt(200) + 1, 9_000, 9_000) : PromptPrefix.NONE;
            List<Server> tried = random.nextInt(10) == 0 ? known.get(node).subList(1, 38) : List.of();
            Server server = pools.get(node).choose(profile("c", prefix), IN_FLIGHT_LIMIT, tried, now);
            if (server != null) {
                pools.get(node).coldAdmission().acquirePermit(server, now);
            }
            if (server == known.get(node).get(0)) {
                arrivals.add(now);
            }
        }
        for (long from : arrivals) {
            long inSecond = arrivals.stream().filter(at -> at >= from && at < from + 1_000).count();
            assertThat(inSecond, is(lessThanOrEqualTo((long) maxPerSecond)));
        }
        assertThat("it gets at least half of the permitted rate", arrivals.size(), is(greaterThan(8 * 6)));
    }

    /** Guards the immediate refusal: if all servers are cold, requests without a permit are refused, not sent. */
    @Test
    void onlyPermitsAreUsedWhenAllServersAreCold() {
        ServerPool pool = new ServerPool(1, "a");
        fill(pool, 3).forEach(server -> server.warmupState().heartbeatReported(2, 10_000, true, 0));
        pool.coldAdmission().permitProbability(0);
        assertThat(pool.choose(profile("c", PromptPrefix.NONE), IN_FLIGHT_LIMIT, List.of(), 10), is(nullValue()));
        assertThat(pool.choose(profile("c", new PromptPrefix(7, 9_000, 9_000)), IN_FLIGHT_LIMIT, List.of(), 10),
                is(nullValue()));
        pool.coldAdmission().permitProbability(1);
        for (int i = 0; i < 3; i++) {
            Server server = pool.choose(profile("c", PromptPrefix.NONE), IN_FLIGHT_LIMIT, List.of(), 110);
            assertThat(server, is(not(nullValue())));
            pool.coldAdmission().acquirePermit(server, 110);
        }
        assertThat("each permit once", pool.choose(profile("c", PromptPrefix.NONE), IN_FLIGHT_LIMIT, List.of(), 110),
                is(nullValue()));
    }
}
