package rowanplank.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import rowanplank.fleet.FleetComponents;

@Command(name = "serve", description = {"One node on the machine's own sockets, until it is told to stop.",
    "EDGE_CONFIG names its configuration; EDGE_NAME, EDGE_LISTEN and EDGE_DISCOVERY go before what stands there."})
final class ServeCommand implements Callable<Integer> {
    static final String END_WITH_INPUT = "--end-with-input";

    @Option(names = END_WITH_INPUT, description = {"Stops when standard input ends: for a node that another program",
        "starts, and that must not outlive it."})
    private boolean endWithInput;

    @Option(names = "--config", paramLabel = "FILE", description = {"The operator's file (TOML), in place of all that",
        "the platform tells by EDGE_ variables; see deploy/fleet/."})
    private String file;

    @Override
    public Integer call() throws Exception {
        if (endWithInput) {
            Serve.endWithInput();
        }
        return file == null ? Serve.run(System.getenv()) : Serve.run(file, new FleetComponents());
    }
}
