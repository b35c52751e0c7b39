package rowanplank.cli;

import java.time.Duration;
import java.util.Arrays;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.function.LongUnaryOperator;
import java.util.stream.LongStream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import rowanplank.lab.trial.ShareTimes;
import rowanplank.lab.trial.VirtualFleet;

@Command(name = "shares", description = {"Measures, in virtual time, how soon the parts of a budget follow nodes that are",
    "killed and nodes that join, and what page servers' places cost a fleet in messages."})
final class LabSharesCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;
    @Option(names = "--nodes", paramLabel = "N", defaultValue = "10", description = "Usually ${DEFAULT-VALUE}.")
    private int nodes;
    @Option(names = "--killed", paramLabel = "N", defaultValue = "7", description = "Of these, at one moment.")
    private int killed;
    @Option(names = "--joined", paramLabel = "N", defaultValue = "10", description = "Beside these, at one moment.")
    private int joined;
    @Option(names = "--part", paramLabel = "MS", defaultValue = "4000", description = "How long parts last without a renewal.")
    private int part;
    @Option(names = "--seed", paramLabel = "N", defaultValue = "1", description = "The first one.")
    private long seed;
    @Option(names = "--seeds", paramLabel = "N", defaultValue = "30", description = "How many, one after the other.")
    private int seeds;
    @Option(names = "--servers", paramLabel = "N", defaultValue = "0",
            description = "Measures messages instead: so many page servers, each used by all nodes.")
    private int servers;

    @Override
    public Integer call() {
        if (nodes < 2 || nodes + joined > 100 || killed < 1 || killed >= nodes && servers == 0 || joined < 1 || part < 700 || part > 10_000
                || seeds < 1 || servers < 0 || servers > 800) {
            throw new ParameterException(spec.commandLine(), "--nodes from 2, with --joined to 100, --killed below --nodes, "
                    + "--part 700 to 10000, --servers 0 to 800");
        }
        Duration length = Duration.ofMillis(part);
        if (servers > 0) {
            VirtualFleet.Rest none = VirtualFleet.rest(nodes, seed, Duration.ofSeconds(20), length, 0);
            VirtualFleet.Rest all = VirtualFleet.rest(nodes, seed, Duration.ofSeconds(20), length, servers);
            System.out.printf(Locale.ROOT, "%d nodes, %d servers: %.0f bytes and %.1f datagrams a node and second, the leader %.0f "
                    + "bytes; without places %.0f, %.1f, %.0f%n", nodes, servers, all.perNode(), all.datagrams(), all.leader(),
                    none.perNode(), none.datagrams(), none.leader());
            return Status.DONE;
        }
        tell(killed + " of " + nodes + " killed, until the others may use 95 %", s -> ShareTimes.afterKill(nodes, killed, s, length));
        tell(joined + " join " + nodes + ", until each has its part", s -> ShareTimes.afterJoin(nodes, joined, s, length));
        return Status.DONE;
    }

    private void tell(String what, LongUnaryOperator measure) {
        long[] ms = LongStream.range(seed, seed + seeds).map(measure).toArray();
        Arrays.sort(ms);
        System.out.printf(Locale.ROOT, "%s: median %d ms, longest %d of %d; never in %d%n", what, ms[seeds / 2], ms[seeds - 1], seeds,
                Arrays.stream(ms).filter(t -> t < 0).count());
    }
}
