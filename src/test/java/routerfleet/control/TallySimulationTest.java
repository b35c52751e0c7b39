package routerfleet.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tallies under faults, in virtual time. */
class TallySimulationTest {
    private static final int MAX_RUNS = 6;

    private static TallySimulation withStub(long seed, int tolerated, TallyStub.Flaw flaw) {
        TallyStub stub = new TallyStub(flaw, seed);
        return new TallySimulation(seed, tolerated, TallySimulation.plan(seed), InjectedFault.NONE, stub::interceptor);
    }

    private static String runSeed(long seed, int tolerated, InjectedFault fault) {
        return new TallySimulation(seed, tolerated, TallySimulation.plan(seed), fault).run();
    }

    @Test
    void generatedRuns() {
        assertThat("seed 3 of three nodes", runSeed(3, 1, InjectedFault.NONE), is(nullValue()));
        assertThat("seed 1 of five nodes", runSeed(1, 2, InjectedFault.NONE), is(nullValue()));
    }

    /**
     * Guards the rule SHORT: while other adds kept arriving, adds waited up to 900 ms for the next exchange of vectors.
     */
    @Test
    void addsAreServedAfterAGapInAJournal() {
        assertThat(runSeed(2, 1, InjectedFault.NONE), is(nullValue()));
    }

    /** The injected faults that the first run of three nodes detects. */
    @ParameterizedTest
    @EnumSource(value = InjectedFault.class, names = {"TALLY_TOLD_BEFORE_SYNCED", "TALLY_LAST_RECORD_FORGOTTEN",
        "TALLY_UIDS_FORGOTTEN", "TALLY_REFUSED_AFTER_WRITTEN"})
    void anInjectedFaultIsDetected(InjectedFault fault) {
        assertThat(runSeed(1, 1, fault), is(notNullValue()));
    }

    private static TallyFaultPlan disksAreLostRightAfterAcknowledgements() {
        List<TallyFaultPlan.Fault> faults = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            faults.add(new TallyFaultPlan.Fault(i, 4_000 + 8_000L * i, TallyFaultPlan.Kind.WIPE_AFTER_ACK, 0, 600, 1));
        }
        return new TallyFaultPlan(faults);
    }

    /** At each fault, the acknowledging machine loses its disk, and all others lose power at the same moment. */
    @Test
    void aDiskIsLostRightAfterAnAcknowledgement() {
        TallyFaultPlan plan = disksAreLostRightAfterAcknowledgements();
        String violation = null;
        for (long seed = 1; seed <= MAX_RUNS && violation == null; seed++) {
            assertThat("seed " + seed, new TallySimulation(seed, 1, plan, InjectedFault.NONE).run(), is(nullValue()));
            violation = new TallySimulation(seed, 1, plan, InjectedFault.TALLY_ON_ONE_DISK_TOO_FEW).run();
        }
        assertThat("one disk too few is detected", violation, is(notNullValue()));
    }

    @Test
    void aCorrectStubPasses() {
        TallySimulation simulation = withStub(1, 1, TallyStub.Flaw.NONE);
        assertThat(simulation.run(), is(nullValue()));
        assertThat(simulation.history().adds.size(), is(greaterThan(300)));
    }

    @ParameterizedTest
    @EnumSource(value = TallyStub.Flaw.class, mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void aFlawOfTheStubIsDetected(TallyStub.Flaw flaw) {
        String violation = null;
        for (long seed = 1; seed <= MAX_RUNS && violation == null; seed++) {
            violation = withStub(seed, 1, flaw).run();
        }
        assertThat(violation, is(notNullValue()));
    }
}
