package rowanplank.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import rowanplank.balancer.BalancerApi.DedupGroup;
import rowanplank.balancer.BalancerApi.Effect;
import rowanplank.balancer.BalancerApi.Lifecycle;
import rowanplank.balancer.BalancerApi.Limits;
import rowanplank.balancer.BalancerApi.ListKind;
import rowanplank.balancer.BalancerApi.Outcome;
import rowanplank.balancer.BalancerApi.Request;
import rowanplank.balancer.BalancerApi.Server;
import rowanplank.balancer.BalancerApi.Settings;
import rowanplank.balancer.BalancerApi.Tenant;

/** Tests of {@link Balancer} by hand-made sequences of events; {@link Harness} checks the general rules meanwhile. */
class BalancerTest {
    private static final int CLASS = 0;

    private static Harness with(BalancerApi.RequestClass type, int servers) {
        return new Harness(Harness.settings(type)).servers(servers);
    }

    private static Settings settings(List<Tenant> tenants, boolean requestList, boolean keyAffinity) {
        Settings s = Harness.settings(Harness.SAFE);
        return new Settings(s.nodes(), s.node(), s.zone(), s.classes(), tenants, s.overQuotaWorth(), s.limits(),
                s.rules(), requestList, keyAffinity, false, 0);
    }

    @Test
    void aRequestPastItsDeadlineIsRejectedAtOnce() {
        Harness h = with(Harness.SAFE, 4);
        h.request(1, CLASS, h.now);
        assertEquals(List.of(1L), h.rejected);
        assertTrue(h.lastRetryAfter > 0, "the rejection must say when to retry");
        assertTrue(h.lastRetryAfter <= Harness.SAFE.targetMs() / 4,
                "a retry must be possible within the target latency");
        assertTrue(h.sent.isEmpty());
    }

    @Test
    void anAttemptThatNeverRanGoesToAnotherServer() {
        Harness h = with(Harness.UNSAFE, 4);
        h.request(1, CLASS);
        h.outcome(h.last(), Outcome.CONNECT_FAILED);
        assertEquals(2, h.attemptedServers(1).size());
        h.outcome(h.last(), Outcome.OK);
        assertTrue(h.failed.isEmpty() && h.rejected.isEmpty());
    }

    @Test
    void anUnsafeRequestThatMayHaveRunIsFailedAtOnce() {
        Harness h = with(Harness.UNSAFE, 4);
        h.request(1, CLASS);
        h.outcome(h.last(), Outcome.ERROR);
        assertEquals(List.of(1L), h.failed);
        assertEquals(1, h.attempts(1));
    }

    @Test
    void aSafeRequestThatFailedIsRetried() {
        Harness h = with(Harness.SAFE, 4);
        h.request(1, CLASS);
        h.outcome(h.last(), Outcome.ERROR);
        assertEquals(2, h.attemptedServers(1).size());
    }

    @Test
    void retriesOfRequestsThatMayHaveRunAreLimitedByTheRetryBudget() {
        Harness h = with(Harness.SAFE, 10);
        for (long id = 1; id <= 300; id++) {
            h.request(id, CLASS);
            for (Harness.Sent s : h.pending()) {
                h.outcome(s, Outcome.ERROR);
            }
        }
        h.advance(2000);
        long resends = h.sent.stream().filter(s -> s.attempt() > 0).count();
        assertTrue(resends > 5 && resends <= 10 + 300 * 0.15, resends + " resends");
    }

    /**
     * Where the network resets one connection in ten at every server, each affected request must be retried and none
     * rejected.
     */
    @Test
    void whereOneAttemptInTenIsResetEachIsRetried() {
        Harness h = with(Harness.SAFE, 9);
        for (long id = 1; id <= 1000; id++) {
            h.request(id, CLASS);
            h.outcome(h.last(), id % 10 == 0 ? Outcome.RESET : Outcome.OK);
            h.pending().forEach(s -> h.outcome(s, Outcome.OK));
            h.advance(5);
        }
        assertEquals(List.of(), h.rejected);
    }

