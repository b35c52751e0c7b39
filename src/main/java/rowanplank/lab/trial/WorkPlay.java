package rowanplank.lab.trial;

import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import rowanplank.config.FleetConfig;
import rowanplank.fleet.FleetNode;
import rowanplank.fleet.wire.VoterFileCodec;
import rowanplank.ledger.Ask;
import rowanplank.ledger.Command;
import rowanplank.ledger.Result;

/**
 * Whole nodes in virtual time that are worked on: machines in halls, staff, clients that leave a draining node after a
 * while, and processes that are started again. All go by an operator's usual times.
 */
public final class WorkPlay {
    /** Usual for a drain; see the node's lifecycle. */
    private static final Duration DRAIN = Duration.ofMillis(1700);
    private static final Duration STEP = Duration.ofMillis(50);
    private static final String FLEET = "press";
    /** Requests at once at each node. */
    private static final long OPEN = 5;

    /**
     * @param nodes each a machine of its own
     * @param halls among which they stand in turn
     * @param down how long a process is away when it is started anew
     */
    public record Plan(int nodes, int voters, int halls, int mostOut, int mostOutOfHall, Duration settle, Duration down,
            FleetConfig.Halts halts, long seed) { }

    /** @param halted after the cause, until the leader said so; @param goesOn after the cause was gone */
    public record Reaction(String cause, Duration halted, Duration goesOn, String told) { }

    /** @param away on average, of all machines; @param most at once */
    public record Rolled(Duration all, double away, int most, int ended) { }

    private final Plan plan;
    private final VirtualFleet fleet;
    private final List<Seat> seats = new ArrayList<>();
    private long numbers;
    private Seat leads;
    private double failing;
    private long load = OPEN;

    /** A machine with its node, or without one. */
    final class Seat implements FleetNode.Clients {
        final String name;
        VirtualFleet.Node node;
        /** By hand. */
        boolean evacuated;
        boolean slowClient;
        long served;
        long failed;
        long open;
        private boolean byTurn = true;
        private Duration drains = Duration.ZERO;
        private VirtualFleet.Node stoppedFor;

        Seat(String name) {
            this.name = name;
        }

        @Override
        public void drain() {
            byTurn = true;
            drains = fleet.now();
        }

        @Override
        public void rejoin() {
            byTurn = false;
        }

        @Override
        public boolean isEmpty() {
            return !slowClient && !isReady() && fleet.now().compareTo(drains.plus(DRAIN)) >= 0;
        }

        @Override
        public boolean isReady() {
            return node != null && !byTurn && !evacuated;
        }

        @Override
        public Ask.Service serviceCounts() {
            return new Ask.Service(served, 0, failed, open, 0, 0);
        }

        void kill() {
            node.kill();
            node = null;
        }

        /** Another process. @param from null for a machine that has lost its disk's state since, and votes not */
        void start(VirtualFleet.Node from) {
            byTurn = true;
            drains = fleet.now().minus(DRAIN);
            served = 0;
            failed = 0;
            node = from.startAgain(this);
        }

        /** As whatever runs the node does on a restart. */
        void restart() {
            VirtualFleet.Node old = node;
            if (old != null && stoppedFor != old) {
                stoppedFor = old;
                old.stop(() -> {
                    node = null;
                    fleet.after(plan.down(), () -> start(old));
                });
            }
        }

        /** What its part is now, as it knows it. */
        String turn() {
            return node == null ? "" : node.status().get("turn").asObject().getString("state", "");
        }
    }

    public WorkPlay(Plan plan) {
        this.plan = plan;
        fleet = new VirtualFleet(plan.seed());
        Map<String, InetSocketAddress> voters = VirtualFleet.voters(plan.voters());
        for (int n = 0; n < plan.nodes(); n++) {
            Seat seat = new Seat(TrialPlan.name(n));
            seats.add(seat);
            seat.node = fleet.start(config(n, voters), n >= plan.voters() ? null
                    : VoterFileCodec.create(FLEET, seat.name, List.copyOf(voters.keySet())).bytes(), seat);
        }
        pass(Duration.ofSeconds(15));
    }

    private FleetConfig config(int n, Map<String, InetSocketAddress> voters) {
        Map<String, InetSocketAddress> members = new LinkedHashMap<>();
        for (int m = plan.voters(); m < plan.nodes(); m++) {
            if (m != n) {
                members.put(TrialPlan.name(m), VirtualFleet.at(m + 1));
            }
        }
        return new FleetConfig(FLEET, TrialPlan.name(n), VirtualFleet.at(n + 1), VirtualFleet.at(n + 1), voters, new TreeMap<>(),
                members, n < plan.voters() ? TrialPlan.name(n) : null, new FleetConfig.Timing(Duration.ofMillis(400),
                Duration.ofNanos(133_333_333), 0.01, Duration.ofSeconds(10), Duration.ofSeconds(1), 1024), List.of(), List.of(),
                null, FleetConfig.Sharing.NONE, new FleetConfig.Order(TrialPlan.name(n), "hall" + n % plan.halls(),
                plan.mostOut(), plan.mostOutOfHall(), plan.settle(), false, Duration.ofSeconds(30), plan.halts()));
    }

    VirtualFleet fleet() {
        return fleet;
    }

    Seat seat(String name) {
        return seats.stream().filter(s -> s.name.equals(name)).findFirst().orElseThrow();
    }

    List<Seat> seats() {
        return seats;
    }

    void pass(Duration time) {
        fleet.pass(time);
    }

    /** Null where nobody leads. */
    Seat leader() {
        if (leads == null || !isLeader(leads)) {
            leads = seats.stream().limit(plan.voters()).filter(WorkPlay::isLeader).findFirst().orElse(null);
        }
        return leads;
    }

