package rowanplank.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

@Command(name = "serve", description = {"One node on the machine's own sockets, until it is told to stop.",
    "EDGE_CONFIG names its configuration; EDGE_NAME, EDGE_LISTEN and EDGE_DISCOVERY go before what stands there."})
final class ServeCommand implements Callable<Integer> {
    @Override
    public Integer call() throws Exception {
        return Serve.run(System.getenv());
    }
}