    @Test
    void aSlowSafeRequestIsHedgedAndTheSlowerAttemptIsCancelled() {
        Harness h = with(Harness.SAFE, 4);
        h.request(1, CLASS);
        h.advance(450);
        assertEquals(2, h.attemptedServers(1).size());
        h.outcome(h.last(), Outcome.OK);
        assertEquals(List.of("1/0"), h.cancelled);
    }

    @Test
    void withoutServersARequestIsQueuedThenRejectedInTime() {
        Harness h = with(Harness.UNSAFE, 0);
        h.request(1, CLASS);
        assertFalse(h.ended(1));
        h.advance(1200);
        assertEquals(List.of(1L), h.rejected);
    }

    /** A client with little time left must hear that its request was never sent while it can still try elsewhere. */
    @Test
    void aRequestThatWasNeverSentIsRejectedBeforeHalfOfItsDeadline() {
        Harness h = with(Harness.UNSAFE, 0);
        h.request(1, CLASS, h.now + 500);
        h.advance(200);
        assertFalse(h.ended(1));
        h.advance(50);
        assertEquals(List.of(1L), h.rejected);
    }

    @Test
    void aQueuedRequestIsSentWhenAServerAppears() {
        Harness h = with(Harness.UNSAFE, 0);
        h.request(1, CLASS);
        h.list(ListKind.DELTA, List.of(Harness.server(9)));
        assertEquals(9, h.last().server());
    }

    @Test
    void aDrainingServerGetsNothingNew() {
        Harness h = with(Harness.SAFE, 2);
        h.list(ListKind.DELTA, List.of(Harness.server(1, Lifecycle.DRAINING, 0)));
        for (long id = 1; id <= 5; id++) {
            h.request(id, CLASS);
            assertEquals(2, h.last().server());
        }
    }

    @Test
    void aServerMissingFromAFullListGetsNothingNew() {
        Harness h = with(Harness.SAFE, 3);
        h.list(ListKind.FULL, List.of(Harness.server(3)));
        for (long id = 1; id <= 5; id++) {
            h.request(id, CLASS);
            assertEquals(3, h.last().server());
        }
    }

    @Test
    void aFailingServerIsEjectedAndReadmittedAfterProbes() {
        Harness h = with(Harness.SAFE, 4);
        int toFailing = serveAll(h, 1, 400, 1);
        assertTrue(toFailing < 40, toFailing + " of 400 requests went to the failing server");
        h.advance(9000);
        serveAll(h, 1000, 1400, -1);
        assertTrue(h.log.stream().anyMatch(l -> l.contains("readmitted")), h.log.toString());
        assertTrue(h.sent.stream().filter(s -> s.request() > 1200 && s.server() == 1).count() > 20);
    }

    private static void requests(Harness h, long from, long to) {
        for (long id = from; id <= to; id++) {
            h.request(id, CLASS);
        }
    }

    /** Answers requests at once, with errors from one server; returns how many requests that server was sent. */
    private static int serveAll(Harness h, long from, long to, long failing) {
        int count = 0;
        for (long id = from; id <= to; id++) {
            h.request(id, CLASS);
            for (Harness.Sent s : h.pending()) {
                count += s.server() == failing ? 1 : 0;
                h.outcome(s, s.server() == failing ? Outcome.ERROR : Outcome.OK);
            }
            h.advance(10);
        }
        return count;
    }

    /**
     * Where all servers fail occasionally, none may be ejected, since too few would be left; one that always fails
     * must be.
     */
    @Test
    void onlyAServerThatStandsOutIsEjected() {
        Harness h = with(Harness.SAFE, 9);
        Random random = new Random(7);
        for (long id = 1; id <= 3000; id++) {
            h.request(id, CLASS);
            for (Harness.Sent s : h.pending()) {
                h.outcome(s, random.nextInt(8) == 0 ? Outcome.RESET : Outcome.OK);
            }
            h.advance(5);
        }
        long ejections = h.log.stream().filter(l -> l.contains("ejected")).count();
        assertTrue(ejections <= 5, ejections + " ejections");
        serveAll(h, 4000, 4400, 1);
        assertTrue(h.log.stream().anyMatch(l -> l.contains("server 1 ejected")), h.log.toString());
    }

