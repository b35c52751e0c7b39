package routerfleet.data;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import routerfleet.wire.SessionRecord;

/** What many nodes together send to cold servers. */
class ColdAdmissionTest {
    private static final int MOST_A_SECOND = 38;
    private static final long DAY_MS = 30_000;
    private static final int CONNECT_MS = 120;

    private static Server cold(long nowMs) {
        Server server = new Server(new SessionRecord("s", "llm", "127.0.0.1:1000", "a", 12, SessionRecord.Phase.READY,
                1, DAY_MS));
        server.listed(true);
        server.warmth().told(1, 1_000 * DAY_MS, true, nowMs);
        return server;
    }

    /** The most in any second that begins with one of these. */
    private static int mostInASecond(List<Long> timesMicros) {
        Collections.sort(timesMicros);
        int most = 0;
        int first = 0;
        for (int i = 0; i < timesMicros.size(); i++) {
            while (timesMicros.get(i) - timesMicros.get(first) >= 1_000_000) {
                first++;
            }
            most = Math.max(most, i - first + 1);
        }
        return most;
    }

    /** The times, in microseconds, at which nodes send that always have a request; each node's clock has its own phase. */
    private static List<Long> sends(int nodes, double rate, SplittableRandom random) {
        List<Long> times = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            ColdAdmission admission = new ColdAdmission(random.nextLong());
            admission.chance(WarmupRate.chance(rate, nodes));
            long phase = random.nextLong(WarmupRate.SLICE_MS);
            Server server = cold(phase);
            for (long now = phase; now < DAY_MS; now += 5 + random.nextInt(20)) {
                if (admission.permits(server, now)) {
                    long claimed = admission.claim(server, now);
                    assertThat("one a slice", admission.permits(server, now), is(false));
                    long sent = now + (random.nextInt(4) == 0 ? random.nextInt(CONNECT_MS) : 0);
                    if (admission.holds(server, claimed, sent)) {
                        times.add((sent - phase) * 1_000 + random.nextInt(1_000));
                    }
                }
            }
        }
        return times;
    }

    /** Guards FAILBACK: whatever number of nodes with requests all the time, no second holds more than the bound. */
    @Test
    void noSecondHoldsMoreThanAColdServerBears() {
        SplittableRandom random = new SplittableRandom(62);
        for (int nodes = 1; nodes <= 400; nodes += nodes < 20 ? 1 : 19) {
            for (double most : new double[] {8, 18, MOST_A_SECOND, 80}) {
                List<Long> times = sends(nodes, WarmupRate.of(most), random);
                assertThat(nodes + " nodes, " + most + " a second", (double) mostInASecond(times),
                        is(lessThanOrEqualTo(most)));
            }
        }
    }

    /** Guards worth: permissions of many nodes add up to most of the rate. */
    @Test
    void permissionsAddUpToMostOfTheRate() {
        double rate = WarmupRate.of(MOST_A_SECOND);
        int sent = sends(84, rate, new SplittableRandom(7)).size();
        assertThat(sent / (DAY_MS / 1_000.0), is(greaterThan(rate * 0.6)));
    }

    @Test
    void aPermissionIsGoneWithItsSlice() {
        ColdAdmission admission = new ColdAdmission(1);
        admission.chance(1);
        Server server = cold(0);
        long claimed = admission.claim(server, 100);
        assertThat(admission.holds(server, claimed, 199), is(true));
        admission.chance(0);
        assertThat("sent too late", admission.holds(server, claimed, 200), is(false));
        admission.chance(ColdAdmission.NO_BOUND);
        assertThat("no bound is told", admission.holds(server, ColdAdmission.NO_CLAIM, 200), is(true));
    }

    /** Guards requests under way: their server turned cold while its connection came up. */
    @Test
    void aServerThatTurnsColdBeforeTheSendNeedsAPermission() {
        ColdAdmission admission = new ColdAdmission(1);
        admission.chance(0);
        Server server = cold(0);
        Server warm = new Server(new SessionRecord("t", "llm", "127.0.0.1:1001", "a", 12, SessionRecord.Phase.READY, 1, 0));
        long claimed = admission.claim(warm, 10);
        warm.warmth().told(2, 3_000, true, 12);
        assertThat(admission.holds(warm, claimed, 15), is(false));
        admission.chance(1);
        assertThat(admission.holds(warm, claimed, 115), is(true));
        assertThat("once", admission.holds(warm, claimed, 116), is(false));
        assertThat(admission.permits(server, 120), is(true));
    }
}
