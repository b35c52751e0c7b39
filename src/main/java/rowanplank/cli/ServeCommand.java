package rowanplank.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

@Command(name = "serve", description = {"One node on the machine's own sockets, until it is told to stop.",
    "EDGE_CONFIG names its configuration; EDGE_NAME, EDGE_LISTEN and EDGE_DISCOVERY go before what stands there."})
final class ServeCommand implements Callable<Integer> {
    static final String END_WITH_INPUT = "--end-with-input";

    @Option(names = END_WITH_INPUT, description = {"Stops when standard input ends: for a node that another program",
        "starts, and that must not outlive it."})
    private boolean endWithInput;

    @Override
    public Integer call() throws Exception {
        if (endWithInput) {
            Serve.endWithInput();
        }
        return Serve.run(System.getenv());
    }
}
