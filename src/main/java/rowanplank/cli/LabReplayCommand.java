package rowanplank.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import rowanplank.config.ConfigException;
import rowanplank.lab.day.DayFile;
import rowanplank.lab.trial.TrialFile;
import rowanplank.lab.trial.TrialResult;
import rowanplank.net.FileAccess;

@Command(name = "replay", description = {"Plays a day that a hunt has found, or a trial that",
    "lab fleet --shrink has written, as it was found."})
final class LabReplayCommand implements Callable<Integer> {
    private static final int MOST_BYTES = 4 << 20;

    @Parameters(paramLabel = "FILE", description = "As it was written.")
    private Path file;
    @Option(names = "--trace", paramLabel = "FILE", description = "Writes all events of a day there.")
    private Path trace;

    @Override
    public Integer call() {
        String text = read(file);
        if (TrialFile.isOne(text)) {
            TrialResult played = TrialFile.read(file.toString(), text).play();
            System.out.print(played.text());
            return played.findings().isEmpty() ? Status.DONE : Status.RULE_BROKEN;
        }
        return new DayPlay(null, trace).play(DayFile.read(file.toString(), text));
    }

    /** @throws ConfigException with one line, where it can't be read */
    static String read(Path file) {
        try {
            return FileAccess.SYSTEM.read(file.toString(), MOST_BYTES);
        } catch (IOException e) {
            throw new ConfigException(file + ": can't be read: " + e);
        }
    }
}
