package rowanplank.lab.trial;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import org.HdrHistogram.Histogram;
import rowanplank.net.SystemClock;

/** Measures real nodes at rest: what they cost, with a fleet and without, and how soon all know that one of them died. */
public final class AtRest {
    /**
     * @param settle before it is counted, from when the last node answers on
     * @param length how long is counted
     * @param moving whether the lease goes round meanwhile, so that much is written, and doors are asked all the time
     * @param busyDisk whether the disk is kept busy beside that
     */
    public record Plan(RealFleet.Plan fleet, Duration settle, Duration length, boolean moving, boolean busyDisk) { }

    private static final Duration GO_ROUND = Duration.ofMillis(500);
    private static final Duration ASK_EVERY = Duration.ofMillis(5);

    private final Plan plan;
    private final List<String> lines = new ArrayList<>();

    private AtRest(Plan plan) {
        this.plan = plan;
    }

    /** @return lines for people */
    public static List<String> measure(Plan plan, RealFleet fleet, Path folder) throws IOException {
        AtRest rest = new AtRest(plan);
        rest.measure(fleet, folder);
        return rest.lines;
    }

    private void measure(RealFleet fleet, Path folder) throws IOException {
        int count = plan.fleet().count();
        List<Duration> starts = new ArrayList<>();
        for (int n = 0; n < count; n++) {
            starts.add(fleet.startAndWait(n));
        }
        starts.sort(null);
        say("start until the door answers: median %d ms, longest %d ms, one after the other", starts.get(count / 2).toMillis(),
                starts.get(count - 1).toMillis());
        if (plan.fleet().fleet()) {
            fleet.awaitThat("nobody leads", () -> fleet.leader() >= 0);
        }
        RealFleet.pass(plan.settle());
        List<RealFleet.Used> before = all(fleet);
        Instant from = fleet.now();
        spend(fleet, folder);
        List<RealFleet.Used> after = all(fleet);
        costs(before, after, fleet.since(from).toNanos() / 1e9);
        if (plan.fleet().fleet() && count > 2) {
            death(fleet, count - 1);
        }
    }

    private List<RealFleet.Used> all(RealFleet fleet) throws IOException {
        List<RealFleet.Used> all = new ArrayList<>();
        for (int n = 0; n < plan.fleet().count(); n++) {
            all.add(fleet.used(n));
        }
        return all;
    }

    private void spend(RealFleet fleet, Path folder) throws IOException {
        if (!plan.moving()) {
            RealFleet.pass(plan.length());
        } else if (!plan.busyDisk()) {
            move(fleet);
        } else {
            try (BusyDisk disk = new BusyDisk(folder.resolve("busy"))) {
                move(fleet);
                say("disk: syncs of %d bytes took a median of %.1f ms, the longest of %d %.1f ms, beside one that writes all "
                        + "the time", BusyDisk.SMALL, disk.millis(0.5), disk.count(), disk.millis(1));
            }
        }
    }

    /** Whoever holds the lease gives it back, again and again: each time entries are written at all voters. */
    private void move(RealFleet fleet) throws IOException {
        Histogram micros = new Histogram(3);
        Instant next = fleet.now();
        int moves = 0;
        for (Instant until = next.plus(plan.length()); fleet.now().isBefore(until);) {
            for (int n = 0; n < plan.fleet().count(); n++) {
                Instant asked = fleet.now();
                fleet.isReady(n);
                micros.recordValue(fleet.since(asked).toNanos() / 1000);
            }
            if (!fleet.now().isBefore(next)) {
                next = fleet.now().plus(GO_ROUND);
                moves++;
                for (int n = 0; n < plan.fleet().count(); n++) {
                    fleet.release(n);
                }
            }
            RealFleet.pass(ASK_EVERY);
        }
        say("doors, asked %d times while the lease was given back %d times: answered after a median of %.1f ms, 99 %% %.1f ms, "
                + "longest %.1f ms", micros.getTotalCount(), moves, micros.getValueAtPercentile(50) / 1e3,
                micros.getValueAtPercentile(99) / 1e3, micros.getMaxValue() / 1e3);
    }

