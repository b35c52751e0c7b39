package rowanplank.cli;

import java.io.IOException;
import java.nio.file.FileAlreadyExistsException;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import rowanplank.config.ConfigException;
import rowanplank.config.FleetConfig;
import rowanplank.config.OperatorFile;
import rowanplank.fleet.wire.VoterFileCodec;
import rowanplank.net.DirectoryFiles;
import rowanplank.net.FileAccess;

@Command(name = "init", description = {"Makes a voter's state, once in its life. A voter whose disk was lost must not be",
    "made again under its name: it would have forgotten what it voted."})
final class FleetInitCommand implements Callable<Integer> {
    @Option(names = "--config", paramLabel = "FILE", required = true, description = "The voter's operator's file (TOML).")
    private String file;

    @Override
    public Integer call() throws IOException {
        FleetConfig fleet = OperatorFile.load(file, FileAccess.SYSTEM).fleet();
        if (fleet == null || !fleet.isVoter()) {
            throw new ConfigException(file + ": fleet.voters: this node is no voter, and has no state");
        }
        try {
            new DirectoryFiles().create(fleet.directory(), VoterFileCodec.create(fleet.name(), fleet.node(),
                    List.copyOf(fleet.voters().keySet())).bytes());
        } catch (FileAlreadyExistsException e) {
            return Status.failed(Status.FAILED, fleet.directory() + ": there is a voter's state already");
        }
        System.out.println("state of voter " + fleet.node() + " of fleet " + fleet.name() + " made in "
                + fleet.directory());
        return Status.DONE;
    }
}