    @Test
    void ejectionIsIgnoredWhenMostServersFail() {
        Harness h = with(Harness.SAFE, 4);
        for (long id = 1; id <= 200; id++) {
            h.request(id, CLASS);
            for (Harness.Sent s : h.pending()) {
                h.outcome(s, Outcome.ERROR);
            }
            h.advance(5);
        }
        int before = h.sent.size();
        h.request(1000, CLASS);
        assertEquals(before + 1, h.sent.size());
    }

    @Test
    void aSilentServerIsEjected() {
        Harness h = with(Harness.UNSAFE, 4);
        h.request(1, CLASS);
        long silent = h.last().server();
        h.advance(850);
        assertTrue(h.log.get(0).contains("silent"));
        for (long id = 2; id <= 20; id++) {
            h.request(id, CLASS);
            assertTrue(h.last().server() != silent);
            h.outcome(h.last(), Outcome.OK);
        }
    }

    @Test
    void aColdServerGetsFewRequestsUntilItIsWarm() {
        Harness h = new Harness(Harness.settings(1, Harness.LIMITS, Harness.SAFE)).servers(2);
        h.list(ListKind.DELTA, List.of(Harness.server(9, Lifecycle.READY, h.now)));
        assertTrue(maxHeldBy(h, 9, 1) <= 1);
        h.advance(Harness.RULES.warmupMs());
        assertTrue(maxHeldBy(h, 9, 100) >= 2);
    }

    @Test
    void aServerThatRestartsUnderItsIdIsCold() {
        Harness h = new Harness(Harness.settings(1, Harness.LIMITS, Harness.SAFE)).servers(2);
        assertTrue(maxHeldBy(h, 1, 1) >= 2);
        h.list(ListKind.DELTA, List.of(Harness.server(1, Lifecycle.READY, h.now)));
        assertTrue(maxHeldBy(h, 1, 100) <= 1);
    }

    /** Sends 21 requests at once, answers them later and returns how many one server held at a time. */
    private static int maxHeldBy(Harness h, long server, long firstId) {
        requests(h, firstId, firstId + 20);
        int max = 0;
        for (int round = 0; round < 10; round++) {
            h.advance(30);
            max = Math.max(max, (int) h.pending().stream().filter(s -> s.server() == server).count());
        }
        h.pending().forEach(s -> h.outcome(s, Outcome.OK));
        h.advance(1200);
        return max;
    }

    @Test
    void nodesThatLearnOfAStartTogetherDoNotAllSendAtOnce() {
        Set<Double> firstSends = new HashSet<>();
        for (long seed = 1; seed <= 5; seed++) {
            Harness h = new Harness(Harness.settings(Harness.SAFE), seed);
            h.list(ListKind.FULL, List.of(Harness.server(9, Lifecycle.READY, h.now)));
            answerAfter(h, 1, 400, 10);
            firstSends.add(h.sent.get(0).at());
        }
        assertEquals(5, firstSends.size());
    }

    @Test
    void hundredsOfNodesDoNotSendTogetherAsAServerWarms() {
        int sends = 0;
        for (long seed = 1; seed <= 300; seed++) {
            Harness h = new Harness(Harness.settings(300, Harness.LIMITS, Harness.SAFE), seed);
            h.list(ListKind.FULL, List.of(Harness.server(9, Lifecycle.READY, h.now)));
            fillFor(h, 3000);
            sends += h.sent.size();
        }
        assertTrue(sends >= 1 && sends <= 20, sends + " sends in three seconds");
    }

    @Test
    void aColdServerThatIsFullIsNotSentToAgainAtOnce() {
        Harness h = new Harness(Harness.settings(Harness.SAFE));
        h.list(ListKind.FULL, List.of(Harness.server(9, Lifecycle.READY, h.now)));
        for (int ms = 0; ms < 5000; ms++) {
            h.request(100 + ms, CLASS);
            h.advance(1);
            h.pending().forEach(s -> h.outcome(s, Outcome.FULL));
        }
        assertTrue(h.sent.size() >= 1 && h.sent.size() <= 4, h.sent.size() + " sends in five seconds");
    }

    @Test
    void fastFirstResponsesDoNotKeepAServersLimitLow() {
        Harness h = with(Harness.SAFE, 1);
        answerAfter(h, 1, 3, 2);
        answerAfter(h, 100, 700, 60);
        int sends = answerAfter(h, 701, 1000, 60);
        assertTrue(sends >= 250, sends + " of 300 sent");
    }

