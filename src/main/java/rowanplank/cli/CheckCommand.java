package rowanplank.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;
import rowanplank.config.OperatorFile;
import rowanplank.net.FileAccess;

@Command(name = "check", description = "Names every fault of an operator's file, each with its line and key.")
final class CheckCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "The operator's file (TOML).")
    private String file;

    @Override
    public Integer call() {
        OperatorFile.load(file, FileAccess.SYSTEM);
        System.out.println(file + " can be used");
        return Status.DONE;
    }
}
