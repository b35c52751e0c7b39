package rowanplank.cli;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import rowanplank.config.ConfigException;
import rowanplank.config.FleetConfig.Places;
import rowanplank.config.FleetConfig.Sharing;
import rowanplank.lab.day.FleetDay;
import rowanplank.lab.hunt.Pairs;
import rowanplank.lab.policy.Policies;
import rowanplank.lab.run.DayRun;
import rowanplank.lab.run.PolicyNodes;
import rowanplank.net.SystemClock;

@Command(name = "budgets", description = {"Plays days of failure in three ways, each day alike: places at page servers divided",
    "by the number of nodes, places as budgets of the fleet, and a policy that sees the true state of all servers."})
final class LabBudgetsCommand implements Callable<Integer> {
    @Option(names = "--kind", paramLabel = "KIND", split = ",", description = "Days: ${COMPLETION-CANDIDATES}; usually all.")
    private List<FleetDay> kinds = List.of(FleetDay.values());
    @Option(names = "--nodes", paramLabel = "N", defaultValue = "3", description = "Usually ${DEFAULT-VALUE}.")
    private int nodes;
    @Option(names = "--seed", paramLabel = "N", defaultValue = "1", description = "The first one.")
    private long seed;
    @Option(names = "--seeds", paramLabel = "N", defaultValue = "30", description = "How many, one after the other.")
    private int seeds;
    @Option(names = "--load", paramLabel = "X", defaultValue = "1", description = "So many times the usual rate of requests.")
    private double load;
    @Option(names = "--places", paramLabel = "N", defaultValue = "4", description = "At each page server, of all nodes.")
    private long places;
    @Option(names = "--fixed", paramLabel = "N", defaultValue = "0", description = "Of these, set aside for each node.")
    private long fixed;
    @Option(names = "--part", paramLabel = "MS", defaultValue = "4000", description = "How long parts last without a renewal.")
    private long part;
    @Option(names = "--hold", paramLabel = "MS", defaultValue = "0", description = "How long a wish counts that has fallen.")
    private long hold;
    @Option(names = "--floor", paramLabel = "N", defaultValue = "0", description = "Places for each node that uses a server.")
    private long floor;
    @Option(names = "--reserve", paramLabel = "N", defaultValue = "0", description = "Places kept for nodes that come.")
    private long reserve;
    @Option(names = "--cold", paramLabel = "N", defaultValue = "0", description = "Places at a cold server; 0: the module's rule alone.")
    private long cold;
    @Option(names = "--threads", paramLabel = "N", defaultValue = "4", description = "How many days at a time.")
    private int threads;

    @Override
    public Integer call() throws InterruptedException {
        LabHuntCommand.requireNodes(nodes);
        if (seeds < 1 || !(load > 0) || places < 1 || fixed < 0 || fixed * nodes > places || part < 200 || threads < 1) {
            throw new ConfigException("--seeds, --load, --places and --threads must be above zero, --part at least 200, "
                    + "and --fixed times --nodes at most --places");
        }
        Sharing sharing = new Sharing(Duration.ofMillis(part), Duration.ofMillis(hold), List.of(), List.of(), new Places(places,
                fixed, nodes, Duration.ofMillis(50), Duration.ofSeconds(4), new Sharing.Terms(floor, reserve), false, cold),
                Sharing.Uses.NONE);
        DayRun.Manner usual = DayRun.Manner.usual(new SystemClock());
        Map<String, DayRun.Manner> ways = new LinkedHashMap<>();
        ways.put("fixed parts", usual);
        ways.put("budgets", usual.withSharing(sharing));
        ways.put("omniscient", usual.withNodes(new PolicyNodes(Policies.named("omniscient-near"))));
        boolean clean = true;
        ExecutorService pool = Executors.newFixedThreadPool(threads);
        try {
            for (FleetDay kind : kinds) {
                System.out.printf(Locale.ROOT, "%s, %d nodes, %d seeds from %d, load %.2f: %s%n",
                        kind.name().toLowerCase(Locale.ROOT), nodes, seeds, seed, load, kind.what());
                for (Pairs.Mean m : new Pairs(ways, s -> kind.draw(s, nodes, load)).play(pool, seed, seeds)) {
                    System.out.println("  " + m.text());
                    clean &= m.broken().isEmpty() || m.way().equals("omniscient");
                }
                System.out.flush();
            }
        } finally {
            pool.shutdownNow();
        }
        return clean ? Status.DONE : Status.RULE_BROKEN;
    }
}
