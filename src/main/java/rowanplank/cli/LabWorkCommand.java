package rowanplank.cli;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import rowanplank.config.FleetConfig;
import rowanplank.lab.trial.WorkPlay;

@Command(name = "work", description = {"Plays a rolling restart of all machines in virtual time, for each number that may be out at once;",
    "or how soon the order of work halts by itself, and goes on."})
final class LabWorkCommand implements Callable<Integer> {
    private static final int MOST_NODES = 200;
    private static final int MOST_REQUESTS = 10;

    @Spec
    private CommandSpec spec;
    @Option(names = "--nodes", paramLabel = "N", defaultValue = "20", description = "Each a machine of its own; the first 1, 3 or 5 vote.")
    private int nodes;
    @Option(names = "--halls", paramLabel = "N", defaultValue = "3", description = "Among which they stand in turn.")
    private int halls;
    @Option(names = "--most-out", paramLabel = "N", split = ",", defaultValue = "1,3,10", description = "Out at once, in all.")
    private List<Integer> mostOut;
    @Option(names = "--down", paramLabel = "S", defaultValue = "3", description = "Seconds for which a node is away in its restart.")
    private int down;
    @Option(names = "--settle", paramLabel = "S", defaultValue = "5", description = "As in [fleet.work].")
    private int settle;
    @Option(names = "--seed", paramLabel = "N", defaultValue = "1")
    private long seed;
    @Option(names = "--halts", description = "How soon it halts, in place of a restart.")
    private boolean halts;

    @Override
    public Integer call() {
        if (nodes < 2 || nodes > MOST_NODES || halls < 1 || halls > nodes || mostOut.stream().anyMatch(m -> m < 1) || down < 0 || settle < 0) {
            throw new ParameterException(spec.commandLine(), "from 2 to " + MOST_NODES + " nodes, of halls not more than these");
        }
        if (halts) {
            for (WorkPlay.Reaction r : WorkPlay.reactions(plan(1, MOST_REQUESTS))) {
                System.out.println(r.cause() + ": halts after " + seconds(r.halted()) + ", goes on after " + seconds(r.goesOn()) + ": " + r.told());
            }
            return Status.DONE;
        }
        for (int most : mostOut) {
            WorkPlay.Rolled r = new WorkPlay(plan(most, 0)).roll(Duration.ofHours(2));
            System.out.printf(Locale.ROOT, "most_out %d: %d of %d came back within %.1f s; on average %.2f were away, %d at the most%n",
                    most, r.ended(), nodes, r.all().toMillis() / 1e3, r.away(), r.most());
        }
        return Status.DONE;
    }

    private WorkPlay.Plan plan(int most, int mostRequests) {
        FleetConfig.Halts usual = FleetConfig.Halts.USUAL;
        return new WorkPlay.Plan(nodes, nodes < 3 ? 1 : nodes < 5 ? 3 : 5, halls, most, Math.max(1, (most + halls - 1) / halls),
                Duration.ofSeconds(settle), Duration.ofSeconds(down), new FleetConfig.Halts(usual.leastService(), usual.dead(),
                mostRequests, usual.margin(), usual.zone()), seed);
    }

    private static String seconds(Duration time) {
        return time == null ? "never" : String.format(Locale.ROOT, "%.1f s", time.toMillis() / 1e3);
    }
}
