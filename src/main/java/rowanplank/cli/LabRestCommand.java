package rowanplank.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import rowanplank.lab.trial.AtRest;
import rowanplank.lab.trial.RealFleet;
import rowanplank.lab.trial.VirtualFleet;
import rowanplank.net.Ports;

@Command(name = "rest", description = {"Measures a fleet at rest, with the usual times of an operator's file: bytes, processor",
    "time, memory and starts of real nodes, and how soon all know of a death. One lease, which all want."})
final class LabRestCommand implements Callable<Integer> {
    private static final int MOST_REAL = 30;
    private static final int MOST_VIRTUAL = 200;

    @Spec
    private CommandSpec spec;
    @Option(names = "--nodes", paramLabel = "N", defaultValue = "5", description = "How many; the first 1, 3 or 5 vote.")
    private int nodes;
    @Option(names = "--without", description = "The same nodes without a fleet, to compare with.")
    private boolean without;
    @Option(names = "--virtual", description = "In virtual time: bytes, datagrams, and how soon all know of a death.")
    private boolean virtual;
    @Option(names = "--seed", paramLabel = "N", defaultValue = "1", description = "In virtual time.")
    private long seed;
    @Option(names = "--settle", paramLabel = "T", defaultValue = "20", description = "Seconds before it is counted.")
    private int settle;
    @Option(names = "--seconds", paramLabel = "T", defaultValue = "40", description = "How long is counted.")
    private int seconds;
    @Option(names = "--lease", paramLabel = "MS", defaultValue = "4000", description = "The lease's length, in ms.")
    private int lease;
    @Option(names = "--moving", description = {"Not at rest: the lease is given back all the time, and doors are asked, to see how",
        "long they take to answer."})
    private boolean moving;
    @Option(names = "--busy-disk", description = "The same, beside a disk that is kept busy.")
    private boolean busyDisk;

    @Override
    public Integer call() throws Exception {
        int most = virtual ? MOST_VIRTUAL : MOST_REAL;
        if (nodes < 2 || nodes > most || seconds < 1 || seconds > 3600 || settle < 0 || settle > 3600 || lease < 700) {
            throw new ParameterException(spec.commandLine(),
                    "--nodes 2 to " + most + ", --seconds 1 to 3600, --settle 0 to 3600, --lease from 700");
        }
        System.out.println(nodes + " nodes, " + (without ? "without a fleet" : (nodes < 3 ? 1 : nodes < 5 ? 3 : 5)
                + " of them voters") + ", " + seconds + " s");
        if (virtual) {
            playVirtual();
        } else {
            measure();
        }
        return Status.DONE;
    }

    private void playVirtual() {
        VirtualFleet.Rest r = VirtualFleet.rest(nodes, seed, Duration.ofSeconds(seconds), Duration.ofMillis(lease));
        System.out.printf(Locale.ROOT, "bytes a node and second: mean %.0f, the leader %.0f, most of any other %.0f%n"
                + "datagrams a node and second: mean %.1f%nall others know of a node's death after %d ms%n", r.perNode(),
                r.leader(), r.mostOther(), r.datagrams(), r.knownMs());
    }

    private void measure() throws Exception {
        Path folder = Files.createTempDirectory("rowanplank-rest-");
        RealFleet.Plan fleet = RealFleet.Plan.idle(nodes, !without, Duration.ofMillis(lease), NodeCommand.ofFile());
        try (Ports ports = Ports.apart(); RealFleet real = new RealFleet(fleet, folder, ports)) {
            Thread end = new Thread(real::close, "end");
            Runtime.getRuntime().addShutdownHook(end);
            AtRest.measure(new AtRest.Plan(fleet, Duration.ofSeconds(settle), Duration.ofSeconds(seconds),
                    moving || busyDisk, busyDisk), real, folder).forEach(System.out::println);
            Runtime.getRuntime().removeShutdownHook(end);
        }
    }
}