    @Test
    void aLimitThatWasReducedFarRecoversSoon() {
        Harness h = with(Harness.SAFE, 1);
        fillFor(h, 20_000);
        int sends = answerAfter(h, 100_001, 100_060, 60);
        assertTrue(sends >= 30, sends + " of 60 sent");
    }

    @Test
    void theFractionalSlotOfAServerThatTurnsSlowIsNotTakenMoreOfTheTime() {
        Harness h = new Harness(Harness.settings(40, Harness.LIMITS, Harness.SAFE)).servers(1);
        meanInFlight(h, 1, 2000, 20);
        double taken = meanInFlight(h, 100_000, 150, 150);
        assertTrue(taken >= 0.02 && taken <= 0.3, "taken for " + taken + " of the time"); // a fortieth of eight
    }

    /** Sends requests every 10 ms, each answered after this latency; returns the mean number in flight. */
    private static double meanInFlight(Harness h, long firstId, int requests, double latency) {
        double taken = 0;
        for (int i = 0; i < requests; i++) {
            h.request(firstId + i, CLASS);
            h.advance(10);
            h.pending().stream().filter(s -> h.now - s.at() >= latency).forEach(s -> h.outcome(s, Outcome.OK));
            taken += (double) h.pending().size() / requests;
        }
        return taken;
    }

    @Test
    void aLimitDoesNotGrowBeyondItsNodesShare() {
        Harness h = with(Harness.SAFE, 1);
        int max = 0;
        for (long id = 1; id <= 200; id++) {
            requests(h, id * 10, id * 10 + 4);
            max = Math.max(max, h.pending().size());
            h.advance(20);
            h.pending().forEach(s -> h.outcome(s, Outcome.OK));
        }
        assertTrue(max >= 1 && max <= 2, max + " in flight"); // a third of four
    }

    @Test
    void manyNodesTogetherSendLittleToAFullServer() {
        Harness h = new Harness(Harness.settings(20, Harness.LIMITS, Harness.SAFE)).servers(1);
        fillFor(h, 20_000);
        int before = h.sent.size();
        fillFor(h, 60_000);
        int sends = h.sent.size() - before;
        assertTrue(sends >= 1 && sends <= 12, sends + " sends in a minute");
    }

    /** Sends requests every 10 ms, each of which finds the server full. */
    private static void fillFor(Harness h, double ms) {
        for (double end = h.now + ms; h.now < end; h.advance(10)) {
            h.request((long) h.now, CLASS);
            h.pending().forEach(s -> h.outcome(s, Outcome.FULL));
        }
    }

    /** Sends requests one by one, each answered after this time; returns the number of attempts. */
    private static int answerAfter(Harness h, long from, long to, double ms) {
        int before = h.sent.size();
        for (long id = from; id <= to; id++) {
            h.request(id, CLASS);
            h.advance(ms);
            h.pending().forEach(s -> h.outcome(s, Outcome.OK));
        }
        return h.sent.size() - before;
    }

    @Test
    void theFractionalSlotOfALimitIsUsedForItsFractionOfTheTimeOnly() {
        Harness h = new Harness(Harness.settings(7, Harness.LIMITS, Harness.UNSAFE)).servers(1);
        for (long id = 1; id <= 16; id++) {
            h.request(id, CLASS);
            h.advance(50);
        }
        assertEquals(1, h.sent.size()); // a seventh of eight is one and a seventh
    }

    @Test
    void aFleetOfColdServersOnlyStillServes() {
        Harness h = new Harness(Harness.settings(Harness.SAFE));
        h.list(ListKind.FULL,
                List.of(Harness.server(1, Lifecycle.READY, h.now), Harness.server(2, Lifecycle.READY, h.now)));
        h.advance(3200);
        for (long id = 1; id <= 20; id++) {
            h.request(id, CLASS);
            h.outcome(h.last(), Outcome.OK);
            h.advance(200);
        }
        assertEquals(20, h.sent.size());
    }

    @Test
    void whereEveryClassIsUnsafeAnEjectedServerIsStillProbed() {
        Harness h = with(Harness.UNSAFE, 3);
        serveAll(h, 1, 100, 1);
        h.advance(9000);
        serveAll(h, 200, 500, -1);
        assertTrue(h.log.stream().anyMatch(l -> l.contains("readmitted")), h.log.toString());
    }

