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

/** Tests the requests that many nodes together send to cold servers. */
class ColdAdmissionTest {
    private static final int MAX_PER_SECOND = 38;
    private static final long SIMULATED_MS = 30_000;
    private static final int MAX_CONNECT_MS = 120;

    private static Server cold(long nowMs) {
        Server server = new Server(new SessionRecord("s", "llm", "127.0.0.1:1000", "a", 12, SessionRecord.Phase.READY,
                1, SIMULATED_MS));
        server.listed(true);
        server.warmupState().heartbeatReported(1, 1_000 * SIMULATED_MS, true, nowMs);
        return server;
    }

    /** The maximum number of these times in any interval of one second. */
    private static int maxInOneSecond(List<Long> timesMicros) {
        Collections.sort(timesMicros);
        int max = 0;
        int first = 0;
        for (int i = 0; i < timesMicros.size(); i++) {
            while (timesMicros.get(i) - timesMicros.get(first) >= 1_000_000) {
                first++;
            }
            max = Math.max(max, i - first + 1);
        }
        return max;
    }

    /**
     * The times, in microseconds, at which nodes send to a cold server if they always have a request. Each node's clock has
     * its own phase.
     */
    private static List<Long> sends(int nodes, double rate, SplittableRandom random) {
        List<Long> times = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            ColdAdmission admission = new ColdAdmission(random.nextLong());
            admission.permitProbability(WarmupRate.permitProbability(rate, nodes));
            long phase = random.nextLong(WarmupRate.SLICE_MS);
            Server server = cold(phase);
            for (long now = phase; now < SIMULATED_MS; now += 5 + random.nextInt(20)) {
                if (admission.permits(server, now)) {
                    long permitSlice = admission.acquirePermit(server, now);
                    assertThat("one permit per slice", admission.permits(server, now), is(false));
                    long sent = now + (random.nextInt(4) == 0 ? random.nextInt(MAX_CONNECT_MS) : 0);
                    if (admission.maySend(server, permitSlice, sent)) {
                        times.add((sent - phase) * 1_000 + random.nextInt(1_000));
                    }
                }
            }
        }
        return times;
    }

    /** Guards against overloading cold servers: for any number of busy nodes, each second stays within the bound. */
    @Test
    void requestsPerSecondToAColdServerStayWithinTheBound() {
        SplittableRandom random = new SplittableRandom(62);
        for (int nodes = 1; nodes <= 400; nodes += nodes < 20 ? 1 : 19) {
            for (double bound : new double[] {8, 18, MAX_PER_SECOND, 80}) {
                List<Long> times = sends(nodes, WarmupRate.maxRate(bound), random);
                assertThat(nodes + " nodes, " + bound + " per second", (double) maxInOneSecond(times),
                        is(lessThanOrEqualTo(bound)));
            }
        }
    }

    /** Guards against leaving cold servers idle: the permits of many nodes add up to most of the rate. */
    @Test
    void permitsAddUpToMostOfTheRate() {
        double rate = WarmupRate.maxRate(MAX_PER_SECOND);
        int sent = sends(84, rate, new SplittableRandom(7)).size();
        assertThat(sent / (SIMULATED_MS / 1_000.0), is(greaterThan(rate * 0.6)));
    }

    @Test
    void aPermitExpiresWithItsSlice() {
        ColdAdmission admission = new ColdAdmission(1);
        admission.permitProbability(1);
        Server server = cold(0);
        long permitSlice = admission.acquirePermit(server, 100);
        assertThat(admission.maySend(server, permitSlice, 199), is(true));
        admission.permitProbability(0);
        assertThat("sent too late", admission.maySend(server, permitSlice, 200), is(false));
        admission.permitProbability(ColdAdmission.UNLIMITED);
        assertThat("unlimited", admission.maySend(server, ColdAdmission.NO_PERMIT, 200), is(true));
    }

    /** Guards against requests without a permit whose server becomes cold while the connection is established. */
    @Test
    void aServerThatTurnsColdBeforeTheSendNeedsAPermit() {
        ColdAdmission admission = new ColdAdmission(1);
        admission.permitProbability(0);
        Server server = cold(0);
        Server warm = new Server(new SessionRecord("t", "llm", "127.0.0.1:1001", "a", 12, SessionRecord.Phase.READY, 1, 0));
        long permitSlice = admission.acquirePermit(warm, 10);
        warm.warmupState().heartbeatReported(2, 3_000, true, 12);
        assertThat(admission.maySend(warm, permitSlice, 15), is(false));
        admission.permitProbability(1);
        assertThat(admission.maySend(warm, permitSlice, 115), is(true));
        assertThat("once", admission.maySend(warm, permitSlice, 116), is(false));
        assertThat(admission.permits(server, 120), is(true));
    }
}
