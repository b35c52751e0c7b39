package rowanplank.cli;

import com.eclipsesource.json.WriterConfig;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicBoolean;
import rowanplank.lab.day.Day;
import rowanplank.lab.run.DayResult;
import rowanplank.lab.run.DayRun;
import rowanplank.lab.trace.TraceFile;
import rowanplank.lab.trace.TraceWriter;
import rowanplank.net.SystemClock;

/** Plays one day, prints what came of it, and writes what is wanted; a file that can't be written costs no result. */
final class DayPlay {
    private final Path json;
    private final Path trace;
    private int status = Status.DONE;

    /** @param json where the result goes as JSON, and trace all events; each may be null */
    DayPlay(Path json, Path trace) {
        this.json = json;
        this.trace = trace;
    }

    /** @return the exit status */
    int play(Day day) {
        AtomicBoolean stopped = new AtomicBoolean();
        Interrupt interrupt = new Interrupt(() -> stopped.set(true));
        try {
            TraceWriter events = trace == null ? null : open();
            DayRun.Manner manner = DayRun.Manner.usual(new SystemClock()).withStop(stopped::get);
            DayResult result = new DayRun(events == null ? manner : manner.withTrace(events)).play(day);
            System.out.print(result.text());
            System.out.flush();
            close(events);
            write(result);
            return status != Status.DONE ? status : switch (result.how()) {
                case INTERRUPTED -> Status.failed(Status.INTERRUPTED, "interrupted; the figures are of the part played");
                case FAILED -> Status.FAILED;
                default -> result.isClean() ? Status.DONE : Status.RULE_BROKEN;
            };
        } finally {
            interrupt.close();
        }
    }

    private TraceWriter open() {
        try {
            return TraceFile.write(trace);
        } catch (IOException e) {
            status = Status.failed(Status.FAILED, "can't write " + trace + ": " + e);
            return null;
        }
    }

    private void close(TraceWriter events) {
        try {
            if (events != null) {
                events.close();
            }
        } catch (IOException e) {
            status = Status.failed(Status.FAILED, "can't write " + trace + ": " + e);
        }
    }

    private void write(DayResult result) {
        try {
            if (json != null) {
                Files.writeString(json, result.json().toString(WriterConfig.PRETTY_PRINT) + "\n");
            }
        } catch (IOException e) {
            status = Status.failed(Status.FAILED, "can't write " + json + ": " + e);
        }
    }
}