    @Test
    void aRejectionForLackOfSlotsShedsLowerPriorities() {
        Harness h = with(Harness.SAFE, 1);
        requests(h, 1, 20);
        h.advance(420);
        assertFalse(h.rejected.isEmpty());
        h.outcome(h.pending().get(0), Outcome.OK);
        h.clientRetry(100, CLASS);
        assertTrue(h.rejected.contains(100L));
    }

    @Test
    void inFlightStaysWithinTheLimitWhileResponsesAreSlow() {
        Harness h = with(Harness.UNSAFE, 2);
        requests(h, 1, 20);
        assertTrue(h.pending().size() <= 6, h.pending().size() + " in flight on two servers");
    }

    @Test
    void requestsOverATenantsQuotaWaitBehindTheOthers() {
        Harness h = new Harness(settings(List.of(new Tenant(6)), false, false));
        requests(h, 1, 6); // the node's share is two per second
        h.servers(2);
        assertEquals(Set.of(1L, 2L), Set.of(h.sent.get(0).request(), h.sent.get(1).request()));
    }

    @Test
    void clientRetriesUseUpNoQuota() {
        Harness h = new Harness(settings(List.of(new Tenant(6)), false, false));
        for (long id = 1; id <= 6; id++) {
            h.clientRetry(id, CLASS);
        }
        requests(h, 7, 10);
        h.servers(2);
        assertEquals(Set.of(7L, 8L), Set.of(h.sent.get(0).request(), h.sent.get(1).request()));
    }

    @Test
    void aServerOfTheOwnZoneIsPreferredSlightly() {
        for (long seed = 1; seed <= 10; seed++) {
            Harness h = new Harness(Harness.settings(Harness.SAFE), seed);
            h.list(ListKind.FULL, List.of(Harness.server(3), Harness.server(4))); // zones 0, the node's own, and 1
            h.request(1, CLASS);
            h.request(2, CLASS);
            assertEquals(List.of(3L, 4L), h.sent.stream().map(Harness.Sent::server).toList());
        }
    }

    private static Harness withCrossZoneCost(int nodes) {
        Settings s = Harness.settings(nodes, Harness.LIMITS, Harness.SAFE);
        return new Harness(new Settings(nodes, 0, 0, s.classes(), List.of(), 0.1, s.limits(), s.rules(), false, false,
                false, 0.08));
    }

    /** While servers of the own zone have free slots, no request may cross zones. */
    @Test
    void whereCrossingZonesHasACostRequestsStayWhileTheirZoneHasSlots() {
        Harness h = withCrossZoneCost(3).servers(9); // three in each of the zones 0, the node's own, 1 and 2
        for (long id = 1; id <= 200; id++) {
            h.request(id, CLASS);
            h.advance(20);
            h.pending().forEach(s -> h.outcome(s, Outcome.OK));
        }
        assertTrue(h.sent.stream().allMatch(s -> s.server() % 3 == 0));
    }

    /** A request must cross zones at once if its own zone has no free slot and another one has. */
    @Test
    void aRequestThatFindsNoSlotInItsZoneCrossesAtOnce() {
        Harness h = withCrossZoneCost(3).servers(9);
        requests(h, 1, 12);
        long own = h.sent.stream().filter(s -> s.server() % 3 == 0).count();
        assertEquals(12, h.sent.size());
        assertEquals(6, own, "1.5 even shares of 4/3 slots each, at three servers");
    }

    /**
     * While requests are rejected, no zone may keep slots for its own requests: another zone's may have no other
     * place to go.
     */
    @Test
    void whileRequestsAreRejectedZoneSharesAreEven() {
        Harness h = withCrossZoneCost(3).servers(9);
        answerAfter(h, 201, 220, 150);
        requests(h, 1, 40);
        h.advance(120);
        assertFalse(h.rejected.isEmpty());
        h.pending().forEach(s -> h.outcome(s, Outcome.OK));
        requests(h, 101, 140);
        assertEquals(9, h.pending().size(), "a third of three slots at every server");
        assertEquals(9, h.pending().stream().map(Harness.Sent::server).distinct().count());
    }

