package rowanplank.lab.trial;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * What breaks in a trial, drawn from its seed: one fault after the other, or beside one another, each mended after its
 * time. Kinds are drawn evenly; of the victims, the leader and the holder are chosen more often than others.
 */
public final class Trouble {
    /** Usually faults are this far apart on average, so that some lie over others. */
    public static final Duration GAP = Duration.ofMillis(700);

    /** What happens all the time is this far apart. */
    static final Duration STIR_GAP = Duration.ofMillis(500);

    /** The trial, as trouble sees it. */
    interface Scene {
        int nodes();

        int voters();

        /** Whoever leads, as far as was heard last; -1 where nobody does. */
        int leader();

        /** Whoever acted last; -1 where nobody has. */
        int holder();

        Way way(int from, int to);

        boolean runs(int node);

        void kill(int node, Duration restartAfter);

        void stop(int node, Duration restartAfter);

        void stall(int node, Duration length) throws IOException;

        /** Kills it, spoils its state, and starts it again. */
        void spoil(int node, Kind how, Duration restartAfter) throws IOException;

        /** Staff tell the leader, if there is one, that a node is to vote, or not any more. */
        void changeVoters(int voter, boolean add);

        /** Its file says something else, and it is told to read it. */
        void reload(int node) throws IOException;

        /** Staff tell it to give the lease back. */
        void release(int node);

        /** It will stand still between its next look at the lease and the act. @return whether that can be done here */
        boolean holdNextStart(int node, Duration length);

        /** Its syncs take so much longer, for that long. @return whether that can be done here */
        boolean slowDisk(int node, Duration by, Duration length);

        /** Nothing can be written there for so long; then it is killed and started. @return whether that can be done here */
        boolean fullDisk(int node, Duration length);

        /** Staff ask the leader, if there is one, for another whole of a budget. */
        void changeWhole();

        void after(Duration delay, Runnable task);

        void tell(String fault);
    }

    /** The kinds. */
    public enum Kind {
        NOTHING, LEADER_GONE, HOLDER_GONE, RELEASE, ONE_WAY, PAIR, SICK, ISOLATED, DEAF_LEADER, HALVES, THIRDS, LEADER_AND_HOLDER, STALL, LONG_STALL, HELD_START, KILL, KILL_SEVERAL,
        TERMINATE, SLOW_DISK, FULL_DISK, VOTERS, RELOAD,
        TORN, FLIPPED, LOST,
        /** Of budgets alone. */
        WHOLE,
        /** A voter's state is put back to what it was: against what is assumed, so it comes only where it is named. */
        OLDER
    }

    private final Scene scene;
    private final List<Kind> kinds;
    private final Duration gap;
    private final UniformRandomProvider chance;
    private final Duration lease;
    /** So much of it is still to come: no fault lasts longer. */
    private long leftMs;
    private boolean over;
    private boolean spoiltOne;
    private int removed = -1;

    /**
     * @param gap how far apart faults are on average
     * @param lease faults last as long as this a few times
     */
    Trouble(Scene scene, List<Kind> kinds, Duration gap, Duration lease, UniformRandomProvider chance) {
        this.scene = scene;
        this.kinds = kinds;
        this.gap = gap;
        this.chance = chance;
        this.lease = lease;
    }

    /** @param length all that is broken is mended by then, but for what is killed at its very end */
    void begin(Duration length) {
        leftMs = length.toMillis();
        nextAfter(Duration.ofMillis(chance.nextInt((int) gap.toMillis())));
    }

    private void nextAfter(Duration pause) {
        leftMs -= pause.toMillis();
        if (leftMs > 0) {
            scene.after(pause, this::next);
        }
    }

    void end() {
        over = true;
    }

