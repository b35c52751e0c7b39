package rowanplank.config;

import java.net.InetSocketAddress;
import java.time.DateTimeException;
import java.time.Duration;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeSet;

/**
 * What a node is told of its fleet, by the operator's file.
 *
 * @param name of the fleet: datagrams of another one are dropped
 * @param listen where this node's datagrams come in and go out
 * @param advertised where others find it, as it tells them
 * @param voters who votes when the fleet begins, and where this node reaches each
 * @param peers other nodes that may vote one day, and where this node reaches each
 * @param members other nodes that this one reaches elsewhere than they say
 * @param directory where a voter's state is; null at a node that is none
 * @param leases also that of the picture, where there is to be one
 * @param tasks also the picture's
 * @param pictures where the fleet's picture is written; null where it is not
 * @param sharing budgets, and what uses them
 * @param order in which machines are taken out for work; null where it has no part in that
 */
public record FleetConfig(String name, String node, InetSocketAddress listen, InetSocketAddress advertised,
        Map<String, InetSocketAddress> voters, Map<String, InetSocketAddress> peers,
        Map<String, InetSocketAddress> members, String directory, Timing timing, List<Lease> leases, List<Task> tasks,
        String pictures, Sharing sharing, Order order) {
    /** The lease, and the task, of whoever writes the fleet's picture. */
    public static final String PICTURE = "fleet-picture";

    /**
     * How long things take.
     *
     * @param election after one to two of these without a leader a voter stands
     * @param drift how far any clock's rate is from true time at the most
     * @param session a process that holds nothing and was silent for so long is forgotten
     * @param probe so often a node asks another one whether it lives
     * @param snapshot with so many decided entries behind the last snapshot, a new one is made
     */
    public record Timing(Duration election, Duration heartbeat, double drift, Duration session, Duration probe,
            int snapshot) { }

    private static final int MOST_VOTERS = 7;
    private static final int MOST_LEASES = 1000;
    private static final int MOST_TASKS = 100;
    private static final int MOST_WORDS = 100;
    private static final String NAME = "[A-Za-z0-9._-]{1,64}";

    /** A lease that this node is to hold whenever it can be had. @param length how long it lasts without a renewal */
    public record Lease(String name, Duration length) { }

    /**
     * A command that is run by the holder of a lease only.
     *
     * @param every so often; zero where it is to run always, begun again after it has ended
     * @param once whether no two runs begin in one period, whoever holds the lease: periods of the length of
     *     {@code every}, counted from the beginning of 1970 by clocks on the wall
     * @param longest after so long it is ended
     * @param allowance for how long the node may stand still between its look at the lease and the command's start
     */
    public record Task(String name, String lease, List<String> command, Duration every, boolean once,
            Duration longest, Duration allowance) { }

    /**
     * Budgets of the whole fleet.
     *
     * @param part how long a node's parts last without a renewal
     * @param hold for so long a wish counts that has fallen
     * @param places at each page server; null where each node keeps to its own bound
     */
    public record Sharing(Duration part, Duration hold, List<Budget> budgets, List<Worker> workers, Places places,
            Uses uses) {
        public static final Sharing NONE = new Sharing(Duration.ofSeconds(4), List.of(), List.of(), null);

        /**
         * Which budgets bound what the node itself does.
         *
         * @param tries beyond a request's first; null where no budget bounds them
         * @param triesShare of first tries, so many more at the most
         * @param discovery calls to it; null where no budget bounds them
         */
        public record Uses(String tries, double triesShare, String discovery) {
            public static final Uses NONE = new Uses(null, 1000, null);
        }

        /** How a whole is divided. @param floor in uses, for each node that takes part @param reserve for those that come */
        public record Terms(long floor, long reserve) {
            public static final Terms NONE = new Terms(0, 0);
        }

        public Sharing {
            budgets = List.copyOf(budgets);
            workers = List.copyOf(workers);
        }

        /** One whose places at page servers are not shared. */
        public Sharing(Duration part, List<Budget> budgets, List<Worker> workers) {
            this(part, budgets, workers, null);
        }

        /** One by which a wish that has fallen counts no more at once. */
        public Sharing(Duration part, List<Budget> budgets, List<Worker> workers, Places places) {
            this(part, Duration.ZERO, budgets, workers, places, Uses.NONE);
        }

        /** Of that budget; of a page server's places where the file has no budget of that name. */
        public Terms terms(String budget) {
            return budgets.stream().filter(b -> b.name().equals(budget)).map(Budget::terms).findFirst()
                    .orElse(places == null ? Terms.NONE : places.terms());
        }

        /** After how long a use is over that was looked for now. */
        public Duration longestUse() {
            Duration workers = this.workers.stream().map(w -> w.longest().plus(w.allowance())).max(Duration::compareTo)
                    .orElse(Duration.ZERO);
            return places == null || places.longest().compareTo(workers) < 0 ? workers : places.longest();
        }

        /** For how long a node may stand still between its look at a budget and the use. */
        public Duration allowance(String budget) {
            return workers.stream().filter(w -> w.budget().equals(budget)).map(Worker::allowance).max(Duration::compareTo)
                    .orElse(Duration.ZERO);
        }
    }

    /**
     * A bound for all nodes together.
     *
     * @param rate whether it is so many uses a second; if not, so many at once
     * @param burst of a rate, in uses
     * @param fixed set aside for each node, which it may use though it reaches nobody; of a rate with a burst of one use
     * @param nodes how many nodes have that at the most
     */
    public record Budget(String name, boolean rate, long whole, long burst, long fixed, int nodes, Sharing.Terms terms) {
        /** One without floor or reserve. */
        public Budget(String name, boolean rate, long whole, long burst, long fixed, int nodes) {
            this(name, rate, whole, burst, fixed, nodes, Sharing.Terms.NONE);
        }
    }

    /**
     * Places at each page server.
     *
     * @param whole so many tries at once of all nodes
     * @param fixed of these, set aside for each of so many nodes
     * @param linger a try that was given up holds its place for so long more: by then the server has heard of it
     * @param longest after so long a try is over, at the server too
     * @param cold of these, at a server that is cold; 0 where only the module's own rule bounds them
     * @param byWorth whether a node's part counts by the worth of what it sends, where places are short
     */
    public record Places(long whole, long fixed, int nodes, Duration linger, Duration longest, Sharing.Terms terms,
            boolean byWorth, long cold) {
        /** One without floor or reserve, to which all requests are worth the same. */
        public Places(long whole, long fixed, int nodes, Duration linger, Duration longest) {
            this(whole, fixed, nodes, linger, longest, Sharing.Terms.NONE, false, 0);
        }
    }

    /** A command that all nodes run, as often as a budget allows. @param copies so many at once at this node at the most */
    public record Worker(String name, String budget, int copies, Duration pause, Duration longest, Duration allowance,
            List<String> command) {
        public Worker {
            command = List.copyOf(command);
        }
    }

    /**
     * The order in which machines are taken out for work.
     *
     * @param machine on which this node runs
     * @param mostOut machines that may be out at once, in all and of one hall
     * @param settle ready for so long, a node counts as back
     * @param servesAlone whether a process that comes up and reaches no leader serves after {@code aloneAfter}
     */
    public record Order(String machine, String hall, int mostOut, int mostOutOfHall, Duration settle, boolean servesAlone,
            Duration aloneAfter, Halts halts) {
        /** With the usual halts. */
        public Order(String machine, String hall, int mostOut, int mostOutOfHall, Duration settle, boolean servesAlone,
                Duration aloneAfter) {
            this(machine, hall, mostOut, mostOutOfHall, settle, servesAlone, aloneAfter, Halts.USUAL);
        }
    }

    /**
     * What halts the order of work by itself.
     *
     * @param leastService the part of requests that those at work serve, below which it halts; 0 for never
     * @param dead whether a machine that is dead and not out halts it
     * @param mostRequests at once that one node can bear; 0 where that is not said
     * @param margin of the load that is kept free
     * @param zone of windows
     */
    public record Halts(double leastService, boolean dead, int mostRequests, double margin, ZoneId zone) {
        public static final Halts USUAL = new Halts(0.9, true, 0, 0.2, ZoneOffset.UTC);
    }

    /** One without an order of work. */
    public FleetConfig(String name, String node, InetSocketAddress listen, InetSocketAddress advertised,
            Map<String, InetSocketAddress> voters, Map<String, InetSocketAddress> peers,
            Map<String, InetSocketAddress> members, String directory, Timing timing, List<Lease> leases, List<Task> tasks,
            String pictures, Sharing sharing) {
        this(name, node, listen, advertised, voters, peers, members, directory, timing, leases, tasks, pictures, sharing,
                null);
    }

    /** One without budgets. */
    public FleetConfig(String name, String node, InetSocketAddress listen, InetSocketAddress advertised,
            Map<String, InetSocketAddress> voters, Map<String, InetSocketAddress> peers,
            Map<String, InetSocketAddress> members, String directory, Timing timing, List<Lease> leases, List<Task> tasks,
            String pictures) {
        this(name, node, listen, advertised, voters, peers, members, directory, timing, leases, tasks, pictures,
                Sharing.NONE);
    }

    public FleetConfig {
        voters = Collections.unmodifiableMap(new LinkedHashMap<>(voters));
        peers = Collections.unmodifiableMap(new LinkedHashMap<>(peers));
        members = Collections.unmodifiableMap(new LinkedHashMap<>(members));
        leases = List.copyOf(leases);
        tasks = List.copyOf(tasks);
    }

    /** Whether it votes from the beginning, or may be told to. */
    public boolean isVoter() {
        return voters.containsKey(node) || peers.containsKey(node);
    }

    /** What differs from another file's in a way that a running node can't take up; null where nothing does. */
    public String fixedDifference(FleetConfig other) {
        if (!name.equals(other.name) || !node.equals(other.node)) {
            return "fleet.name or node.name";
        } else if (!listen.equals(other.listen) || !advertised.equals(other.advertised)) {
            return "fleet.listen or fleet.advertise";
        } else if (!voters.equals(other.voters)) {
            return "fleet.voters";
        } else if (!Objects.equals(directory, other.directory) || isVoter() != other.isVoter()) {
            return "state.dir, or whether this node may vote";
        }
        if (!sharing.part().equals(other.sharing.part()) || !sharing.hold().equals(other.sharing.hold())
                || !sharing.uses().equals(other.sharing.uses()) || !sharing.budgets().equals(other.sharing.budgets())
                || !Objects.equals(sharing.places(), other.sharing.places())) {
            return "fleet.budgets or a [[budget]]; fleet budget set changes a whole";
        }
        if (!Objects.equals(order, other.order)) {
            return "fleet.work";
        }
        return timing.equals(other.timing) ? null : "one of fleet.election, heartbeat, drift, session, probe, snapshot";
    }

    /** Of all that vote or may vote. */
    public Map<String, InetSocketAddress> addresses() {
        Map<String, InetSocketAddress> all = new LinkedHashMap<>(voters);
        all.putAll(peers);
        return all;
    }

    /** Reads {@code [fleet]}, {@code [state]}, {@code [[lease]]} and {@code [[task]]}; faults are the file's. */
    static FleetConfig read(TomlSection root, String node) {
        TomlSection fleet = root.section("fleet");
        fleet.require("name");
        fleet.require("listen");
        fleet.require("voters");
        Map<String, InetSocketAddress> voters = named(fleet.section("voters"), new LinkedHashMap<>());
        if (fleet.has("voters") && (voters.size() % 2 == 0 || voters.size() > MOST_VOTERS)) {
            fleet.fault("voters", "must be 1, 3, 5 or 7, not " + voters.size());
        }
        Map<String, InetSocketAddress> peers = named(fleet.section("peers"), voters);
        Map<String, InetSocketAddress> others = new LinkedHashMap<>(voters);
        others.putAll(peers);
        Map<String, InetSocketAddress> members = named(fleet.section("members"), others);
        TomlSection state = root.section("state");
        String directory = state.text("dir", null);
        boolean votes = voters.containsKey(node) || peers.containsKey(node);
        if (votes && directory == null) {
            state.fault("dir", "is missing: " + node + " is a voter, and keeps its state there");
        }
        List<Lease> leases = leases(root);
        List<Task> tasks = tasks(root, leases);
        String pictures = picture(fleet.section("picture"), fleet.has("picture"), votes, leases, tasks);
        InetSocketAddress listen = fleet.address("listen", null);
        return new FleetConfig(name(fleet, "name", "fleet"), node, listen, fleet.address("advertise", listen), voters,
                peers, members, directory, timing(fleet), leases, tasks, pictures, SharingReader.read(root, fleet),
                fleet.has("work") ? order(fleet.section("work"), node) : null);
    }

    private static Order order(TomlSection s, String node) {
        return new Order(name(s, "machine", node), s.has("hall") ? name(s, "hall", "") : "",
                s.integer("most_out", 0, 1000, 1), s.integer("most_out_hall", 0, 1000, s.integer("most_out", 0, 1000, 1)),
                s.duration("settle", Duration.ZERO, Duration.ofHours(1), Duration.ofSeconds(5)),
                s.oneOf("alone", List.of("stay-out", "serve"), "stay-out").equals("serve"),
                s.duration("alone_after", Duration.ofSeconds(1), Duration.ofHours(1), Duration.ofSeconds(30)),
                new Halts(s.number("least_service", 0, 1, Halts.USUAL.leastService()), s.flag("halt_on_dead", true),
                        s.integer("most_requests", 0, 1_000_000, 0), s.number("margin", 0, 10, Halts.USUAL.margin()), zone(s)));
    }

    private static ZoneId zone(TomlSection s) {
        try {
            return s.has("zone") ? ZoneId.of(s.text("zone", "UTC")) : ZoneOffset.UTC;
        } catch (DateTimeException e) {
            s.fault("zone", "must be a zone such as \"Europe/Berlin\" or \"+01:00\"");
            return ZoneOffset.UTC;
        }
    }

    private static Timing timing(TomlSection fleet) {
        Duration election = fleet.duration("election", Duration.ofMillis(50), Duration.ofMinutes(1),
                Duration.ofMillis(400));
        Duration heartbeat = fleet.duration("heartbeat", Duration.ofMillis(5), Duration.ofSeconds(20),
                election.dividedBy(3));
        if (heartbeat.multipliedBy(2).compareTo(election) > 0) {
            fleet.fault("heartbeat", "must be at most half of election");
        }
        return new Timing(election, heartbeat, fleet.number("drift", 0, 0.1, 0.01),
                fleet.duration("session", Duration.ofSeconds(1), Duration.ofHours(1), Duration.ofSeconds(10)),
                fleet.duration("probe", Duration.ofMillis(50), Duration.ofMinutes(1), Duration.ofSeconds(1)),
                fleet.integer("snapshot", 16, 100_000, 1024));
    }

    /** Written by voters only, who know all that it shows. */
    private static String picture(TomlSection s, boolean wanted, boolean votes, List<Lease> leases, List<Task> tasks) {
        Duration every = s.duration("every", Duration.ofMillis(100), Duration.ofHours(1), Duration.ofSeconds(10));
        String directory = s.text("dir", null);
        if (wanted) {
            s.require("dir");
        }
        if (leases.stream().anyMatch(l -> l.name().equals(PICTURE)) || tasks.stream().anyMatch(t -> t.name().equals(PICTURE))) {
            s.fault("dir", "the name " + PICTURE + " is taken by the picture's own lease and task");
        }
        if (wanted && votes) {
            leases.add(new Lease(PICTURE, Duration.ofSeconds(4)));
            tasks.add(new Task(PICTURE, PICTURE, List.of(), every, false, Duration.ofSeconds(1), Duration.ofMillis(500)));
        }
        return wanted && votes ? directory : null;
    }

    static String name(TomlSection section, String key, String otherwise) {
        String name = section.text(key, otherwise);
        if (!name.matches(NAME)) {
            section.fault(key, "must be of 1 to 64 letters, digits, dots, dashes and underlines");
        }
        return name;
    }

    /** @param others whose names and addresses must not stand here as well */
    private static Map<String, InetSocketAddress> named(TomlSection section, Map<String, InetSocketAddress> others) {
        Map<String, InetSocketAddress> found = new LinkedHashMap<>();
        for (String name : section.keys()) {
            if (!name.matches(NAME)) {
                section.fault(name, "is no name of a node");
            }
            if (others.containsKey(name)) {
                section.fault(name, "stands among the voters or peers as well");
            }
            InetSocketAddress address = section.address(name, null);
            if (address != null && (found.containsValue(address) || others.containsValue(address))) {
                section.fault(name, "has the address of another node");
            }
            found.put(name, address);
        }
        return found;
    }

    private static List<Lease> leases(TomlSection root) {
        List<Lease> leases = new ArrayList<>();
        TreeSet<String> names = new TreeSet<>();
        for (TomlSection s : root.sections("lease")) {
            s.require("name");
            Lease lease = new Lease(name(s, "name", "lease"),
                    s.duration("length", Duration.ofMillis(100), Duration.ofHours(1), Duration.ofSeconds(4)));
            requireOnce(s, names, lease.name());
            leases.add(lease);
        }
        if (leases.size() > MOST_LEASES) {
            root.fault("lease", "more than " + MOST_LEASES);
        }
        return leases;
    }

    private static void requireOnce(TomlSection s, TreeSet<String> names, String name) {
        if (!names.add(name) && s.has("name")) {
            s.fault("name", "stands twice: " + name);
        }
    }

    /** By its name a task's runs are claimed: of two of one name, one would take the other's. */
    private static List<Task> tasks(TomlSection root, List<Lease> leases) {
        List<Task> tasks = new ArrayList<>();
        TreeSet<String> names = new TreeSet<>();
        for (TomlSection s : root.sections("task")) {
            Task task = task(s, leases);
            requireOnce(s, names, task.name());
            tasks.add(task);
        }
        if (tasks.size() > MOST_TASKS) {
            root.fault("task", "more than " + MOST_TASKS);
        }
        return tasks;
    }

    private static Task task(TomlSection s, List<Lease> leases) {
        s.require("name");
        s.require("lease");
        s.require("command");
        String lease = s.text("lease", "");
        Duration longest = s.duration("longest", Duration.ofMillis(10), Duration.ofHours(1), Duration.ofSeconds(1));
        Duration allowance = s.duration("allowance", Duration.ZERO, Duration.ofMinutes(1), Duration.ofMillis(200));
        Duration length = leases.stream().filter(l -> l.name().equals(lease)).map(Lease::length).findFirst()
                .orElse(null);
        if (length == null && s.has("lease")) {
            s.fault("lease", "there is no [[lease]] of that name: " + lease);
        } else if (length != null && length.multipliedBy(2).dividedBy(3).compareTo(longest.plus(allowance)) < 0) {
            s.fault("longest", "with the allowance it must be at most two thirds of its lease's length");
        }
        List<String> command = command(s);
        boolean once = s.has("once_in");
        return new Task(name(s, "name", "task"), lease, command, once ? onceIn(s) : every(s), once, longest, allowance);
    }

    static List<String> command(TomlSection s) {
        List<String> command = s.texts("command", List.of());
        if (s.has("command") && (command.isEmpty() || command.size() > MOST_WORDS)) {
            s.fault("command", "must be 1 to " + MOST_WORDS + " words");
        }
        return command;
    }

    private static Duration onceIn(TomlSection s) {
        if (s.has("every") || s.has("always")) {
            s.fault("once_in", "must not stand beside every or always");
        }
        return s.duration("once_in", Duration.ofSeconds(1), Duration.ofDays(366), Duration.ofDays(1));
    }

    private static Duration every(TomlSection s) {
        if (s.flag("always", false)) {
            if (s.has("every")) {
                s.fault("every", "must not stand beside always");
            }
            return Duration.ZERO;
        }
        if (!s.has("every")) {
            s.fault("every", "is missing, and neither always nor once_in is set");
        }
        return s.duration("every", Duration.ofMillis(10), Duration.ofDays(1), Duration.ofSeconds(1));
    }
}