    @Test
    void aSingleNodeHasAllSlotsOfEveryZone() {
        Harness h = withCrossZoneCost(1).servers(9);
        requests(h, 1, 40);
        assertEquals(36, h.pending().size());
    }

    @Test
    void aKeyHasTheSameServerAtEveryNode() {
        Settings warm = settings(List.of(), false, true);
        Harness one = new Harness(warm, 1).servers(6);
        Harness other = new Harness(warm, 2).servers(6);
        Set<Long> keyServers = new HashSet<>();
        for (long id = 1; id <= 50; id++) {
            keyServers.add(serverOfKey(one, id));
            assertEquals(one.last().server(), serverOfKey(other, id));
        }
        assertTrue(keyServers.size() >= 4, keyServers.toString());
    }

    @Test
    void aBetterServerGetsMoreKeys() {
        Harness h = new Harness(settings(List.of(), false, true)).servers(3);
        for (long id = 1; id <= 200; id++) {
            h.request(id, CLASS);
            h.advance(h.last().server() == 3 ? 30 : 20);
            h.outcome(h.last(), Outcome.OK);
        }
        long slow = LongStream.rangeClosed(1000, 1300).filter(key -> serverOfKey(h, key) == 3).count();
        assertTrue(slow > 0 && slow < 70, slow + " of 300 keys at home at the slow one of three");
    }

    private static long serverOfKey(Harness h, long key) {
        h.keyedRequest(key, key);
        h.outcome(h.last(), Outcome.OK);
        return h.last().server();
    }

    @Test
    void theReadmeExampleServesARequest() {
        assertEquals("send 1 to 7", EmbeddingExample.run().get(1));
    }

    @Test
    void aRequestOfAnUnknownClassIsNotAccepted() {
        Harness h = with(Harness.SAFE, 2);
        Request stray = new Request(5, 3, 0, 0, h.now + 1000, 0, false);
        assertThrows(IndexOutOfBoundsException.class, () -> h.balancer.onRequest(h.now, stray));
        assertTrue(h.sent.isEmpty());
    }

    @Test
    void aKeyedRequestIsNotRetriedAfterItsDeduplicationWindow() {
        var type = new BalancerApi.RequestClass(400, 6000, 2, 0.2, Effect.BY_KEY, DedupGroup.ALL, 500, false);
        Harness h = new Harness(Harness.settings(3, new Limits(3, true, false, 1000), type)).servers(4);
        h.request(1, CLASS);
        h.advance(600);
        h.outcome(h.last(), Outcome.RESET);
        h.advance(5500);
        assertEquals(1, h.attempts(1));
        assertEquals(List.of(1L), h.rejected);
    }

    @Test
    void aRestartClearsTheRecordOfTheOldProcess() {
        Harness h = new Harness(Harness.settings(1, Harness.LIMITS, Harness.SAFE)).servers(2);
        h.now = 100_000;
        serveAll(h, 1, 60, 1);
        h.list(ListKind.DELTA, List.of(Harness.server(1, Lifecycle.READY, h.now - 30_000)));
        int before = h.sent.size();
        requests(h, 100, 103);
        assertEquals(2, h.sent.stream().skip(before).filter(s -> s.server() == 1).count());
    }

    @Test
    void aResponseIsGivenInTimeEvenIfNoTimeoutIsReported() {
        Harness h = with(Harness.UNSAFE, 2);
        h.timeoutsEnabled = false;
        h.request(1, CLASS);
        h.advance(1215);
        assertEquals(List.of(1L), h.failed);
    }

    @Test
    void aBacklogOfLateResponsesReducesTheLimitOnce() {
        Harness h = new Harness(Harness.settings(1, Harness.LIMITS, Harness.UNSAFE)).servers(1);
        requests(h, 1, 4);
        assertEquals(4, h.pending().size());
        h.advance(700);
        h.pending().forEach(s -> h.outcome(s, Outcome.OK));
        requests(h, 11, 18);
        assertEquals(3, h.pending().size());
    }

