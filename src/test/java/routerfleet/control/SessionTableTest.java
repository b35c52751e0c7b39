package routerfleet.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import routerfleet.wire.SessionRecord;
import routerfleet.wire.SessionRecord.Phase;

/** Merging, expiry and change tracking of session tables. */
class SessionTableTest {
    private static final long HEARTBEAT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    private static SessionRecord record(String uid, Phase phase, long sequence) {
        return new SessionRecord(uid, "llm", "127.0.0.1:80", "a", 8, phase, sequence, 0);
    }

    @Test
    void recordsMergeToTheSameInAnyOrder() {
        List<SessionRecord> records = new ArrayList<>();
        for (int server = 0; server < 6; server++) {
            for (int sequence = 1; sequence <= 8; sequence++) {
                Phase phase = sequence < 5 || server % 3 == 0 ? Phase.READY
                        : server % 3 == 1 ? Phase.DRAINING : Phase.GONE;
                records.add(record("s" + server, phase, sequence));
            }
        }
        long digest = 0;
        for (int seed = 0; seed < 200; seed++) {
            Collections.shuffle(records, new Random(seed));
            SessionTable table = new SessionTable(1_000);
            records.forEach(r -> table.merge(r, 0));
            digest = seed == 0 ? table.digest() : digest;
            assertThat(table.digest(), is(digest));
            assertThat(table.find("s2").phase(), is(Phase.GONE));
        }
    }

    @Test
    void aLateHeartbeatDoesNotBringADrainingServerBack() {
        SessionTable table = new SessionTable(1_000);
        table.merge(record("s", Phase.DRAINING, 7), 0);
        assertThat(table.merge(record("s", Phase.READY, 6), 0), is(false));
        table.merge(record("s", Phase.READY, 8), 0);
        assertThat(table.find("s").phase(), is(Phase.DRAINING));
    }

    @Test
    void aSilentServerIsNotLiveUntilItsNextHeartbeat() {
        SessionTable table = new SessionTable(1_000);
        table.merge(record("s", Phase.READY, 1), 0);
        long reportedRevision = table.revision();
        assertThat(table.expire(3 * HEARTBEAT_NANOS), is(false));
        assertThat(table.expire(4 * HEARTBEAT_NANOS), is(true));
        assertThat(table.changesAfter(reportedRevision).get(0).live(), is(false));
        assertThat(table.merge(record("s", Phase.READY, 2), 5 * HEARTBEAT_NANOS), is(true));
        assertThat(table.changesAfter(reportedRevision).get(0).live(), is(true));
    }

    @Test
    void onlyChangesAreReported() {
        SessionTable table = new SessionTable(1_000);
        table.merge(record("s", Phase.READY, 1), 0);
        table.merge(record("t", Phase.READY, 1), 0);
        long reportedRevision = table.revision();
        table.merge(record("s", Phase.READY, 2), 0);
        assertThat(table.changesAfter(reportedRevision), is(empty()));
        table.merge(record("t", Phase.DRAINING, 2), 0);
        assertThat(table.changesAfter(reportedRevision), hasSize(1));
    }

    private static SessionRecord warming(long sequence, long leftMs) {
        return new SessionRecord("s", "llm", "127.0.0.1:80", "a", 8, Phase.READY, sequence, leftMs);
    }

    /**
     * Guards the rule FAILBACK: data nodes are notified at once of a server that turns cold, and only once of each
     * warm-up.
     */
    @Test
    void aServerThatTurnsColdIsReportedAtOnce() {
        SessionTable table = new SessionTable(1_000);
        table.merge(warming(1, 3_000), 0);
        assertThat("as reported before", table.merge(warming(2, 2_000), HEARTBEAT_NANOS), is(false));
        assertThat("longer in transit", table.merge(warming(3, 990), 2 * HEARTBEAT_NANOS + HEARTBEAT_NANOS / 20),
                is(false));
        assertThat("warm", table.merge(warming(4, 0), 4 * HEARTBEAT_NANOS), is(false));
        long reportedRevision = table.revision();
        assertThat("cold again", table.merge(warming(5, 3_000), 5 * HEARTBEAT_NANOS), is(true));
        assertThat(table.changesAfter(reportedRevision).get(0).session().warmupLeftMs(), is(3_000L));
        assertThat("colder", table.merge(warming(6, 2_500), 6 * HEARTBEAT_NANOS), is(true));
        assertThat("an earlier heartbeat", table.merge(warming(4, 9_000), 6 * HEARTBEAT_NANOS), is(false));
        assertThat("warm much sooner", table.merge(warming(7, 0), 7 * HEARTBEAT_NANOS), is(true));
    }
}