    private void costs(List<RealFleet.Used> before, List<RealFleet.Used> after, double seconds) {
        int leader = 0;
        for (int n = 0; n < after.size(); n++) {
            leader = after.get(n).leads() ? n : leader;
        }
        tell("processor time, % of a core a node", before, after, leader, seconds,
                u -> 100 * u.processor().toNanos() / 1e9, 2);
        if (plan.fleet().fleet()) {
            tell("bytes a node and second", before, after, leader, seconds, RealFleet.Used::bytes, 0);
            tell("datagrams a node and second", before, after, leader, seconds, RealFleet.Used::datagrams, 1);
        }
        say("memory: mean %.1f MB, most %.1f MB", after.stream().mapToLong(RealFleet.Used::memoryBytes).average().orElse(0) / 1e6,
                after.stream().mapToLong(RealFleet.Used::memoryBytes).max().orElse(0) / 1e6);
        say("longest turn of any loop, from its start: %.1f ms before that, %.1f ms by the end", longest(before), longest(after));
    }

    private static double longest(List<RealFleet.Used> all) {
        return all.stream().mapToLong(u -> u.longestTurn().toNanos()).max().orElse(0) / 1e6;
    }

    private void tell(String what, List<RealFleet.Used> before, List<RealFleet.Used> after, int leader, double seconds,
            ToDoubleFunction<RealFleet.Used> of, int digits) {
        double sum = 0;
        double most = 0;
        double leaders = 0;
        for (int n = 0; n < after.size(); n++) {
            double spent = (of.applyAsDouble(after.get(n)) - of.applyAsDouble(before.get(n))) / seconds;
            sum += spent;
            most = n == leader ? most : Math.max(most, spent);
            leaders = n == leader ? spent : leaders;
        }
        String f = "%." + digits + "f";
        if (plan.fleet().fleet()) {
            say("%s: mean " + f + ", the leader " + f + ", most of any other " + f, what, sum / after.size(), leaders, most);
        } else {
            say("%s: mean " + f, what, sum / after.size());
        }
    }

    private void death(RealFleet fleet, int dies) throws IOException {
        String name = fleet.name(dies);
        fleet.kill(dies);
        Instant from = fleet.now();
        boolean[] know = new boolean[dies];
        fleet.awaitThat("not all know of a death", () -> {
            boolean all = true;
            for (int n = 0; n < dies; n++) {
                know[n] = know[n] || fleet.thinksOf(n, name).equals("dead");
                all &= know[n];
            }
            return all;
        });
        say("all others know of a node's death after %d ms", fleet.since(from).toMillis());
    }

    private void say(String line, Object... of) {
        lines.add(String.format(Locale.ROOT, line, of));
    }

    /** Keeps a disk busy: one thread writes and syncs all the time; another one sees how long a small sync takes beside it. */
    private static final class BusyDisk implements AutoCloseable {
        static final int SMALL = 100;
        private static final int LARGE = 16 << 20;
        private static final int MOST = 10_000;

        private final Thread writer;
        private final Thread watcher;
        private final List<Double> took = new ArrayList<>();
        private volatile boolean over;

        BusyDisk(Path file) {
            writer = new Thread(() -> write(file, LARGE, false), "busy-disk");
            watcher = new Thread(() -> write(file.resolveSibling("watched"), SMALL, true), "watched-disk");
            writer.start();
            watcher.start();
        }

        private void write(Path file, int bytes, boolean watch) {
            SystemClock clock = new SystemClock();
            byte[] block = new byte[bytes];
            try {
                while (!over) {
                    Instant from = clock.now();
                    Files.write(file, block, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.SYNC);
                    if (watch) {
                        note(Duration.between(from, clock.now()).toNanos() / 1e6);
                        Thread.sleep(20);
                    }
                }
            } catch (IOException e) {
                over = true;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        private synchronized void note(double ms) {
            if (took.size() < MOST) {
                took.add(ms);
            }
        }

        synchronized int count() {
            return took.size();
        }

        synchronized double millis(double share) {
            took.sort(null);
            return took.isEmpty() ? 0 : took.get((int) Math.min(took.size() - 1L, (long) (took.size() * share)));
        }

        @Override
        public void close() {
            over = true;
            try {
                writer.join();
                watcher.join();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
