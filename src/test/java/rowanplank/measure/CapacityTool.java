package rowanplank.measure;

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
        subcommands = {CapacityTool.Module.class, CapacityTool.Lists.class, CapacityTool.Subsets.class})
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
}
