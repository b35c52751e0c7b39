package rowanplank.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import rowanplank.lab.day.Day;
import rowanplank.lab.day.DayEdit;
import rowanplank.lab.day.DayFile;
import rowanplank.net.FileAccess;

@Command(name = "run", description = "Plays a day and prints how its clients were served, and which rules were broken.")
final class LabRunCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "The day, as a TOML file.")
    private Path file;
    @Option(names = "--json", paramLabel = "FILE", description = "Writes the result there as well, as JSON.")
    private Path json;
    @Option(names = "--trace", paramLabel = "FILE", description = "Writes all events there.")
    private Path trace;
    @Option(names = "--seed", paramLabel = "N", description = "Goes before the file's seed.")
    private Long seed;

    @Override
    public Integer call() {
        Day day = DayFile.load(file.toString(), FileAccess.SYSTEM);
        return new DayPlay(json, trace).play(seed == null ? day : DayEdit.withSeed(day, seed));
    }
}