    private void next() {
        if (over) {
            return;
        }
        try {
            bring(kinds.get(chance.nextInt(kinds.size())));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        nextAfter(Duration.ofMillis(50 + (long) (chance.nextDouble() * 2 * gap.toMillis())));
    }

    private Duration span(long leastMs, long mostMs) {
        return Duration.ofMillis(Math.min(leftMs, leastMs + (long) (chance.nextDouble() * (mostMs - leastMs))));
    }

    private Duration upToLeases(double leases) {
        return span(10, (long) (lease.toMillis() * leases));
    }

    private int victim() {
        int of = chance.nextInt(3);
        int chosen = of == 0 ? scene.leader() : of == 1 ? scene.holder() : -1;
        return chosen >= 0 ? chosen : chance.nextInt(scene.nodes());
    }

    private void bring(Kind kind) throws IOException {
        switch (kind) {
            case NOTHING -> { }
            case HOLDER_GONE -> kill(scene.holder() < 0 ? List.of() : List.of(scene.holder()));
            case RELEASE -> release();
            case LEADER_GONE -> kill(scene.leader() < 0 ? List.of() : List.of(scene.leader()));
            case ONE_WAY -> oneWay();
            case PAIR -> pair();
            case SICK -> sick();
            case ISOLATED -> isolate("isolated", List.of(victim()), true);
            case DEAF_LEADER -> isolate("can send and not hear", List.of(Math.max(0, scene.leader())), false);
            case HALVES -> split(2);
            case THIRDS -> split(3);
            case LEADER_AND_HOLDER -> leaderAndHolder();
            case STALL -> stall(upToLeases(0.5));
            case LONG_STALL -> stall(span(lease.toMillis(), 3 * lease.toMillis()));
            case HELD_START -> {
                if (scene.holder() >= 0) {
                    scene.holdNextStart(scene.holder(), chance.nextBoolean() ? span(10, 190) : upToLeases(3));
                }
            }
            case KILL -> kill(List.of(victim()));
            case KILL_SEVERAL -> kill(some());
            case TERMINATE -> terminate();
            case SLOW_DISK -> slowDisk();
            case FULL_DISK -> {
                int v = victim() % scene.voters();
                Duration length = span(100, 2 * lease.toMillis());
                if (scene.runs(v) && scene.fullDisk(v, length)) {
                    scene.tell("the disk of " + TrialPlan.name(v) + " is full for " + length.toMillis() + " ms");
                }
            }
            case VOTERS -> voters();
            case WHOLE -> scene.changeWhole();
            case RELOAD -> {
                int n = victim();
                scene.tell(TrialPlan.name(n) + "'s file changes");
                scene.reload(n);
            }
            default -> spoil(kind);
        }
    }

    private void leaderAndHolder() {
        List<Integer> both = new ArrayList<>();
        both.add(Math.max(0, scene.leader()));
        if (scene.holder() >= 0 && !both.contains(scene.holder())) {
            both.add(scene.holder());
        }
        isolate("leader and holder apart from all others", both, true);
    }

    /** Nothing passes to those from all others, and nothing back where it is both ways. */
    private void isolate(String what, List<Integer> those, boolean bothWays) {
        List<Way> ways = new ArrayList<>();
        for (int n = 0; n < scene.nodes(); n++) {
            for (int t : those) {
                if (!those.contains(n)) {
                    ways.add(scene.way(n, t));
                    if (bothWays) {
                        ways.add(scene.way(t, n));
                    }
                }
            }
        }
        cut(what + " " + those.stream().map(TrialPlan::name).toList(), upToLeases(4), ways);
    }

    private void cut(String what, Duration length, List<Way> ways) {
        scene.tell(what + " for " + length.toMillis() + " ms");
        ways.forEach(w -> w.cut = true);
        scene.after(length, () -> ways.forEach(w -> w.cut = false));
    }

    /** Some hear nothing of one that hears them. */
    private void oneWay() {
        int v = victim();
        List<Way> ways = new ArrayList<>();
        some().stream().filter(n -> n != v).forEach(n -> ways.add(scene.way(v, n)));
        cut(ways.size() + " do not hear " + TrialPlan.name(v), upToLeases(3), ways);
    }

    /** Others still reach both. */
    private void pair() {
        int a = victim();
        int b = (a + 1 + chance.nextInt(Math.max(1, scene.nodes() - 1))) % scene.nodes();
        if (a != b) {
            cut("no way between " + TrialPlan.name(a) + " and " + TrialPlan.name(b), upToLeases(4),
                    List.of(scene.way(a, b), scene.way(b, a)));
        }
    }

    private void split(int parts) {
        int[] part = new int[scene.nodes()];
        StringBuilder text = new StringBuilder("split in " + parts + ":");
        for (int n = 0; n < part.length; n++) {
            part[n] = chance.nextInt(parts);
            text.append(' ').append(part[n]);
        }
        List<Way> ways = new ArrayList<>();
        for (int a = 0; a < part.length; a++) {
            for (int b = 0; b < part.length; b++) {
                if (part[a] != part[b]) {
                    ways.add(scene.way(a, b));
                }
            }
        }
        cut(text.toString(), upToLeases(4), ways);
    }

    /** Slow, lossy, doubled, out of order and cut short, all around one node. */
    private void sick() {
        int v = victim();
        double loss = chance.nextDouble() * 0.5;
        double doubled = chance.nextDouble() * 0.5;
        double shortened = chance.nextDouble() * 0.2;
        Duration delay = chance.nextBoolean() ? span(0, lease.toMillis()) : Duration.ZERO;
        Duration spread = span(0, 300);
        List<Way> ways = new ArrayList<>();
        for (int n = 0; n < scene.nodes(); n++) {
            if (n != v) {
                ways.addAll(List.of(scene.way(n, v), scene.way(v, n)));
            }
        }
        for (Way w : ways) {
            w.loss = loss;
            w.doubled = doubled;
            w.shortened = shortened;
            w.delay = delay;
            w.spread = spread;
        }
        Duration length = upToLeases(4);
        scene.tell(String.format(Locale.ROOT, "%s: %.2f lost, %.2f doubled, %.2f cut short, %d to %d ms late, for %d ms",
                TrialPlan.name(v), loss, doubled, shortened, delay.toMillis(), delay.plus(spread).toMillis(),
                length.toMillis()));
        scene.after(length, () -> ways.forEach(Way::mend));
    }

    private void stall(Duration length) throws IOException {
        int v = victim();
        if (scene.runs(v)) {
            scene.stall(v, length);
        }
    }

    private List<Integer> some() {
        List<Integer> some = new ArrayList<>();
        for (int n = 0; n < scene.nodes(); n++) {
            if (chance.nextBoolean()) {
                some.add(n);
            }
        }
        return some;
    }

    private void kill(List<Integer> those) {
        for (int n : those) {
            if (scene.runs(n)) {
                scene.kill(n, chance.nextBoolean() ? Duration.ZERO : upToLeases(3));
            }
        }
    }

    private void terminate() {
        int v = victim();
        if (scene.runs(v)) {
            scene.stop(v, upToLeases(2));
        }
    }

    private void release() {
        int h = scene.holder();
        if (h >= 0 && scene.runs(h)) {
            scene.tell(TrialPlan.name(h) + " is told to give the lease back");
            scene.release(h);
        }
    }

    /** One at a time is away; a trial in which a voter loses its memory changes none, so that a majority is left. */
    private void voters() {
        if (spoiltOne && removed < 0 || scene.voters() < 3) {
            return;
        }
        spoiltOne = true;
        int v = removed >= 0 ? removed : victim() % scene.voters();
        scene.tell(TrialPlan.name(v) + (removed >= 0 ? " is to vote" : " is to vote no more"));
        scene.changeVoters(v, removed >= 0);
        removed = removed >= 0 && chance.nextBoolean() ? -1 : v;
    }

    private void slowDisk() {
        int v = victim() % scene.voters();
        Duration by = chance.nextBoolean() ? span(5, 100) : span(100, 2000);
        Duration length = upToLeases(4);
        if (scene.slowDisk(v, by, length)) {
            scene.tell("syncs of " + TrialPlan.name(v) + " take " + by.toMillis() + " ms for " + length.toMillis() + " ms");
        }
    }

    /** One voter of a trial may lose what it had; a torn tail is none. */
    private void spoil(Kind kind) throws IOException {
        int v = victim() % scene.voters();
        if (!scene.runs(v) || kind != Kind.TORN && (spoiltOne || scene.voters() < 3)) {
            return;
        }
        spoiltOne |= kind != Kind.TORN;
        scene.spoil(v, kind, upToLeases(2));
    }
}
