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

/** Session tables that merge to the same in any order. */
class SessionTableTest {
    private static final long BEAT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

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
    void aSilentServerIsToldAsNotLiveAndComesBackWithItsNextHeartbeat() {
        SessionTable table = new SessionTable(1_000);
        table.merge(record("s", Phase.READY, 1), 0);
        long told = table.revision();
        assertThat(table.expire(3 * BEAT_NANOS), is(false));
        assertThat(table.expire(4 * BEAT_NANOS), is(true));
        assertThat(table.changesAfter(told).get(0).live(), is(false));
        assertThat(table.merge(record("s", Phase.READY, 2), 5 * BEAT_NANOS), is(true));
        assertThat(table.changesAfter(told).get(0).live(), is(true));
    }

    @Test
    void onlyWhatHasChangedIsTold() {
        SessionTable table = new SessionTable(1_000);
        table.merge(record("s", Phase.READY, 1), 0);
        table.merge(record("t", Phase.READY, 1), 0);
        long told = table.revision();
        table.merge(record("s", Phase.READY, 2), 0);
        assertThat(table.changesAfter(told), is(empty()));
        table.merge(record("t", Phase.DRAINING, 2), 0);
        assertThat(table.changesAfter(told), hasSize(1));
    }

    private static SessionRecord warming(long sequence, long leftMs) {
        return new SessionRecord("s", "llm", "127.0.0.1:80", "a", 8, Phase.READY, sequence, leftMs);
    }

    /** Guards FAILBACK: data nodes hear at once of a server that turns cold, and once only of one warm-up. */
    @Test
    void aServerThatTurnsColdIsToldAtOnce() {
        SessionTable table = new SessionTable(1_000);
        table.merge(warming(1, 3_000), 0);
        assertThat("as it was told", table.merge(warming(2, 2_000), BEAT_NANOS), is(false));
        assertThat("on its way for longer", table.merge(warming(3, 990), 2 * BEAT_NANOS + BEAT_NANOS / 20), is(false));
        assertThat("warm", table.merge(warming(4, 0), 4 * BEAT_NANOS), is(false));
        long told = table.revision();
        assertThat("cold again", table.merge(warming(5, 3_000), 5 * BEAT_NANOS), is(true));
        assertThat(table.changesAfter(told).get(0).session().warmupLeftMs(), is(3_000L));
        assertThat("colder", table.merge(warming(6, 2_500), 6 * BEAT_NANOS), is(true));
        assertThat("an earlier heartbeat", table.merge(warming(4, 9_000), 6 * BEAT_NANOS), is(false));
        assertThat("warm much sooner", table.merge(warming(7, 0), 7 * BEAT_NANOS), is(true));
    }
}
