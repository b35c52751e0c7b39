package rowanplank.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import rowanplank.config.ConfigException;
import rowanplank.lab.day.Day;
import rowanplank.lab.day.DayFile;
import rowanplank.lab.live.LiveSiteRun;
import rowanplank.lab.trace.TraceFile;
import rowanplank.lab.trace.TraceWriter;
import rowanplank.net.FileAccess;
import rowanplank.net.Ports;
import rowanplank.net.SystemClock;

@Command(name = "site", description = {"A day's page servers and discovery on loopback, in real time, for nodes and",
    "clients that you start; until the day is over, or it is interrupted."})
final class LabSiteCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "The day, as a TOML file.")
    private Path file;
    @Option(names = "--port", paramLabel = "N", defaultValue = "7070", description = {
        "The first of the ports: the nodes', then the others. 0 takes whichever are free. Usually ${DEFAULT-VALUE}."})
    private int port;
    @Option(names = "--out", paramLabel = "DIR", defaultValue = ".",
            description = "Where each node's configuration (NAME.json) and environment (NAME.env) go; usually here.")
    private Path out;
    @Option(names = "--trace", paramLabel = "FILE", description = "Writes all events of the site there.")
    private Path trace;

    @Override
    public Integer call() throws IOException, InterruptedException {
        if (port < 0 || port > 60_000) {
            throw new ConfigException("--port must be from 0 to 60000, not " + port);
        }
        Day day = DayFile.load(file.toString(), FileAccess.SYSTEM);
        Files.createDirectories(out);
        try (TraceWriter events = trace == null ? null : TraceFile.write(trace)) {
            LiveSiteRun run = new LiveSiteRun(day, new SystemClock(), e -> {
                if (events != null) {
                    events.tell(e);
                }
            });
            run.start(port == 0 ? Ports.free() : Ports.from(port), out).forEach(System.out::println);
            System.out.println("ready, for " + run.length().toSeconds() + " s");
            Interrupt interrupt = new Interrupt(run::stop);
            try {
                run.await().forEach(System.out::println);
                System.out.flush();
            } finally {
                interrupt.close();
            }
        }
        return Status.DONE;
    }
}
