package rowanplank.cli;

import com.eclipsesource.json.WriterConfig;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.HistogramLogWriter;
import org.tomlj.Toml;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import rowanplank.config.ConfigException;
import rowanplank.lab.day.DayFile;
import rowanplank.lab.load.LoadFile;
import rowanplank.lab.load.LoadPlan;
import rowanplank.lab.load.LoadResult;
import rowanplank.lab.load.LoadRun;
import rowanplank.net.FileAccess;
import rowanplank.net.SystemClock;

@Command(name = "load", description = {"Asks real targets over HTTP/1.1, each request when it is due, whatever has",
    "become of earlier ones, and measures from then. Each thread takes a core whole."})
final class LabLoadCommand implements Callable<Integer> {
    private static final int MOST_BYTES = 1 << 20;
    private static final String OPTIONS = "options";

    @Parameters(paramLabel = "FILE", arity = "0..1", description = "What to ask, as a TOML file.")
    private Path file;
    @Option(names = "--day", paramLabel = "FILE", description = "Asks as the clients of this day do; before FILE.")
    private Path day;
    @Option(names = "--target", paramLabel = "ADDRESS", description = "Such as 127.0.0.1:7070; may be there repeatedly.")
    private List<String> targets = new ArrayList<>();
    @Option(names = "--rate", paramLabel = "N", description = "Requests a second.")
    private Double rate;
    @Option(names = "--length", paramLabel = "TIME", description = "How long is counted, such as 30s.")
    private String length;
    @Option(names = "--warm-up", paramLabel = "TIME", description = "Before that; the rate grows over its first half.")
    private String warmUp;
    @Option(names = "--threads", paramLabel = "N")
    private Integer threads;
    @Option(names = "--connections", paramLabel = "N", description = "At most, to all targets together.")
    private Integer connections;
    @Option(names = "--ahead", paramLabel = "N", description = "How many of them are opened before the first request.")
    private Integer ahead;
    @Option(names = "--oldest-first", description = "Uses the connection that rests for longest, not the newest.")
    private boolean oldestFirst;
    @Option(names = "--check", paramLabel = "PATH", description = "Must answer 200 before a target is asked.")
    private String check;
    @Option(names = "--ready", paramLabel = "TIME", description = "How long targets may take to answer at all.")
    private String ready;
    @Option(names = "--path", paramLabel = "PATH", description = "The one thing to ask for by GET; {n} is a number.")
    private String path;
    @Option(names = "--deadline", paramLabel = "TIME", description = "How long clients wait, where --path is there.")
    private String deadline;
    @Option(names = "--seed", paramLabel = "N")
    private Long seed;
    @Option(names = "--late", paramLabel = "TIME",
            description = "The run is late if more than 1 %% of its requests are later than this; usually 5ms.")
    private String late;
    @Option(names = "--strict", description = "Ends with status 1 if the run is late.")
    private boolean strict;
    @Option(names = "--quiet", description = "Says nothing while it runs.")
    private boolean quiet;
    @Option(names = "--json", paramLabel = "FILE", description = "Writes the result there as well, as JSON.")
    private Path json;
    @Option(names = "--hdr", paramLabel = "FILE", description = "Writes a histogram a second there (HdrHistogram log).")
    private Path hdr;

    private int status = Status.DONE;

    @Override
    public Integer call() throws IOException, InterruptedException {
        LoadPlan plan = plan();
        PrintStream log = hdr == null ? null : open();
        LoadRun run = new LoadRun(plan, new SystemClock(), new Told(log == null ? null : new HistogramLogWriter(log)));
        Interrupt interrupt = new Interrupt(run::stop);
        try {
            LoadResult result = run.run();
            System.out.print(result.text());
            System.out.flush();
            write(result);
            if (log != null && log.checkError()) {
                status = Status.failed(Status.FAILED, "can't write " + hdr);
            }
            return status != Status.DONE ? status
                    : result.interrupted() ? Status.failed(Status.INTERRUPTED, "interrupted; this is what was counted")
                    : strict && result.isLate() ? Status.failed(Status.FAILED, "the load tool was late") : Status.DONE;
        } finally {
            if (log != null) {
                log.close();
            }
            interrupt.close();
        }
    }

