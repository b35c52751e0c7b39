package rowanplank.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import rowanplank.lab.day.DayFile;
import rowanplank.net.FileAccess;

@Command(name = "replay", description = "Plays a day that a hunt has found, as it was found.")
final class LabReplayCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "The day, as the hunt wrote it.")
    private Path file;
    @Option(names = "--trace", paramLabel = "FILE", description = "Writes all events there.")
    private Path trace;

    @Override
    public Integer call() {
        return new DayPlay(null, trace).play(DayFile.load(file.toString(), FileAccess.SYSTEM));
    }
}
