package rowanplank.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import rowanplank.simhost.Simhost;

@Command(name = "simhost", description = "The same decisions on a simulator's wire, on standard input and output.")
final class SimhostCommand implements Callable<Integer> {
    @Override
    public Integer call() throws Exception {
        return Simhost.run();
    }
}
