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

/** Tallies on days of trouble in virtual time. */
class TallySimulationTest {
    private static final int MOST_RUNS = 6;

    private static TallySimulation standIn(long seed, int tolerated, TallyStub.Flaw flaw) {
        TallyStub standIn = new TallyStub(flaw, seed);
        return new TallySimulation(seed, tolerated, TallySimulation.plan(seed), InjectedFault.NONE, standIn::interceptor);
    }

    private static String play(long seed, int tolerated, InjectedFault fault) {
        return new TallySimulation(seed, tolerated, TallySimulation.plan(seed), fault).run();
    }

    @Test
    void drawnDays() {
        assertThat("seed 3 of three nodes", play(3, 1, InjectedFault.NONE), is(nullValue()));
        assertThat("seed 1 of five nodes", play(1, 2, InjectedFault.NONE), is(nullValue()));
    }

    /** Guards SHORT: adds waited for the next exchange of vectors, up to 900 ms, as long as others came. */
    @Test
    void addsAreServedAfterAGapInAJournal() {
        assertThat(play(2, 1, InjectedFault.NONE), is(nullValue()));
    }

    /** Those that the first run of three nodes shows. */
    @ParameterizedTest
    @EnumSource(value = InjectedFault.class, names = {"TALLY_TOLD_BEFORE_SYNCED", "TALLY_LAST_RECORD_FORGOTTEN",
        "TALLY_UIDS_FORGOTTEN", "TALLY_REFUSED_AFTER_WRITTEN"})
    void aPlantedFaultIsFound(InjectedFault fault) {
        assertThat(play(1, 1, fault), is(notNullValue()));
    }

    private static TallyFaultPlan disksAreLostRightAfterAcknowledgements() {
        List<TallyFaultPlan.Fault> faults = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            faults.add(new TallyFaultPlan.Fault(i, 4_000 + 8_000L * i, TallyFaultPlan.Kind.WIPE_AFTER_ACK, 0, 600, 1));
        }
        return new TallyFaultPlan(faults);
    }

    /** Each time the acknowledging machine loses its disk, and all others lose power at the same moment. */
    @Test
    void aDiskIsLostRightAfterAnAcknowledgement() {
        TallyFaultPlan plan = disksAreLostRightAfterAcknowledgements();
        String found = null;
        for (long seed = 1; seed <= MOST_RUNS && found == null; seed++) {
            assertThat("seed " + seed, new TallySimulation(seed, 1, plan, InjectedFault.NONE).run(), is(nullValue()));
            found = new TallySimulation(seed, 1, plan, InjectedFault.TALLY_ON_ONE_DISK_TOO_FEW).run();
        }
        assertThat("one disk too few is found", found, is(notNullValue()));
    }

    @Test
    void aSoundStandInIsFoundSound() {
        TallySimulation simulation = standIn(1, 1, TallyStub.Flaw.NONE);
        assertThat(simulation.run(), is(nullValue()));
        assertThat(simulation.history().adds.size(), is(greaterThan(300)));
    }

    @ParameterizedTest
    @EnumSource(value = TallyStub.Flaw.class, mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void aFlawOfTheStandInIsFound(TallyStub.Flaw flaw) {
        String found = null;
        for (long seed = 1; seed <= MOST_RUNS && found == null; seed++) {
            found = standIn(seed, 1, flaw).run();
        }
        assertThat(found, is(notNullValue()));
    }
}