    private LoadPlan plan() {
        LoadPlan plan = day == null ? LoadPlan.USUAL : LoadPlan.of(DayFile.load(day.toString(), FileAccess.SYSTEM));
        if (file != null) {
            plan = LoadFile.read(file.toString(), text(), plan);
        }
        try {
            return LoadFile.read(OPTIONS, options(), plan);
        } catch (ConfigException e) {
            throw new ConfigException(e.faults().stream().map(LabLoadCommand::asOption).toList());
        }
    }

    private String text() {
        try {
            return FileAccess.SYSTEM.read(file.toString(), MOST_BYTES);
        } catch (IOException e) {
            throw new ConfigException(file + ": can't be read: " + e);
        }
    }

    /** What is on the command line, in the file's own form, so that it is held to the same bounds. */
    private String options() {
        StringBuilder t = new StringBuilder();
        if (!targets.isEmpty()) {
            t.append("targets = [").append(targets.stream().map(LabLoadCommand::quoted).collect(Collectors.joining(",")))
                    .append("]\n");
        }
        add(t, "rate", rate);
        add(t, "length", length);
        add(t, "warm_up", warmUp);
        add(t, "threads", threads);
        add(t, "connections", connections);
        add(t, "ahead", ahead);
        add(t, "oldest_first", oldestFirst ? true : null);
        add(t, "check", check);
        add(t, "ready", ready);
        add(t, "seed", seed);
        add(t, "late", late);
        if (path != null || deadline != null) {
            t.append("[[class]]\n");
            add(t, "path", path);
            add(t, "deadline", deadline);
        }
        return t.toString();
    }

    private static void add(StringBuilder t, String key, Object value) {
        if (value != null) {
            t.append(key).append(" = ").append(value instanceof String s ? quoted(s) : value).append('\n');
        }
    }

    private static String quoted(String text) {
        return '"' + Toml.tomlEscape(text).toString() + '"';
    }

    /** A fault of the text that stands for the options, as one of the option. */
    private static String asOption(String fault) {
        String[] parts = fault.split(":", 5);
        return parts.length < 5 ? fault : "--" + parts[3].strip().replaceFirst("^class\\[0]\\.", "").replace('_', '-') + ":"
                + parts[4];
    }

    private PrintStream open() throws IOException {
        try {
            return new PrintStream(Files.newOutputStream(hdr), false, java.nio.charset.StandardCharsets.US_ASCII);
        } catch (IOException e) {
            status = Status.failed(Status.FAILED, "can't write " + hdr + ": " + e);
            return null;
        }
    }

    private void write(LoadResult result) {
        try {
            if (json != null) {
                Files.writeString(json, result.json().toString(WriterConfig.PRETTY_PRINT) + "\n");
            }
        } catch (IOException e) {
            status = Status.failed(Status.FAILED, "can't write " + json + ": " + e);
        }
    }

    /** Lines go to standard error, histograms to the log: times of a second's requests, in microseconds. */
    private final class Told implements LoadRun.Listener {
        private final HistogramLogWriter log;
        private boolean begun;

        Told(HistogramLogWriter log) {
            this.log = log;
        }

        @Override
        public void says(String line) {
            if (!quiet) {
                System.err.println(line);
            }
        }

        @Override
        public void recorded(List<String> tags, List<Histogram> micros, long from, long until) {
            if (log == null) {
                return;
            }
            if (!begun) {
                begun = true;
                log.outputLogFormatVersion();
                log.outputStartTime(from);
                log.setBaseTime(from);
                log.outputLegend();
            }
            for (int i = 0; i < tags.size(); i++) {
                Histogram h = micros.get(i);
                if (h.getTotalCount() > 0) {
                    h.setTag(tags.get(i));
                    h.setStartTimeStamp(from);
                    h.setEndTimeStamp(until);
                    log.outputIntervalHistogram(h);
                }
            }
        }
    }
}
