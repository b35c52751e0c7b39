package routerfleet.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.junit.jupiter.api.Test;

/** Tallies during network partitions, disk losses and disk faults, in virtual time. */
class TallyPartitionTest {
    private static final int MERGE_MS = 3_000;
    /** After this time without the others, a node considers itself cut off. */
    private static final int CUT_OFF_MS = 4_000;

    private static TallyCluster cluster(long seed) {
        TallyCluster cluster = new TallyCluster(seed, TallyLimits.DEFAULT);
        cluster.advance(5_000);
        return cluster;
    }

    private static void assertTotalEverywhere(TallyCluster cluster, long total) {
        assertThat(cluster.readAll().toString(), cluster.readAll(), everyItem(is(total)));
    }

    /** Guards latency: an add is acknowledged well within the time that applications need. */
    @Test
    void anAddIsAcknowledgedWithinAFewSyncs() {
        TallyCluster cluster = cluster(1);
        int call = cluster.add(0, "u", 5);
        cluster.advance(40);
        assertThat(cluster.status(call), is(200));
        cluster.advance(40);
        assertTotalEverywhere(cluster, 5);
    }

    /** Guards both sides of a partition: each accepts adds, and all totals are the same soon after it has healed. */
    @Test
    void bothSidesOfAPartitionAcceptAddsAndAgreeAfterIt() {
        for (int seed = 1; seed <= 20; seed++) {
            TallyCluster cluster = cluster(seed);
            assertThat(cluster.addAndWait(0, "before", 1), is(200));
            cluster.cut(true, 0, 1);
            cluster.advance(CUT_OFF_MS);
            assertThat(cluster.addAndWait(0, "small", 10), is(200));
            assertThat(cluster.addAndWait(1, "both", 300), is(200));
            assertThat(cluster.addAndWait(2, "both", 200), is(200));
            assertThat(cluster.addAndWait(3, "large", 1_000), is(200));
            assertThat(cluster.addAndWait(1, "before", 1), is(200));
            assertThat(cluster.read(0), is(311L));
            assertThat(cluster.read(4), is(1_201L));
            cluster.cut(false, 0, 1);
            cluster.advance(MERGE_MS);
            assertTotalEverywhere(cluster, 1_211);
        }
    }

    /**
     * Guards the rule LOST: a node alone acknowledges nothing before it is certain that it is cut off, and never right
     * after a start of all nodes.
     */
    @Test
    void aNodeThatHasJustLostTheOthersAcknowledgesNothing() {
        TallyCluster cluster = cluster(3);
        for (int i = 1; i < TallyCluster.NODES; i++) {
            cluster.kill(i);
        }
        cluster.advance(100);
        assertThat(cluster.addAndWait(0, "u", 1), is(503));
        cluster.advance(700);
        for (int i = 1; i < TallyCluster.NODES; i++) {
            cluster.start(i, false);
        }
        cluster.advance(1_000);
        assertThat(cluster.addAndWait(0, "u", 1), is(200));
        assertTotalEverywhere(cluster, 1);
    }

    /** Guards the rule LOST: an acknowledged add is on a third disk, and survives the simultaneous loss of two. */
    @Test
    void acknowledgedAddsSurviveTheLossOfTwoDisks() {
        for (int seed = 1; seed <= 20; seed++) {
            TallyCluster cluster = cluster(seed);
            int call = cluster.add(0, "u", 5);
            while (cluster.status(call) == 0) {
                cluster.advance(1);
            }
            assertThat(cluster.status(call), is(200));
            for (int i = 0; i < TallyCluster.NODES; i++) {
                cluster.losePower(i);
            }
            cluster.wipe(0);
            cluster.wipe(seed % 4 + 1);
            for (int i = 0; i < TallyCluster.NODES; i++) {
                cluster.start(i, false);
            }
            cluster.advance(MERGE_MS);
            assertTotalEverywhere(cluster, 5);
        }
    }

    /** Guards the rule LOST: two zones that can't reach each other receive each other's adds through a third. */
    @Test
    void aThirdNodePassesEntriesOnBetweenTwoThatAreCutOff() {
        TallyCluster cluster = cluster(5);
        for (int near = 0; near <= 1; near++) {
            for (int far = 2; far <= 3; far++) {
                cluster.link(true, near, far);
                cluster.link(true, far, near);
            }
        }
        cluster.advance(CUT_OFF_MS);
        assertThat(cluster.addAndWait(0, "u", 1), is(200));
        assertThat(cluster.addAndWait(2, "v", 2), is(200));
        cluster.advance(MERGE_MS);
        assertTotalEverywhere(cluster, 3);
    }

