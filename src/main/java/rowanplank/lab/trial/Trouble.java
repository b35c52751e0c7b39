package rowanplank.lab.trial;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.TreeSet;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * What breaks in a trial, drawn from its seed: one fault after the other, or beside one another, each mended after its
 * time. Kinds are drawn evenly; of the victims, the leader and the holder are chosen more often than others. What was
 * drawn is kept as a list, and such a list can be played instead of drawing.
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

        /** It stands still once it has looked at the time, before it hears anything. @return whether that can be done here */
        boolean holdTurn(int node, Duration length);

        /** Its syncs take so much longer, for that long. @return whether that can be done here */
        boolean slowDisk(int node, Duration by, Duration length);

        /** Nothing can be written there for so long; then it is killed and started. @return whether that can be done here */
        boolean fullDisk(int node, Duration length);

        /** Staff ask the leader, if there is one, for another whole of a budget. */
        void changeWhole();

        /** At all nodes at once more is to be done than before, or that is over. */
        void rush() throws IOException;

        void after(Duration delay, Runnable task);

        void tell(String fault);

        /** What comes next is of this kind. */
        void drawn(Kind kind);
    }

    /** The kinds. */
    public enum Kind {
        NOTHING, LEADER_GONE, HOLDER_GONE, RELEASE, ONE_WAY, PAIR, SICK, ISOLATED, DEAF_LEADER, HALVES, THIRDS, LEADER_AND_HOLDER, STALL, LONG_STALL, HELD_START, KILL, KILL_SEVERAL,
        TERMINATE, SLOW_DISK, FULL_DISK, VOTERS, RELOAD,
        TORN, FLIPPED, LOST,
        /** Of budgets alone. */
        WHOLE, RUSH,
        /** A voter's state is put back to what it was: against what is assumed, so it comes only where it is named. */
        OLDER
    }

    private final Scene scene;
    private final List<Kind> kinds;
    private final Duration gap;
    private final UniformRandomProvider chance;
    private final Duration lease;
    /** What is still to be played; null where it is drawn. */
    private final List<TrialFault> script;
    private final List<TrialFault> brought = new ArrayList<>();
    private long elapsedMs;
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
        this(scene, kinds, gap, lease, chance, null);
    }

    /** @param script what is to break, in order of time; null where it is to be drawn */
    Trouble(Scene scene, List<Kind> kinds, Duration gap, Duration lease, UniformRandomProvider chance,
            List<TrialFault> script) {
        this.scene = scene;
        this.kinds = kinds;
        this.gap = gap;
        this.chance = chance;
        this.lease = lease;
        this.script = script == null ? null : new ArrayList<>(script);
    }

    /** @param length all that is broken is mended by then, but for what is killed at its very end */
    void begin(Duration length) {
        leftMs = length.toMillis();
        nextAfter(script == null ? Duration.ofMillis(chance.nextInt((int) gap.toMillis())) : untilNext());
    }

    /** Whatever has broken so far, in order. */
    List<TrialFault> brought() {
        return List.copyOf(brought);
    }

    private Duration untilNext() {
        return Duration.ofMillis(script.isEmpty() ? leftMs : Math.max(0, script.get(0).atMs() - elapsedMs));
    }

    private void nextAfter(Duration pause) {
        leftMs -= pause.toMillis();
        elapsedMs += pause.toMillis();
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
            if (script == null) {
                draw(kinds.get(chance.nextInt(kinds.size())));
                nextAfter(Duration.ofMillis(50 + (long) (chance.nextDouble() * 2 * gap.toMillis())));
            } else {
                bring(script.remove(0));
                nextAfter(untilNext());
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** One of this kind now, beside those that come by themselves; none where they are played from a list, or are over. */
    void strike(Kind kind) {
        if (!over && script == null && leftMs > 0) {
            try {
                draw(kind);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    // ---- brought about, drawn or not

    /** What can't be done now, as to a node that does not run, is left out. */
    private void bring(TrialFault f) throws IOException {
        brought.add(f);
        if (f.node().isEmpty()) {
            breakWays(f);
            return;
        }
        int n = number(f.node());
        if (n < 0 || n >= scene.nodes()) {
            return;
        }
        Duration length = Duration.ofMillis(f.ms());
        switch (f.what()) {
            case SLOW_DISK -> tellIf(scene.slowDisk(n, Duration.ofMillis(Math.round(f.figures().get(0))), length), f);
            case FULL_DISK -> tellIf(scene.runs(n) && scene.fullDisk(n, length), f);
            case HELD_START -> scene.holdNextStart(n, length);
            case HELD_TURN -> tellIf(scene.runs(n) && scene.holdTurn(n, length), f);
            case RELOAD -> {
                tellIf(true, f);
                scene.reload(n);
            }
            case OUT, IN -> {
                tellIf(true, f);
                scene.changeVoters(n, f.what() == TrialFault.What.IN);
            }
            default -> {
                if (scene.runs(n)) {
                    strike(f, n, length);
                }
            }
        }
    }

    private void strike(TrialFault f, int n, Duration length) throws IOException {
        switch (f.what()) {
            case STALL -> scene.stall(n, length);
            case KILL -> scene.kill(n, length);
            case STOP -> scene.stop(n, length);
            case RELEASE -> {
                tellIf(true, f);
                scene.release(n);
            }
            default -> scene.spoil(n, Kind.valueOf(f.what().name()), length);
        }
    }

    private void tellIf(boolean done, TrialFault f) {
        if (done && !f.note().isEmpty()) {
            scene.tell(f.note());
        }
    }

    private void breakWays(TrialFault f) {
        List<Way> ways = ways(f.ways());
        scene.tell(f.note());
        if (f.what() == TrialFault.What.CUT) {
            ways.forEach(w -> w.cut = true);
            scene.after(Duration.ofMillis(f.ms()), () -> ways.forEach(w -> w.cut = false));
            return;
        }
        for (Way w : ways) {
            w.loss = f.figures().get(0);
            w.doubled = f.figures().get(1);
            w.shortened = f.figures().get(2);
            w.delay = Duration.ofMillis(Math.round(f.figures().get(3)));
            w.spread = Duration.ofMillis(Math.round(f.figures().get(4)));
        }
        scene.after(Duration.ofMillis(f.ms()), () -> ways.forEach(Way::mend));
    }

    private List<Way> ways(List<String> named) {
        List<Way> ways = new ArrayList<>();
        for (String way : named) {
            String[] ends = way.split(">");
            for (int from : numbers(ends[0])) {
                for (int to : numbers(ends[1])) {
                    if (from != to) {
                        ways.add(scene.way(from, to));
                    }
                }
            }
        }
        return ways;
    }

    private TreeSet<Integer> numbers(String name) {
        TreeSet<Integer> numbers = new TreeSet<>();
        for (int n = 0; n < scene.nodes(); n++) {
            if (name.equals("*") || n == number(name)) {
                numbers.add(n);
            }
        }
        return numbers;
    }

    private int number(String name) {
        return name.equals(TrialFault.LEADER) ? scene.leader() : name.equals(TrialFault.HOLDER) ? scene.holder()
                : Integer.parseInt(name.substring(1)) - 1;
    }

    // ---- drawn

    private void bring(TrialFault.What what, int node, Duration length, String note) throws IOException {
        bring(new TrialFault(elapsedMs, what, TrialPlan.name(node), length.toMillis(), List.of(), List.of(), note));
    }

    private static String way(int from, int to) {
        return TrialPlan.name(from) + ">" + TrialPlan.name(to);
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

    private void draw(Kind kind) throws IOException {
        scene.drawn(kind);
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
                    bring(TrialFault.What.HELD_START, scene.holder(),
                            chance.nextBoolean() ? span(10, 190) : upToLeases(3), "");
                }
            }
            case KILL -> kill(List.of(victim()));
            case KILL_SEVERAL -> kill(some());
            case TERMINATE -> terminate();
            case SLOW_DISK -> slowDisk();
            case FULL_DISK -> {
                int v = victim() % scene.voters();
                Duration length = span(100, 2 * lease.toMillis());
                if (scene.runs(v)) {
                    bring(TrialFault.What.FULL_DISK, v, length,
                            "the disk of " + TrialPlan.name(v) + " is full for " + length.toMillis() + " ms");
                }
            }
            case VOTERS -> voters();
            case WHOLE -> scene.changeWhole();
            case RUSH -> scene.rush();
            case RELOAD -> {
                int n = victim();
                bring(TrialFault.What.RELOAD, n, Duration.ZERO, TrialPlan.name(n) + "'s file changes");
            }
            default -> spoil(kind);
        }
    }

    private void leaderAndHolder() throws IOException {
        List<Integer> both = new ArrayList<>();
        both.add(Math.max(0, scene.leader()));
        if (scene.holder() >= 0 && !both.contains(scene.holder())) {
            both.add(scene.holder());
        }
        isolate("leader and holder apart from all others", both, true);
    }

    /** Nothing passes to those from all others, and nothing back where it is both ways. */
    private void isolate(String what, List<Integer> those, boolean bothWays) throws IOException {
        List<String> ways = new ArrayList<>();
        for (int n = 0; n < scene.nodes(); n++) {
            for (int t : those) {
                if (!those.contains(n)) {
                    ways.add(way(n, t));
                    if (bothWays) {
                        ways.add(way(t, n));
                    }
                }
            }
        }
        cut(what + " " + those.stream().map(TrialPlan::name).toList(), upToLeases(4), ways);
    }

    private void cut(String what, Duration length, List<String> ways) throws IOException {
        bring(new TrialFault(elapsedMs, TrialFault.What.CUT, "", length.toMillis(), ways, List.of(),
                what + " for " + length.toMillis() + " ms"));
    }

    /** Some hear nothing of one that hears them. */
    private void oneWay() throws IOException {
        int v = victim();
        List<String> ways = some().stream().filter(n -> n != v).map(n -> way(v, n)).toList();
        cut(ways.size() + " do not hear " + TrialPlan.name(v), upToLeases(3), ways);
    }

    /** Others still reach both. */
    private void pair() throws IOException {
        int a = victim();
        int b = (a + 1 + chance.nextInt(Math.max(1, scene.nodes() - 1))) % scene.nodes();
        if (a != b) {
            cut("no way between " + TrialPlan.name(a) + " and " + TrialPlan.name(b), upToLeases(4),
                    List.of(way(a, b), way(b, a)));
        }
    }

    private void split(int parts) throws IOException {
        int[] part = new int[scene.nodes()];
        StringBuilder text = new StringBuilder("split in " + parts + ":");
        for (int n = 0; n < part.length; n++) {
            part[n] = chance.nextInt(parts);
            text.append(' ').append(part[n]);
        }
        List<String> ways = new ArrayList<>();
        for (int a = 0; a < part.length; a++) {
            for (int b = 0; b < part.length; b++) {
                if (part[a] != part[b]) {
                    ways.add(way(a, b));
                }
            }
        }
        cut(text.toString(), upToLeases(4), ways);
    }

    /** Slow, lossy, doubled, out of order and cut short, all around one node. */
    private void sick() throws IOException {
        String v = TrialPlan.name(victim());
        double loss = chance.nextDouble() * 0.5;
        double doubled = chance.nextDouble() * 0.5;
        double shortened = chance.nextDouble() * 0.2;
        long delay = chance.nextBoolean() ? span(0, lease.toMillis()).toMillis() : 0;
        long spread = span(0, 300).toMillis();
        Duration length = upToLeases(4);
        bring(new TrialFault(elapsedMs, TrialFault.What.SICK, "", length.toMillis(), List.of(v + ">*", "*>" + v),
                List.of(loss, doubled, shortened, (double) delay, (double) spread), String.format(Locale.ROOT,
                "%s: %.2f lost, %.2f doubled, %.2f cut short, %d to %d ms late, for %d ms", v, loss, doubled, shortened,
                delay, delay + spread, length.toMillis())));
    }

    private void stall(Duration length) throws IOException {
        int v = victim();
        if (scene.runs(v)) {
            bring(TrialFault.What.STALL, v, length, "");
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

    private void kill(List<Integer> those) throws IOException {
        for (int n : those) {
            if (scene.runs(n)) {
                bring(TrialFault.What.KILL, n, chance.nextBoolean() ? Duration.ZERO : upToLeases(3), "");
            }
        }
    }

    private void terminate() throws IOException {
        int v = victim();
        if (scene.runs(v)) {
            bring(TrialFault.What.STOP, v, upToLeases(2), "");
        }
    }

    private void release() throws IOException {
        int h = scene.holder();
        if (h >= 0 && scene.runs(h)) {
            bring(TrialFault.What.RELEASE, h, Duration.ZERO, TrialPlan.name(h) + " is told to give the lease back");
        }
    }

    /** One at a time is away; a trial in which a voter loses its memory changes none, so that a majority is left. */
    private void voters() throws IOException {
        if (spoiltOne && removed < 0 || scene.voters() < 3) {
            return;
        }
        spoiltOne = true;
        int v = removed >= 0 ? removed : victim() % scene.voters();
        bring(removed >= 0 ? TrialFault.What.IN : TrialFault.What.OUT, v, Duration.ZERO,
                TrialPlan.name(v) + (removed >= 0 ? " is to vote" : " is to vote no more"));
        removed = removed >= 0 && chance.nextBoolean() ? -1 : v;
    }

    private void slowDisk() throws IOException {
        String v = TrialPlan.name(victim() % scene.voters());
        Duration by = chance.nextBoolean() ? span(5, 100) : span(100, 2000);
        Duration length = upToLeases(4);
        bring(new TrialFault(elapsedMs, TrialFault.What.SLOW_DISK, v, length.toMillis(), List.of(),
                List.of((double) by.toMillis()),
                "syncs of " + v + " take " + by.toMillis() + " ms for " + length.toMillis() + " ms"));
    }

    /** One voter of a trial may lose what it had; a torn tail is none. */
    private void spoil(Kind kind) throws IOException {
        int v = victim() % scene.voters();
        if (!scene.runs(v) || kind != Kind.TORN && (spoiltOne || scene.voters() < 3)) {
            return;
        }
        spoiltOne |= kind != Kind.TORN;
        bring(TrialFault.What.valueOf(kind.name()), v, upToLeases(2), "");
    }
}
