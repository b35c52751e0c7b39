package routerfleet.data;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import routerfleet.config.TenantConfig;
import routerfleet.data.QuotaSimulation.Fault;
import routerfleet.wire.PeerMessage;
import routerfleet.wire.QuotaDivision;

/** Tests tenants' limits over all nodes, with the control nodes' real grantors, in virtual time. */
class QuotaClientTest {
    private static final double RATE = QuotaSimulation.RATE;
    /** The maximum allowed in a window: (rate * window + burst) * (1 + overshoot) + slack. */
    private static final double MAX_IN_WINDOW = (RATE * 8 + RATE) * 1.1 + 40_000;
    private static final long SIMULATED_MS = 40_000;
    private static final int SEEDS = 12;
    private static final double SMALL_COST = 150;
    private static final double LARGE_COST = 3_600;
    private static final double FAIR_LEVEL = 80;

    @ParameterizedTest
    @EnumSource(value = Fault.class, names = "GRANTS_EVERYTHING", mode = EnumSource.Mode.EXCLUDE)
    void noWindowExceedsTheLimitUnderAnyControlNodeFault(Fault fault) {
        for (long seed = 0; seed < SEEDS; seed++) {
            for (int controls = 1; controls <= 5; controls += 2) {
                assertThat(new QuotaSimulation(seed, controls, 6, fault).simulate(SIMULATED_MS, 8 * RATE, SMALL_COST, 0.5)
                        .maxInWindow(), is(lessThanOrEqualTo(MAX_IN_WINDOW)));
                assertThat(new QuotaSimulation(seed, controls, 60, fault).simulate(SIMULATED_MS, 3 * RATE, LARGE_COST, 0)
                        .maxInWindow(), is(lessThanOrEqualTo(MAX_IN_WINDOW)));
            }
        }
    }

    @Test
    void theCheckDetectsControlNodesThatGrantEverything() {
        assertThat(new QuotaSimulation(1, 3, 6, Fault.GRANTS_EVERYTHING).simulate(SIMULATED_MS, 3 * RATE, SMALL_COST, 0)
                .maxInWindow(), is(greaterThan(MAX_IN_WINDOW)));
    }

    @Test
    void demandBelowTheLimitIsAdmittedHoweverItIsDistributed() {
        for (long seed = 0; seed < SEEDS; seed++) {
            assertThat(new QuotaSimulation(seed, 3, 6, Fault.NONE).simulate(SIMULATED_MS, 0.75 * RATE, SMALL_COST, 0.2)
                    .admittedShare(), is(greaterThan(0.99)));
            assertThat(new QuotaSimulation(seed, 3, 6, Fault.NONE).simulate(SIMULATED_MS, 0.75 * RATE, SMALL_COST, 0.8)
                    .admittedShare(), is(greaterThan(0.99)));
        }
    }

    private static double meanAdmittedShareOfLargeRequests(int controls) {
        double sum = 0;
        for (long seed = 0; seed < SEEDS; seed++) {
            sum += new QuotaSimulation(seed, controls, 60, Fault.NONE).simulate(SIMULATED_MS, 0.75 * RATE, LARGE_COST, 0)
                    .admittedShare();
        }
        return sum / SEEDS;
    }

    @Test
    void largeRequestsBelowTheLimitAreAdmittedHoweverManyNodesThereAre() {
        double undivided = meanAdmittedShareOfLargeRequests(1);
        double divided = meanAdmittedShareOfLargeRequests(5);
        assertThat(divided, is(greaterThan(0.95)));
        assertThat("the division costs little", undivided - divided, is(lessThan(0.04)));
    }

    @Test
    void oneUnresponsiveControlNodeCostsNoMoreThanItsShare() {
        for (long seed = 0; seed < SEEDS; seed++) {
            assertThat(new QuotaSimulation(seed, 3, 6, Fault.SILENCE).simulate(SIMULATED_MS, 0.6 * RATE, SMALL_COST, 0.2)
                    .admittedShare(), is(greaterThan(0.97)));
        }
    }

    @Test
    void onlyTheReservesAreUsedWhenAllControlNodesAreUnresponsive() {
        QuotaSimulation.Result result = new QuotaSimulation(1, 3, 6, Fault.ALL_SILENT)
                .simulate(SIMULATED_MS, RATE, SMALL_COST, 0);
        double slack = 40_000 + 0.1 * 9 * RATE;
        assertThat(result.maxInWindow(), is(lessThanOrEqualTo(0.35 * slack)));
        assertThat(result.admittedShare(), is(greaterThan(0.05)));
        assertThat(result.admittedShare(), is(lessThan(0.35 * slack / 8 / RATE + 0.01)));
    }