    /** Guards the rule LOST: the entries of a lost disk survive at other nodes, and its node gets them back. */
    @Test
    void theEntriesOfALostDiskSurvive() {
        TallyCluster cluster = cluster(6);
        assertThat(cluster.addAndWait(4, "u", 7), is(200));
        cluster.kill(4);
        cluster.wipe(4);
        cluster.start(4, false);
        cluster.advance(0);
        assertThat(cluster.read(4), is(-1L));
        cluster.advance(MERGE_MS);
        assertThat(cluster.addAndWait(4, "v", 3), is(200));
        assertTotalEverywhere(cluster, 10);
    }

    /** Guards the promise of status 503: a full disk stores nothing, and the add is not counted later. */
    @Test
    void aFullDiskRefusesAddsWithoutEffect() {
        TallyCluster cluster = cluster(7);
        assertThat(cluster.addAndWait(0, "u", 7), is(200));
        cluster.disk(0).setFull(true);
        assertThat(cluster.addAndWait(0, "v", 3), is(503));
        cluster.disk(0).setFull(false);
        assertThat(cluster.addAndWait(0, "w", 1), is(200));
        cluster.kill(0);
        cluster.start(0, false);
        cluster.advance(MERGE_MS);
        assertTotalEverywhere(cluster, 8);
    }

    /**
     * Guards callers: if a disk hangs, the outcome of adds in the current write is unknown, and those that wait or arrive
     * then are refused at once.
     */
    @Test
    void aDiskThatHangsRefusesFurtherAdds() {
        TallyCluster cluster = cluster(8);
        cluster.setDiskHanging(0, true);
        int first = cluster.add(0, "u", 7);
        int second = cluster.add(0, "v", 5);
        cluster.advance(150);
        assertThat(cluster.status(second), is(503));
        int third = cluster.add(0, "w", 3);
        assertThat(cluster.status(third), is(503));
        cluster.advance(900);
        assertThat(cluster.status(first), is(504));
        cluster.setDiskHanging(0, false);
        cluster.advance(MERGE_MS);
        assertTotalEverywhere(cluster, 7);
    }

    /**
     * Guards the limit of entries: those that all nodes hold are folded, also in several chunks after a disk loss, and
     * totals stay the same.
     */
    @Test
    void entriesHeldByAllAreFoldedAndTotalsStay() {
        TallyCluster cluster = new TallyCluster(9, new TallyLimits(50, 100, 200, 10, 20));
        cluster.advance(5_000);
        for (int i = 1; i <= 500; i++) {
            int call = cluster.add(i % TallyCluster.NODES, "u" + i, 1);
            cluster.advance(50);
            assertThat("add " + i, cluster.status(call), is(200));
        }
        cluster.kill(2);
        cluster.wipe(2);
        cluster.start(2, false);
        cluster.advance(MERGE_MS);
        assertTotalEverywhere(cluster, 500);
        assertThat(cluster.addAndWait(2, "u500", 1), is(200));
        assertThat(cluster.addAndWait(2, "more", 1), is(200));
        cluster.advance(MERGE_MS);
        assertTotalEverywhere(cluster, 501);
        for (int i = 0; i < TallyCluster.NODES; i++) {
            cluster.kill(i);
        }
        for (int i = 0; i < TallyCluster.NODES; i++) {
            cluster.start(i, false);
        }
        cluster.advance(MERGE_MS);
        assertTotalEverywhere(cluster, 501);
    }

    /**
     * Guards the limit of entries: while a node is unreachable nothing can be folded, and adds are refused before memory
     * is full.
     */
    @Test
    void addsAreRefusedWhileNothingCanBeFolded() {
        TallyCluster cluster = new TallyCluster(10, new TallyLimits(50, 100, 200, 10, 20));
        cluster.advance(5_000);
        cluster.cut(true, 4);
        cluster.advance(CUT_OFF_MS);
        int accepted = 0;
        while (cluster.addAndWait(0, "u" + accepted, 1) == 200) {
            accepted++;
            assertThat(accepted, is(lessThanOrEqualTo(100)));
        }
        assertThat(accepted, is(100));
        cluster.cut(false, 4);
        cluster.advance(MERGE_MS);
        assertThat(cluster.addAndWait(0, "v", 1), is(200));
        assertTotalEverywhere(cluster, 101);
    }
}
