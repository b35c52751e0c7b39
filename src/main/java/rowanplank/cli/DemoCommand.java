package rowanplank.cli;

import com.eclipsesource.json.WriterConfig;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.LinkedBlockingQueue;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import rowanplank.lab.day.Day;
import rowanplank.lab.day.DayFile;
import rowanplank.lab.live.LiveDay;
import rowanplank.lab.live.LiveResult;
import rowanplank.lab.live.LiveSecond;
import rowanplank.lab.run.Service;
import rowanplank.lab.trace.TraceFile;
import rowanplank.lab.trace.TraceWriter;
import rowanplank.net.FileAccess;
import rowanplank.net.SystemClock;

@Command(name = "demo", description = {"Half a minute of a newspaper's site on this machine: page servers, three nodes",
    "as processes of their own, and clients; a server gets slow, one drains, a node is killed."})
final class DemoCommand implements Callable<Integer> {
    /** As deploy/balancer.toml has a node, with less memory. */
    private static final List<String> NODE = List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xms40m", "-Xmx56m",
            "-XX:+ExitOnOutOfMemoryError");
    private static final String HEAD = "   s  asked  in time   late  refused  failed  lost  99 % in ms  what is going on";

    @Option(names = "--day", paramLabel = "FILE", description = "Plays this day in place of the demo's.")
    private Path file;
    @Option(names = "--out", paramLabel = "DIR",
            description = "Where all that it writes goes; usually a new folder among the system's temporary ones.")
    private Path out;

    /** What is to be printed: the loop must not wait for a terminal. */
    private final BlockingQueue<String> lines = new LinkedBlockingQueue<>(10_000);
    private volatile LiveDay live;

    @Override
    public Integer call() throws IOException, InterruptedException {
        Day day = file == null ? own() : DayFile.load(file.toString(), FileAccess.SYSTEM);
        System.out.printf(Locale.ROOT, "%d page servers, %d nodes as processes of their own, %.0f requests a second for "
                + "%d s; Ctrl-C ends it%n", day.servers().count(), day.nodes().count(), day.clients().rate(),
                day.length().toSeconds());
        Path folder = out == null ? Files.createTempDirectory("rowanplank-demo-") : Files.createDirectories(out);
        Files.writeString(folder.resolve("day.toml"), DayFile.write(day));
        Interrupt interrupt = new Interrupt(() -> {
            if (live != null) {
                live.stop();
            }
        });
        try {
            LiveResult result;
            try (TraceWriter trace = TraceFile.write(folder.resolve("events.trace"))) {
                live = new LiveDay(day, new LiveDay.Manner(folder, NodeCommand.of(NODE), new SystemClock(), trace),
                        new Printed());
                result = play();
            }
            Files.writeString(folder.resolve("result.json"), result.json().toString(WriterConfig.PRETTY_PRINT) + "\n");
            summary(result, folder);
            return result.interrupted()
                    ? Status.failed(Status.INTERRUPTED, "interrupted; the figures are of the part played")
                    : result.crashes() > 0 ? Status.failed(Status.FAILED, "a node ended by itself") : Status.DONE;
        } finally {
            interrupt.close();
        }
    }

    private static Day own() throws IOException {
        try (InputStream in = DemoCommand.class.getResourceAsStream("demo.toml")) {
            return DayFile.read("demo.toml", new String(in.readAllBytes(), StandardCharsets.UTF_8));
        }
    }

    private LiveResult play() throws IOException, InterruptedException {
        Thread printer = new Thread(this::print, "printer");
        printer.setDaemon(true);
        printer.start();
        // Whatever ends this process, by a signal or by itself, ends those that it started.
        Runtime.getRuntime().addShutdownHook(new Thread(live::endProcesses, "end"));
        try {
            return live.play();
        } finally {
            live.endProcesses();
            lines.offer(live.processes() == 0 ? "all nodes have ended" : live.processes() + " nodes have not ended");
            printer.interrupt();
            printer.join();
        }
    }

    /** Prints until it is interrupted, and then what is left. */
    private void print() {
        try {
            while (true) {
                System.out.println(lines.take());
            }
        } catch (InterruptedException e) {
            for (String line; (line = lines.poll()) != null;) {
                System.out.println(line);
            }
        }
    }

    private final class Printed implements LiveDay.Listener {
        private boolean begun;

        @Override
        public void says(String line) {
            lines.offer(line);
        }

        @Override
        public void second(LiveSecond s) {
            if (!begun) {
                begun = true;
                lines.offer(HEAD);
            }
            lines.offer(String.format(Locale.ROOT, "%4d  %5d  %5.1f %%  %5d  %7d  %6d  %4d  %10.0f  %s", s.number(),
                    s.asked(), 100 * s.shareInTime(), s.late(), s.refused(), s.failed(), s.lost(),
                    s.p99().toNanos() / 1e6, s.goingOn()));
        }
    }

    private static void summary(LiveResult r, Path folder) {
        long asked = r.service().classes().stream().mapToLong(Service.OfClass::asked).sum();
        long inTime = r.service().classes().stream().mapToLong(Service.OfClass::inAim).sum();
        System.out.printf(Locale.ROOT, "%n%d of %d requests served in time, %.1f %%%n", inTime, asked,
                100.0 * inTime / Math.max(1, asked));
        System.out.print(r.service().text());
        System.out.printf(Locale.ROOT, "this process's own timers: 99 %% at most %.1f ms late, the latest %.1f ms%n",
                r.late99().toNanos() / 1e6, r.latest().toNanos() / 1e6);
        System.out.println("day, events, figures, the nodes' configurations and logs: " + folder);
        System.out.flush();
    }
}