    /** Records messages and scheduled tasks; the test answers and runs them. */
    private static final class RecordingTransport implements QuotaClient.Transport {
        private final List<PeerMessage.QuotaAsk> sent = new ArrayList<>();
        private final List<Runnable> scheduled = new ArrayList<>();
        private long nowMs = 1_000;

        @Override
        public List<String> controlNodes() {
            return List.of("a", "b");
        }

        @Override
        public boolean send(String controlNode, PeerMessage message) {
            sent.add((PeerMessage.QuotaAsk) message);
            return true;
        }

        @Override
        public long nowMs() {
            return nowMs;
        }

        @Override
        public void schedule(Runnable task, long delayMs) {
            scheduled.add(task);
        }
    }

    @Test
    void aGrantToAnAbandonedRequestIsReusedUntilItExpires() {
        RecordingTransport transport = new RecordingTransport();
        QuotaClient client = new QuotaClient(QuotaSimulation.BOUNDS, QuotaSimulation.fleetSizeOf(1), transport);
        client.configure(List.of(QuotaSimulation.TENANT));
        client.admit(QuotaSimulation.TENANT, 100, admission -> false);
        client.answered(PeerMessage.QuotaAnswer.granted(transport.sent.get(0).id()));
        List<QuotaClient.Outcome> outcomes = new ArrayList<>();
        client.admit(QuotaSimulation.TENANT, 90, admission -> outcomes.add(admission.outcome()));
        assertThat(outcomes, is(List.of(QuotaClient.Outcome.ADMITTED)));
        transport.nowMs += 1_000;
        client.admit(QuotaSimulation.TENANT, 5, admission -> outcomes.add(admission.outcome()));
        assertThat("an unused grant expires", transport.sent.size(), is(2));
    }

    private static void denyTwice(QuotaClient client, RecordingTransport transport, double available) {
        int sent = transport.sent.size();
        client.answered(PeerMessage.QuotaAnswer.denied(transport.sent.get(sent - 1).id(), 700, available, FAIR_LEVEL));
        client.answered(PeerMessage.QuotaAnswer.denied(transport.sent.get(sent).id(), 300, available, FAIR_LEVEL));
    }

    @Test
    void aDenialIsFinalOnlyAfterEveryHolderHasDenied() {
        RecordingTransport transport = new RecordingTransport();
        QuotaClient client = new QuotaClient(QuotaSimulation.BOUNDS, QuotaSimulation.fleetSizeOf(1), transport);
        client.configure(List.of(QuotaSimulation.TENANT));
        List<QuotaClient.Admission> admissions = new ArrayList<>();
        client.admit(QuotaSimulation.TENANT, 4_100, admissions::add);
        client.answered(PeerMessage.QuotaAnswer.denied(transport.sent.get(0).id(), 700, 50, FAIR_LEVEL));
        assertThat(admissions.size(), is(0));
        client.answered(PeerMessage.QuotaAnswer.denied(transport.sent.get(1).id(), 300, 50, FAIR_LEVEL));
        assertThat(admissions, is(List.of(new QuotaClient.Admission(QuotaClient.Outcome.DENIED, 300))));
        client.admit(QuotaSimulation.TENANT, 4_100, admissions::add);
        assertThat("denied again without a quota request", transport.sent.size(), is(2));
        client.admit(QuotaSimulation.TENANT, 50, admissions::add);
        assertThat("a smaller amount is requested", transport.sent.size(), is(3));
    }

    @Test
    void belowTheFairLevelRequestsOfEverySizeAreDenied() {
        RecordingTransport transport = new RecordingTransport();
        QuotaClient client = new QuotaClient(QuotaSimulation.BOUNDS, QuotaSimulation.fleetSizeOf(1), transport);
        client.configure(List.of(QuotaSimulation.TENANT));
        List<QuotaClient.Admission> admissions = new ArrayList<>();
        client.admit(QuotaSimulation.TENANT, 10, admissions::add);
        denyTwice(client, transport, 30);
        assertThat("20 of 80 are missing, at 10,000 a second", admissions,
                is(List.of(new QuotaClient.Admission(QuotaClient.Outcome.DENIED, 2))));
        client.admit(QuotaSimulation.TENANT, 5, admissions::add);
        assertThat("denied without a quota request", transport.sent.size(), is(2));
    }