    @Test
    void lateCancellationsShowThatAServerIsSlow() {
        Harness h = new Harness(Harness.settings(1, Harness.LIMITS, Harness.UNSAFE)).servers(1);
        h.timeoutsEnabled = false;
        for (long id = 1; id <= 10; id++) {
            h.request(id, CLASS);
            h.advance(Harness.UNSAFE.deadlineMs());
            h.pending().forEach(s -> h.outcome(s, Outcome.CANCELLED));
        }
        assertTrue(h.cancelled.size() >= 8);
        requests(h, 201, 205);
        assertTrue(h.pending().size() <= 1, h.pending().size() + " in flight");
    }

    @Test
    void withManyServersAndNodesEachNodeUsesFewServersAndEachServerHasItsNodes() {
        int nodes = 200;
        int[] nodesOf = new int[101];
        for (int node = 0; node < nodes; node++) {
            Settings s = Harness.settings(nodes, Harness.LIMITS, Harness.SAFE);
            Harness h = new Harness(new Settings(nodes, node, 0, s.classes(), List.of(), 0.1, s.limits(), s.rules(),
                    false, false, false, 0)).servers(100);
            for (long id = 1; id <= 300; id++) {
                h.request(id, CLASS);
                h.advance(50);
                h.pending().forEach(a -> h.outcome(a, Outcome.OK));
            }
            Set<Long> used = new HashSet<>();
            h.sent.forEach(a -> used.add(a.server()));
            used.forEach(id -> nodesOf[id.intValue()]++);
            assertTrue(used.size() >= 2 && used.size() <= 25, used.size() + " servers used");
        }
        for (int server = 1; server <= 100; server++) {
            assertTrue(nodesOf[server] >= 12 && nodesOf[server] <= 28, nodesOf[server] + " nodes use a server");
        }
    }

    @Test
    void fewNodesUseEveryServer() {
        Harness h = new Harness(Harness.settings(3, Harness.LIMITS, Harness.SAFE)).servers(60);
        for (long id = 1; id <= 600; id++) {
            h.request(id, CLASS);
            h.advance(20);
            h.pending().forEach(a -> h.outcome(a, Outcome.OK));
        }
        assertEquals(60, h.sent.stream().map(Harness.Sent::server).distinct().count());
    }

    /** While a client is still sending its body, silence of the server is normal and must not eject it. */
    @Test
    void aServerIsNotSilentWhileABodyIsTransferred() {
        Harness h = new Harness(Harness.settings(1, Harness.LIMITS, Harness.UNSAFE)).servers(1);
        h.request(1, CLASS, h.now + 60_000);
        h.balancer.onStreamStarted(h.now, 1, 0);
        h.advance(5000);
        assertEquals(List.of(), h.log);
        assertFalse(h.ended(1));
    }

    /**
     * Once the attempt with the streamed body has failed, the request must wait for a server no longer than others
     * may.
     */
    @Test
    void aRequestWhoseStreamFailedIsAnsweredInTime() {
        Harness h = new Harness(Harness.settings(1, Harness.LIMITS, Harness.UNSAFE)).servers(1);
        h.request(1, CLASS, h.now + 60_000);
        h.balancer.onStreamStarted(h.now, 1, 0);
        h.outcome(h.last(), Outcome.CONNECT_FAILED);
        h.advance(2000);
        assertEquals(List.of(1L), h.rejected);
    }

    @Test
    void whileRequestsAreRejectedAServersLimitIsLower() {
        Harness h = new Harness(Harness.settings(1, Harness.LIMITS, Harness.SAFE)).servers(1);
        answerAfter(h, 201, 220, 150);
        requests(h, 1, 20);
        assertEquals(4, h.pending().size());
        h.advance(120);
        assertEquals(16, h.rejected.size());
        h.pending().forEach(s -> h.outcome(s, Outcome.OK));
        requests(h, 101, 120);
        assertEquals(3, h.pending().size());
    }

    @Test
    void whenOtherZonesAreCutOffTheirNodesSharesAreUsed() {
        Harness h = with(Harness.SAFE, 6); // zones 1, 2, 0, 1, 2, 0; the node is in zone 0
        for (long id = 1; id <= 300; id++) {
            h.request(id, CLASS);
            h.advance(50);
            while (!h.pending().isEmpty()) {
                h.outcome(h.last(), h.last().server() % 3 == 0 ? Outcome.OK : Outcome.CONNECT_FAILED);
            }
        }
        requests(h, 1001, 1040);
        long own = h.pending().stream().filter(s -> s.server() % 3 == 0).count();
        assertTrue(own >= 6 && own <= 8, own + " in flight at the two servers of the own zone");
    }