    private static boolean isLeader(Seat s) {
        return s.node != null && s.node.status().getString("role", "").equals("leader");
    }

    /** Asks at one node, and waits for the answer; null where it is not known. */
    Result say(Seat at, Command.StaffWord what, boolean restart, String... machines) {
        return say(at, new Command.Staff(++numbers, what, List.of(machines), at.name, "", false, restart, 1_800_000));
    }

    Result say(Seat at, Command.Staff words) {
        Result[] said = new Result[1];
        boolean[] told = new boolean[1];
        at.node.say(words, r -> {
            said[0] = r;
            told[0] = true;
        });
        Duration from = fleet.now();
        while (!told[0] && fleet.now().compareTo(from.plusSeconds(4)) < 0) {
            pass(STEP);
        }
        return said[0];
    }

    JsonObject work() {
        Seat leader = leader();
        return leader == null ? null : leader.node.status().get("work").asObject();
    }

    /** Empty where nothing is asked of it, or nobody leads. */
    String state(String machine) {
        JsonObject work = work();
        for (JsonValue v : work == null ? List.<JsonValue>of() : work.get("lines").asArray()) {
            if (v.asObject().getString("machine", "").equals(machine)) {
                return v.asObject().getString("state", "");
            }
        }
        return "";
    }

    String standing() {
        JsonObject work = work();
        return work == null ? "" : work.getString("held", "").isEmpty() ? work.getString("halted", "") : work.getString("held", "");
    }

    /** @return how long it took; null where it was not so within that time */
    Duration until(Duration most, Predicate<WorkPlay> what) {
        Duration from = fleet.now();
        while (!what.test(this)) {
            if (fleet.now().compareTo(from.plus(most)) > 0) {
                return null;
            }
            pass(STEP);
        }
        return fleet.now().minus(from);
    }

    /** Those that are out are started anew, as whatever runs them does. */
    void restartThoseThatAreOut() {
        JsonObject work = work();
        for (JsonValue v : work == null ? List.<JsonValue>of() : work.get("lines").asArray()) {
            if (v.asObject().getString("state", "").equals("out")) {
                Seat s = seat(v.asObject().getString("machine", ""));
                if (s.turn().equals("out")) {
                    s.restart();
                }
            }
        }
    }

    /** A rolling restart of all. */
    public Rolled roll(Duration most) {
        say(seats.get(0), Command.StaffWord.ASK, true, seats.stream().map(s -> s.name).toArray(String[]::new));
        Duration from = fleet.now();
        double sum = 0;
        int looks = 0;
        int mostAway = 0;
        do {
            restartThoseThatAreOut();
            pass(STEP);
            int away = (int) seats.stream().filter(s -> !s.isReady()).count();
            sum += away;
            looks++;
            mostAway = Math.max(mostAway, away);
        } while (!isOver() && fleet.now().compareTo(from.plus(most)) < 0);
        JsonObject work = work();
        return new Rolled(fleet.now().minus(from), sum / looks, mostAway, work == null ? 0 : work.get("history").asArray().size());
    }

    private boolean isOver() {
        JsonObject work = work();
        return work != null && work.get("lines").asArray().isEmpty();
    }

    /** How soon each halt comes once its cause is there, and how soon the order goes on once it is gone. */
    public static List<Reaction> reactions(Plan plan) {
        List<Reaction> all = new ArrayList<>();
        all.add(reaction(plan, "a node is killed", (play, seat) -> {
            VirtualFleet.Node was = seat.node;
            seat.kill();
            return () -> seat.start(was);
        }));
        all.add(reaction(plan, "a node is drained by hand", (play, seat) -> {
            seat.evacuated = true;
            return () -> seat.evacuated = false;
        }));
        all.add(reaction(plan, "of 10 requests 8 are served", (play, seat) -> play.becomes(0.2, OPEN)));
        all.add(reaction(plan, "the load doubles", (play, seat) -> play.becomes(0, 2 * OPEN)));
        return all;
    }

    private Runnable becomes(double fails, long open) {
        failing = fails;
        load = open;
        return () -> {
            failing = 0;
            load = OPEN;
        };
    }

    /** 100 requests a second at each node that serves. */
    private void serve() {
        for (Seat s : seats) {
            s.failed += s.isReady() ? Math.round(10 * failing) : 0;
            s.served += s.isReady() ? Math.round(10 - 10 * failing) : 0;
            s.open = s.isReady() ? load : 0;
        }
        fleet.after(Duration.ofMillis(100), this::serve);
    }

    private interface Cause {
        /** @return what ends it */
        Runnable begin(WorkPlay play, Seat seat);
    }

    private static Reaction reaction(Plan plan, String name, Cause cause) {
        for (Duration wait = Duration.ZERO; wait.compareTo(Duration.ofSeconds(20)) < 0; wait = wait.plusMillis(200)) {
            WorkPlay play = new WorkPlay(plan);
            play.serve();
            play.pass(Duration.ofSeconds(12));
            Runnable end = cause.begin(play, play.seats.get(plan.nodes() - 1));
            play.pass(wait);
            String machine = play.seats.get(1).name;
            play.say(play.seats.get(0), Command.StaffWord.ASK, false, machine);
            play.pass(Duration.ofMillis(300));
            if (play.state(machine).equals("asked")) {
                String told = play.standing();
                end.run();
                return new Reaction(name, wait, play.until(Duration.ofMinutes(2), p -> !p.state(machine).equals("asked")), told);
            }
        }
        return new Reaction(name, null, null, "it does not halt");
    }
}