    @Test
    void requestsOfAllSizesAreServedFairlyAboveTheLimit() {
        double small = 0;
        double large = 0;
        for (long seed = 0; seed < SEEDS; seed++) {
            QuotaSimulation.MixedResult mixed = new QuotaSimulation(seed, 3, 6, Fault.NONE)
                    .simulateMixed(SIMULATED_MS, 4 * RATE, 400, LARGE_COST);
            small += mixed.smallAdmittedShare() / SEEDS;
            large += mixed.largeAdmittedShare() / SEEDS;
        }
        assertThat(small, is(lessThan(0.5)));
        assertThat(large, is(greaterThan(0.5 * small)));
        assertThat(small, is(greaterThan(0.5 * large)));
    }

    @Test
    void aRequestIsCombinedFromSeveralHolders() {
        RecordingTransport transport = new RecordingTransport();
        QuotaClient client = new QuotaClient(QuotaSimulation.BOUNDS, QuotaSimulation.fleetSizeOf(1), transport);
        client.configure(List.of(QuotaSimulation.TENANT));
        List<QuotaClient.Outcome> outcomes = new ArrayList<>();
        client.admit(QuotaSimulation.TENANT, 100, admission -> outcomes.add(admission.outcome()));
        client.answered(PeerMessage.QuotaAnswer.denied(transport.sent.get(0).id(), 100, 60, FAIR_LEVEL));
        client.answered(PeerMessage.QuotaAnswer.denied(transport.sent.get(1).id(), 100, 70, FAIR_LEVEL));
        assertThat(transport.sent.get(2).amount(), is(60.0));
        client.answered(PeerMessage.QuotaAnswer.granted(transport.sent.get(2).id()));
        assertThat(transport.sent.get(3).amount(), is(40.0));
        assertThat(outcomes.size(), is(0));
        client.answered(PeerMessage.QuotaAnswer.granted(transport.sent.get(3).id()));
        assertThat(outcomes, is(List.of(QuotaClient.Outcome.ADMITTED)));
    }

    @Test
    void aHolderThatDoesNotAnswerIsSkipped() {
        RecordingTransport transport = new RecordingTransport();
        QuotaClient client = new QuotaClient(QuotaSimulation.BOUNDS, QuotaSimulation.fleetSizeOf(1), transport);
        client.configure(List.of(QuotaSimulation.TENANT));
        List<QuotaClient.Outcome> outcomes = new ArrayList<>();
        client.admit(QuotaSimulation.TENANT, 100, admission -> outcomes.add(admission.outcome()));
        transport.scheduled.get(0).run();
        assertThat(transport.sent.size(), is(2));
        client.answered(PeerMessage.QuotaAnswer.granted(transport.sent.get(1).id()));
        assertThat(outcomes, is(List.of(QuotaClient.Outcome.ADMITTED)));
    }

    /** Guards requests while control nodes are slow: a grant that arrives after its timeout still admits the request. */
    @Test
    void aLateGrantAdmitsTheWaitingRequest() {
        RecordingTransport transport = new RecordingTransport();
        QuotaClient client = new QuotaClient(QuotaSimulation.BOUNDS, QuotaSimulation.fleetSizeOf(1), transport);
        client.configure(List.of(QuotaSimulation.TENANT));
        List<QuotaClient.Outcome> outcomes = new ArrayList<>();
        client.admit(QuotaSimulation.TENANT, 100, admission -> outcomes.add(admission.outcome()));
        transport.scheduled.get(0).run();
        client.answered(PeerMessage.QuotaAnswer.granted(transport.sent.get(0).id()));
        assertThat(outcomes, is(List.of(QuotaClient.Outcome.ADMITTED)));
        client.answered(PeerMessage.QuotaAnswer.granted(transport.sent.get(1).id()));
        assertThat("once", outcomes.size(), is(1));
        client.admit(QuotaSimulation.TENANT, 100, admission -> outcomes.add(admission.outcome()));
        assertThat("the second grant is kept for the next request", transport.sent.size(), is(2));
        assertThat(outcomes.size(), is(2));
    }

