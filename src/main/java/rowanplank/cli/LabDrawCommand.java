package rowanplank.cli;

import java.util.Arrays;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import rowanplank.config.ConfigException;
import rowanplank.lab.day.Day;
import rowanplank.lab.day.DayDraw;
import rowanplank.lab.day.DayFile;

@Command(name = "draw", description = "Draws a day and prints its file.")
final class LabDrawCommand implements Callable<Integer> {
    private static final String RANDOM = "random";

    static final class Kinds implements Iterable<String> {
        static List<String> all() {
            return Stream.concat(Stream.of(RANDOM), Arrays.stream(DayDraw.Named.values()).map(Kinds::name)).toList();
        }

        static String name(DayDraw.Named kind) {
            return kind.name().toLowerCase(Locale.ROOT).replace('_', '-');
        }

        @Override
        public Iterator<String> iterator() {
            return all().iterator();
        }
    }

    @Option(names = "--kind", paramLabel = "KIND", defaultValue = RANDOM, completionCandidates = Kinds.class,
            description = "${COMPLETION-CANDIDATES}; usually ${DEFAULT-VALUE}.")
    private String kind;
    @Option(names = "--seed", paramLabel = "N", defaultValue = "1", description = "Usually ${DEFAULT-VALUE}.")
    private long seed;
    @Option(names = "--nodes", paramLabel = "N", defaultValue = "3", description = "Usually ${DEFAULT-VALUE}.")
    private int nodes;

    @Override
    public Integer call() {
        LabHuntCommand.requireNodes(nodes);
        System.out.print(DayFile.write(draw()));
        return Status.DONE;
    }

    private Day draw() {
        if (kind.equals(RANDOM)) {
            return DayDraw.random(seed, nodes);
        }
        for (DayDraw.Named named : DayDraw.Named.values()) {
            if (Kinds.name(named).equals(kind)) {
                return DayDraw.named(named, seed, nodes);
            }
        }
        throw new ConfigException("no kind of day: " + kind + "; there are " + String.join(", ", Kinds.all()));
    }
}
