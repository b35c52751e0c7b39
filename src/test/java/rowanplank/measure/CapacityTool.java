package rowanplank.measure;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.function.IntFunction;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * What each role of the fleet costs at several sizes, and what follows by slope for the size that is wanted of it
 * (docs/CAPACITY.md). Processor time is that of the thread that does the work, so other work on the machine disturbs it
 * little; nothing here needs more than one process.
 */
@Command(name = "capacity", description = "Measures what each role costs at several sizes (docs/CAPACITY.md).",
        subcommands = {CapacityTool.Module.class, CapacityTool.Lists.class, CapacityTool.Subsets.class,
    CapacityTool.Fleets.class, CapacityTool.Watches.class, CapacityTool.Ledgers.class,
    CapacityTool.Datagrams.class})
public final class CapacityTool implements Runnable {
    /** The fleet that is to be had in some two years. */
    static final int NODES = 380;
    static final int SERVERS = 7200;
    static final int CLASSES = 39;
    static final int TENANTS = 2600;
    static final int ZONES = 16;
    static final double REQUESTS = 6600;
    /** What control may cost a node, of a core. */
    static final double CONTROL_PART = 0.014;
    /** Of configuration, each taken for the change of one server, and what restarts and failures of machines add to them. */
    static final double CHANGES_A_SECOND = (9900 + 3 * 660 + 2 * 76) / 86_400.0;
    private static final int WARM = 10;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(new CommandLine(this), "name a part: see --help");
    }

    public static void main(String[] args) {
        System.exit(new CommandLine(new CapacityTool()).execute(args));
    }

    /** A part of the tool. */
    abstract static class Part implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Option(names = "--no-heap", description = "Does not look at the heap, which takes a collection each time.")
        void noHeap(boolean none) {
            Spent.heap(!none);
        }

        final void say(String line, Object... of) {
            spec.commandLine().getOut().printf(Locale.ROOT, line + "%n", of);
            spec.commandLine().getOut().flush();
        }

        /** @param target the size for which figures are wanted; 0 for none */
        final void print(CapacityTable table, double target) {
            spec.commandLine().getOut().print(table.text(target));
            spec.commandLine().getOut().flush();
        }
    }

    @Command(name = "module", description = "The decision module: a request, a list, memory; against servers, nodes, classes and tenants.")
    static final class Module extends Part {
        @Option(names = "--servers", split = ",", defaultValue = "60,240,960,3840,7200")
        private List<Integer> servers;
        @Option(names = "--nodes", split = ",", defaultValue = "24,95,190,380")
        private List<Integer> nodes;
        @Option(names = "--classes", split = ",", defaultValue = "2,10,39")
        private List<Integer> classes;
        @Option(names = "--tenants", split = ",", defaultValue = "0,100,2600")
        private List<Integer> tenants;
        @Option(names = "--requests", defaultValue = "1000", description = "In each of five rounds.")
        private int requests;

        private CapacityTable table(String title, String unit, List<Integer> sizes, IntFunction<ModuleCapacity.Size> size) {
            CapacityTable table = new CapacityTable(title, unit);
            for (int s : sizes) {
                ModuleCapacity.Cost c = ModuleCapacity.measure(size.apply(s), requests);
                table.size(s).with("servers used", c.used()).with("µs a request", c.micros()).with("bytes allocated a request", c.bytes())
                        .with("µs a whole list", c.listMicros()).with("µs a change of one", c.changeMicros())
                        .with("bytes held", c.held());
            }
            return table;
        }

        @Override
        public Integer call() {
            double rate = REQUESTS / NODES;
            int most = servers.get(servers.size() - 1);
            int all = nodes.get(nodes.size() - 1);
            int every = classes.get(classes.size() - 1);
            // What is not yet compiled would count for the first sizes.
            ModuleCapacity.measure(new ModuleCapacity.Size(servers.get(1), 1, ZONES, every, tenants.get(1), rate), WARM * requests);
            CapacityTable alone = table("Decision module, all listed servers used (1 node), " + every + " classes", "servers listed",
                    servers, s -> new ModuleCapacity.Size(s, 1, ZONES, every, 0, rate));
            print(alone, SERVERS);
            double limit = CONTROL_PART * 1e6 / rate;
            say("%.1f %% of a core is %.0f µs a request at %.1f requests a second: reached at %.0f servers used",
                    100 * CONTROL_PART, limit, rate, alone.slope("µs a request").reaches(limit));
            print(table("Decision module, servers divided among " + all + " nodes, " + every + " classes", "servers listed", servers,
                    s -> new ModuleCapacity.Size(s, all, ZONES, every, 0, rate)), SERVERS);
            print(table("Decision module, " + most + " servers listed, " + every + " classes", "nodes", nodes,
                    n -> new ModuleCapacity.Size(most, n, ZONES, every, 0, rate)), 0);
            print(table("Decision module, " + most + " servers listed, " + all + " nodes", "classes", classes,
                    c -> new ModuleCapacity.Size(most, all, ZONES, c, 0, rate)), CLASSES);
            print(table("Decision module, all of " + most + " listed servers used (1 node)", "classes", classes,
                    c -> new ModuleCapacity.Size(most, 1, ZONES, c, 0, rate)), CLASSES);
            print(table("Decision module, " + most + " servers listed, " + all + " nodes, " + every + " classes", "tenants", tenants,
                    t -> new ModuleCapacity.Size(most, all, ZONES, every, t, rate)), TENANTS);
            return 0;
        }
    }

    @Command(name = "lists", description = "An answer of discovery: bytes, processor time and memory, whole and of one change.")
    static final class Lists extends Part {
        @Option(names = "--servers", split = ",", defaultValue = "60,240,960,1920,3840,7200")
        private List<Integer> servers;
        @Option(names = "--nodes", defaultValue = "380")
        private int nodes;
        @Option(names = "--warm", defaultValue = "2000", description = "Milliseconds of processor time that lists are read before.")
        private int warm;
        @Option(names = "--classes", defaultValue = "39")
        private int classes;

        @Override
        public Integer call() {
            CapacityTable table = new CapacityTable("A list, " + nodes + " nodes, " + classes + " classes", "servers listed");
            for (int s : servers) {
                ListCapacity.Cost c = ListCapacity.measure(s, nodes, ZONES, classes, warm * 1_000_000L);
                table.size(s).with("bytes", c.bytes()).with("µs to read", c.parse()).with("µs for the group", c.apply())
                        .with("µs in the module", c.module()).with("bytes allocated", c.allocated()).with("bytes held", c.held())
                        .with("µs for one change", c.change()).with("bytes of one change", c.changeBytes());
            }
            print(table, SERVERS);
            say("%nservers that fit an answer of %d bytes: %d", ListCapacity.MOST_ANSWER_BYTES,
                    ListCapacity.fit(ListCapacity.MOST_ANSWER_BYTES, ZONES));
            return 0;
        }
    }

    @Command(name = "subsets", description = "Servers a node uses and nodes that use a server, counted.")
    static final class Subsets extends Part {
        @Option(names = "--nodes", split = ",", defaultValue = "25,100,200,380")
        private List<Integer> nodes;
        @Option(names = "--servers-a-node", defaultValue = "19")
        private int serversANode;
        @Option(names = "--zones", split = ",", defaultValue = "1,16")
        private List<Integer> zones;

        @Override
        public Integer call() {
            for (int z : zones) {
                CapacityTable table = new CapacityTable("Subsets, " + z + " zones", "nodes");
                for (int n : nodes) {
                    int servers = n == NODES ? SERVERS : n * serversANode;
                    SubsetCapacity.Seen c = SubsetCapacity.count(n, servers, z);
                    table.size(n).with("servers", servers).with("servers a node: least", c.ofNode()[0]).with("mean", c.ofNode()[1])
                            .with("most", c.ofNode()[2]).with("nodes a server: least", c.ofServer()[0])
                            .with("mean of a server", c.ofServer()[1]).with("most of a server", c.ofServer()[2])
                            .with("part in its own zone", c.ownZone());
                }
                print(table, 0);
            }
            return 0;
        }
    }

    /** Which roles of a fleet's node are played. */
    enum Role { MEMBERS, LEASES, BUDGETS, WORK, ALL }

    @Command(name = "fleet", description = "Hollow nodes in virtual time: messages, bytes, processor time and state of each role.")
    static final class Fleets extends Part {
        @Option(names = "--nodes", split = ",", defaultValue = "25,100,200,380")
        private List<Integer> nodes;
        @Option(names = "--voters", defaultValue = "5")
        private int voters;
        @Option(names = "--role", defaultValue = "MEMBERS", description = "${COMPLETION-CANDIDATES}")
        private Role role;
        @Option(names = "--leases", defaultValue = "1", description = "That each node holds.")
        private int leases;
        @Option(names = "--budgets", split = ",", defaultValue = "4", description = "That all share; varied where there is one size only.")
        private List<Integer> budgets;
        @Option(names = "--settle", defaultValue = "60", description = "Virtual seconds before it is counted.")
        private int settle;
        @Option(names = "--seconds", defaultValue = "20", description = "Virtual seconds that are counted.")
        private int seconds;
        @Option(names = "--death", description = "One node is killed at the end.")
        private boolean death;
        @Option(names = "--zone", description = "A zone's nodes are killed, and come back, instead.")
        private boolean zone;

        private HollowFleet.Plan plan(int count, int shared) {
            boolean all = role == Role.ALL;
            return new HollowFleet.Plan(count, Math.min(voters, count), all || role == Role.LEASES ? leases : 0,
                    all || role == Role.BUDGETS ? shared : 0, all || role == Role.WORK);
        }

        @Override
        public Integer call() {
            boolean byBudgets = nodes.size() == 1 && budgets.size() > 1;
            CapacityTable table = new CapacityTable("Hollow fleet, " + role + ", " + voters + " voters", byBudgets ? "budgets" : "nodes");
            CapacityTable zones = new CapacityTable("A zone of " + CapacityTool.ZONES + " lost", "nodes");
            if (!zone) { // what is not yet compiled would count for the first size
                FleetCapacity.measure(plan(nodes.get(0), budgets.get(0)), Duration.ofSeconds(settle), Duration.ofSeconds(seconds), false);
            }
            for (int n : nodes) {
                for (int b : byBudgets ? budgets : budgets.subList(0, 1)) {
                    if (zone) {
                        long[] ms = FleetCapacity.zone(plan(n, b), Duration.ofSeconds(settle), ZONES);
                        zones.size(n).with("of these lost", ms[0]).with("ms until all know", ms[1]).with("ms until all know of its return", ms[2]);
                    } else {
                        row(table.size(byBudgets ? b : n), FleetCapacity.measure(plan(n, b), Duration.ofSeconds(settle),
                                Duration.ofSeconds(seconds), death));
                    }
                }
            }
            print(zone ? zones : table, byBudgets ? 0 : NODES);
            return 0;
        }

        private void row(CapacityTable table, FleetCapacity.Cost c) {
            rate(table, "member", c.seen().member());
            rate(table, "voter", c.seen().voter());
            rate(table, "leader", c.seen().leader());
            table.with("heap a node", c.heldBytes()).with("status µs", c.statusMicros()).with("status bytes", c.statusBytes())
                    .with("disk bytes", c.diskBytes());
            if (role == Role.WORK && c.order() != null) {
                table.with("ms for staff's list", c.order()[0]).with("bytes of it", c.order()[1]).with("datagrams meanwhile", c.order()[2]);
            }
            if (death) {
                table.with("ms until all know of a death", c.knownMs()).with("bytes a node and death", c.deathBytes())
                        .with("bytes a node and restart", c.restartBytes());
            }
        }

        private static void rate(CapacityTable table, String of, HollowFleet.Rate r) {
            table.with(of + " sends B/s", r.sentBytes()).with("sends /s (" + of + ")", r.sent())
                    .with("receives B/s (" + of + ")", r.receivedBytes()).with("receives /s (" + of + ")", r.received())
                    .with("µs/s (" + of + ")", r.micros());
        }
    }

    @Command(name = "watch", description = "Watches of discovery on loopback: calls, bytes and processor time of each; lists too long to be taken.")
    static final class Watches extends Part {
        @Option(names = "--nodes", split = ",", defaultValue = "25,100,200,380")
        private List<Integer> nodes;
        @Option(names = "--servers", defaultValue = "1000")
        private int servers;
        @Option(names = "--changes", split = ",", defaultValue = "0,1,2,4", description = "A second, at the second number of nodes.")
        private List<Integer> changes;
        @Option(names = "--lists", split = ",", defaultValue = "1800,1900,7200", description = "Servers in lists that one node asks for.")
        private List<Integer> lists;
        @Option(names = "--millis", defaultValue = "10000")
        private int millis;

        private static void row(CapacityTable table, WatchCapacity.Cost c) {
            table.with("calls a second and node", c.calls()).with("bytes sent a second", c.sentBytes())
                    .with("bytes received a second", c.receivedBytes()).with("µs a second", c.micros())
                    .with("discovery's µs a second for it", c.discoveryMicros()).with("failures of all", c.failures());
        }

        @Override
        public Integer call() throws Exception {
            Duration length = Duration.ofMillis(millis);
            CapacityTable rest = new CapacityTable("Watches at rest, " + servers + " servers listed", "nodes");
            for (int n : nodes) {
                row(rest.size(n), WatchCapacity.measure(n, servers, Duration.ZERO, length));
            }
            print(rest, CapacityTool.NODES);
            int some = nodes.get(Math.min(1, nodes.size() - 1));
            CapacityTable busy = new CapacityTable("Watches of " + some + " nodes while servers change", "changes a second");
            for (int c : changes) {
                row(busy.size(c), WatchCapacity.measure(some, servers, c == 0 ? Duration.ZERO : Duration.ofSeconds(1).dividedBy(c), length));
            }
            print(busy, CHANGES_A_SECOND);
            for (int l : lists) {
                WatchCapacity.Taken t = WatchCapacity.take(l, length);
                say("a list of %d servers, one node, %d ms: %s; %d malformed, %d failures, %d calls, %d bytes sent to it", l, millis,
                        t.lists() > 0 ? "taken" : "never taken", t.malformed(), t.failures(), t.calls(), t.bytes());
            }
            return 0;
        }
    }

    @Command(name = "ledger", description = "A voter's ledger: entries, snapshots, heap; against holders, leases and budgets.")
    static final class Ledgers extends Part {
        @Option(names = "--holders", split = ",", defaultValue = "100,200,380")
        private List<Integer> holders;
        @Option(names = "--leases", split = ",", defaultValue = "1,4,16", description = "Of each holder.")
        private List<Integer> leases;
        @Option(names = "--budgets", split = ",", defaultValue = "4,16,57", description = "Of which each holder has a part.")
        private List<Integer> budgets;

        private CapacityTable table(String title, String unit, List<Integer> sizes, IntFunction<LedgerCapacity.Size> size) {
            CapacityTable table = new CapacityTable(title, unit);
            for (int s : sizes) {
                LedgerCapacity.Cost c = LedgerCapacity.measure(size.apply(s));
                table.size(s).with("entries", c.entries()).with("bytes of them", c.entryBytes()).with("bytes of a restart", c.restartBytes())
                        .with("µs an entry", c.micros()).with("refused", c.refused()).with("snapshot bytes", c.snapshotBytes())
                        .with("µs to make it", c.snapshotMicros()).with("µs to take it up", c.restoreMicros()).with("heap", c.heldBytes());
            }
            return table;
        }

        @Override
        public Integer call() {
            int all = holders.get(holders.size() - 1);
            print(table("Ledger, one lease each and " + budgets.get(0) + " budgets", "holders", holders,
                    n -> new LedgerCapacity.Size(n, 1, budgets.get(0))), NODES);
            print(table("Ledger, " + all + " holders, no budgets", "leases each", leases,
                    l -> new LedgerCapacity.Size(all, l, 0)), 0);
            print(table("Ledger, " + all + " holders, one lease each", "budgets", budgets,
                    b -> new LedgerCapacity.Size(all, 1, b)), 0);
            say("%nbudgets that a ledger takes of %d: %d; of %d: %d", SERVERS, LedgerCapacity.budgetsTaken(SERVERS), TENANTS,
                    LedgerCapacity.budgetsTaken(TENANTS));
            say("processes that it takes of 2000, each with a session for leases and one for budgets: %d",
                    LedgerCapacity.processesTaken(2000));
            return 0;
        }
    }

    @Command(name = "datagrams", description = "A datagram's processor time in the machine's sockets, sent and received.")
    static final class Datagrams extends Part {
        @Option(names = "--bytes", split = ",", defaultValue = "64,256,1024")
        private List<Integer> bytes;
        @Option(names = "--count", defaultValue = "20000")
        private int count;

        @Override
        public Integer call() throws Exception {
            CapacityTable table = new CapacityTable("A datagram sent and one received, loopback", "bytes");
            for (int b : bytes) {
                table.size(b).with("µs for both", DatagramCapacity.measure(b, count));
            }
            print(table, 0);
            return 0;
        }
    }
}