    /** Guards the sum of all reserves: a node that does not know how many nodes share them has no reserve. */
    @Test
    void thereIsNoReserveBeforeTheFleetSizeIsKnown() {
        RecordingTransport transport = new RecordingTransport();
        FleetSize size = new FleetSize();
        size.countReported(1, true, transport.nowMs);
        QuotaClient client = new QuotaClient(QuotaSimulation.BOUNDS, size, transport);
        client.configure(List.of(QuotaSimulation.TENANT));
        List<QuotaClient.Outcome> outcomes = new ArrayList<>();
        client.admit(QuotaSimulation.TENANT, 10, admission -> outcomes.add(admission.outcome()));
        transport.scheduled.get(0).run();
        transport.scheduled.get(1).run();
        assertThat(outcomes, is(List.of(QuotaClient.Outcome.UNKNOWN)));
        size.countReported(6, false, transport.nowMs);
        client.admit(QuotaSimulation.TENANT, 10, admission -> outcomes.add(admission.outcome()));
        transport.scheduled.get(2).run();
        transport.scheduled.get(3).run();
        assertThat(outcomes, is(List.of(QuotaClient.Outcome.UNKNOWN, QuotaClient.Outcome.ADMITTED)));
    }

    @Test
    void invalidTokenCountsFallBackToTheDefaultCost() {
        TenantConfig tenant = new TenantConfig("one", List.of("k"), 0, "token_count", 70, 1_000, 1_000);
        assertThat(QuotaClient.cost(tenant, "100,20"), is(120.0));
        for (String absurd : new String[] {"NaN,1", "Infinity", "1e308,1e308", "x", ""}) {
            assertThat(absurd, QuotaClient.cost(tenant, absurd), is(70.0));
        }
    }

    /** Guards tenants on both sides of a partition: the reserve replaces the shares of unreachable holders. */
    @Test
    void theReserveIsUsedWhenAHolderIsUnreachableAndTheOthersDeny() {
        RecordingTransport transport = new RecordingTransport();
        QuotaClient client = new QuotaClient(QuotaSimulation.BOUNDS, QuotaSimulation.fleetSizeOf(6), transport);
        client.configure(List.of(QuotaSimulation.TENANT));
        List<QuotaClient.Outcome> outcomes = new ArrayList<>();
        client.admit(QuotaSimulation.TENANT, 100, admission -> outcomes.add(admission.outcome()));
        transport.scheduled.get(0).run();
        client.answered(PeerMessage.QuotaAnswer.denied(transport.sent.get(1).id(), 700, 0, FAIR_LEVEL));
        assertThat(outcomes, is(List.of(QuotaClient.Outcome.ADMITTED)));
        double reserve = QuotaDivision.reserve(QuotaSimulation.TENANT, QuotaSimulation.BOUNDS, 6);
        client.admit(QuotaSimulation.TENANT, reserve, admission -> outcomes.add(admission.outcome()));
        client.answered(PeerMessage.QuotaAnswer.denied(transport.sent.get(2).id(), 700, 0, FAIR_LEVEL));
        transport.scheduled.get(3).run();
        assertThat("no more than the reserve", outcomes,
                is(List.of(QuotaClient.Outcome.ADMITTED, QuotaClient.Outcome.DENIED)));
    }

    /** Guards requests during a partition: each would otherwise wait for the timeouts of the unreachable holders. */
    @Test
    void requestsDoNotWaitForHoldersKnownToBeUnresponsive() {
        RecordingTransport transport = new RecordingTransport();
        QuotaClient client = new QuotaClient(QuotaSimulation.BOUNDS, QuotaSimulation.fleetSizeOf(6), transport);
        client.configure(List.of(QuotaSimulation.TENANT));
        List<QuotaClient.Outcome> outcomes = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            client.admit(QuotaSimulation.TENANT, 10, admission -> outcomes.add(admission.outcome()));
            transport.scheduled.get(2 * i).run();
            transport.scheduled.get(2 * i + 1).run();
            transport.nowMs += 700;
        }
        transport.nowMs -= 400;
        client.admit(QuotaSimulation.TENANT, 10, admission -> outcomes.add(admission.outcome()));
        assertThat("decided at once", outcomes.size(), is(3));
        assertThat(transport.sent.size(), is(4));
        transport.nowMs += 400;
        client.admit(QuotaSimulation.TENANT, 10, admission -> outcomes.add(admission.outcome()));
        assertThat("asked again after the suspect time", transport.sent.size(), is(5));
        client.answered(PeerMessage.QuotaAnswer.granted(transport.sent.get(4).id()));
        assertThat(outcomes.size(), is(4));
    }
}