    @Test
    void unknownAndRepeatedEventsChangeNothing() {
        Harness h = with(Harness.SAFE, 2);
        h.request(1, CLASS);
        Harness.Sent s = h.last();
        h.outcome(s, Outcome.OK);
        h.balancer.onOutcome(h.now, 1, 0, Outcome.ERROR, 5, true);
        h.balancer.onOutcome(h.now, 99, 0, Outcome.OK, 5, true);
        h.balancer.onClientLeft(h.now, 99);
        h.balancer.onStreamStarted(h.now, 99, 0);
        h.balancer.onTimer(h.now, 77);
        assertEquals(1, h.sent.size());
        assertTrue(h.rejected.isEmpty() && h.failed.isEmpty());
    }

    @Test
    void aServerListOnRequestIsRequestedAgainAfterAFailure() {
        Harness h = new Harness(settings(List.of(), true, false));
        assertEquals(1, h.watchCalls);
        h.list(ListKind.FAILED, List.of());
        h.advance(2600);
        assertEquals(2, h.watchCalls);
    }

    @Test
    void settingsOutOfRangeAreNamed() {
        var e = assertThrows(IllegalArgumentException.class, () -> new Limits(0, true, true, 0));
        assertTrue(e.getMessage().contains("most_tries"));
        Settings s = Harness.settings(Harness.SAFE);
        e = assertThrows(IllegalArgumentException.class, () -> new Settings(0, 0, 0, s.classes(), List.of(), 0.1,
                s.limits(), s.rules(), false, false, false, 0));
        assertTrue(e.getMessage().contains("balancers"));
        e = assertThrows(IllegalArgumentException.class, () -> new Settings(1, 0, 0, List.of(), List.of(), 0.1,
                s.limits(), s.rules(), false, false, false, 0));
        assertTrue(e.getMessage().contains("classes"));
        e = assertThrows(IllegalArgumentException.class, () -> new Settings(1, 0, 0, s.classes(), List.of(), 0.1,
                s.limits(), s.rules(), false, false, false, -0.01));
        assertTrue(e.getMessage().contains("deductions.cross_zone"));
    }

    /**
     * An attempt on a silent connection must be cancelled while its request can still be served in time elsewhere.
     */
    @Test
    void anAttemptThatTakesFarLongerThanOthersIsRetriedAtAnotherServer() {
        Harness h = with(Harness.SAFE, 3);
        for (long id = 1; id <= 50; id++) {
            h.request(id, CLASS);
            h.advance(2);
            h.pending().forEach(s -> h.outcome(s, Outcome.OK));
        }
        h.request(200, CLASS);
        Harness.Sent stuck = h.last();
        h.advance(Harness.SAFE.targetMs() * 0.6);
        assertEquals(1, h.cancelled.size());
        h.outcome(stuck, Outcome.CANCELLED);
        assertEquals(200, h.last().request());
        assertTrue(h.last().server() != stuck.server());
    }

    /** Where stuck attempts take all slots, they must be cancelled so that a queued request gets one. */
    @Test
    void aStuckAttemptFreesItsSlotForAQueuedRequest() {
        Harness h = new Harness(Harness.settings(1, Harness.LIMITS, Harness.SAFE)).servers(1);
        for (long id = 1; id <= 50; id++) {
            h.request(id, CLASS);
            h.advance(2);
            h.pending().forEach(s -> h.outcome(s, Outcome.OK));
        }
        requests(h, 201, 204);
        List<Harness.Sent> stuck = h.pending();
        h.advance(Harness.SAFE.targetMs() * 0.4);
        h.request(205, CLASS);
        assertEquals(0, h.attempts(205), "no free slot");
        h.advance(Harness.SAFE.targetMs() * 0.2);
        assertEquals(List.of("201/0", "202/0", "203/0", "204/0"), h.cancelled);
        h.outcome(stuck.get(0), Outcome.CANCELLED);
        assertEquals(1, h.attempts(205));
    }
}
