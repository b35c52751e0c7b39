package rowanplank.lab.trial;

import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.apache.commons.rng.simple.RandomSource;
import rowanplank.net.Ports;
import rowanplank.net.SelectorLoop;
import rowanplank.net.SystemClock;

/**
 * Clients' requests at nodes that run on while other nodes are killed and started, with a fleet whose voters those are or
 * without any: the same nodes, the same kills at the same times, the same clients. One play is of one of the two.
 */
public final class Beside {
    private static final int NODES = 6;
    /** These are killed in turn, one, and each third time two at once; the others are asked. */
    private static final int KILLED = 4;
    private static final int SERVERS = 6;
    private static final Duration WARM = Duration.ofSeconds(6);
    private static final Duration KILL_EVERY = Duration.ofSeconds(3);
    private static final Duration AWAY = Duration.ofSeconds(1);
    private static final Duration LEASE = Duration.ofSeconds(1);

    /** What clients saw. @param leaders how often another node was seen to lead */
    public record Seen(long asked, long served, double medianMs, double ms99, double ms999, int leaders) {
        public String text() {
            return String.format(Locale.ROOT, "%d requests, %.2f %% served, median %.1f ms, 99 %% %.1f ms, 99.9 %% %.1f ms",
                    asked, 100.0 * served / Math.max(1, asked), medianMs, ms99, ms999);
        }
    }

    private Beside() { }

    /**
     * @param withFleet whether the nodes agree on anything
     * @param fails whether nodes are killed
     * @param rate requests a second at each of the nodes that are asked
     * @param command starts a node: the operator's file is put behind it
     */
    public static Seen play(boolean withFleet, boolean fails, Duration length, double rate, long seed,
            List<String> command, Path folder, Ports ports) throws Exception {
        SelectorLoop loop = new SelectorLoop(new SystemClock(), e -> System.err.println("unexpected failure: " + e));
        loop.start();
        PageSite site = new PageSite(NODES, SERVERS, seed, ports, folder.resolve("site"), loop,
                (kind, node, name, number, other, text) -> { });
        RealFleet.Plan plan = new RealFleet.Plan(NODES, withFleet, LEASE, site::discovery, command);
        try (RealFleet fleet = new RealFleet(plan, folder, ports)) {
            for (int n = 0; n < NODES; n++) {
                fleet.startAndWait(n);
            }
            for (int n = 0; n < NODES; n++) {
                int node = n;
                fleet.awaitThat(fleet.name(n) + " takes no clients", () -> fleet.isReady(node));
            }
            double[] shares = new double[NODES - KILLED];
            Arrays.fill(shares, rate);
            loop.call(() -> {
                site.ask(n -> fleet.front(KILLED + n), shares, RandomSource.XO_SHI_RO_256_PP.create(seed));
                return null;
            });
            RealFleet.pass(WARM);
            loop.call(() -> {
                site.countAnew();
                return null;
            });
            int leaders = kill(fleet, withFleet, fails, length);
            return loop.call(() -> new Seen(site.asked(), site.served(), site.micros(50) / 1e3, site.micros(99) / 1e3,
                    site.micros(99.9) / 1e3, leaders));
        } finally {
            site.close();
            loop.stop();
        }
    }

    private static int kill(RealFleet fleet, boolean withFleet, boolean fails, Duration length) throws Exception {
        int leaders = 0;
        int leader = withFleet ? fleet.leader() : -1;
        int turn = 0;
        for (Instant until = fleet.now().plus(length); fleet.now().isBefore(until); turn++) {
            int first = turn % KILLED;
            int second = fails && turn % 3 == 2 ? (first + 1) % KILLED : -1;
            if (fails) {
                fleet.kill(first);
            }
            if (second >= 0) {
                fleet.kill(second);
            }
            RealFleet.pass(AWAY);
            if (fails) {
                fleet.start(first);
            }
            if (second >= 0) {
                fleet.start(second);
            }
            RealFleet.pass(KILL_EVERY.minus(AWAY));
            int now = withFleet ? fleet.leader() : -1;
            leaders += now >= 0 && now != leader ? 1 : 0;
            leader = now;
        }
        return leaders;
    }
}
