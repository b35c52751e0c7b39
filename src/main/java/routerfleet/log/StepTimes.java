package routerfleet.log;

import java.io.FileInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/**
 * Notes when each step of an operation ended, as wall time and as processor time of the whole process, for one line of the
 * log. On a machine with a small part of a processor the two tell whether an operation was slow because it waited, or
 * because of what the process had to do.
 *
 * <p>Not thread-safe.
 */
public final class StepTimes {
    private static final String STAT_FILE = "/proc/self/stat";
    private static final int MAX_STAT_BYTES = 512;
    /** Positions of user and system time behind the name of the program, see proc(5). */
    private static final int USER_TIME = 11;
    private static final int SYSTEM_TIME = 12;
    private static final int START_TIME = 19;
    /** Linux shows processor times in units of 1/100 s. */
    private static final long MS_PER_TICK = 10;
    private static final String UPTIME_FILE = "/proc/uptime";
    private static final double MS_PER_SECOND = 1_000;
    private static final long UNKNOWN = -1;

    private final long startNanos;
    private final long startProcessorMs;
    private final StringBuilder text = new StringBuilder();

    private StepTimes(long startNanos, long startProcessorMs) {
        this.startNanos = startNanos;
        this.startProcessorMs = startProcessorMs;
    }

    /** Begins now. */
    public static StepTimes fromNow() {
        return new StepTimes(System.nanoTime(), processorMs());
    }

    /** Begins with the start of this process. Where the system does not tell when that was, it begins now. */
    public static StepTimes fromProcessStart() {
        long ageMs = Math.max(0, processAgeMs());
        return new StepTimes(System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(ageMs), 0);
    }

    /** Notes that a step has ended. */
    public void ended(String step) {
        long processorMs = processorMs();
        text.append(text.length() == 0 ? "" : ", ").append(step).append(' ').append(wallMs()).append('/')
                .append(processorMs == UNKNOWN ? "?" : Long.toString(processorMs - startProcessorMs));
    }

    /** Time since the beginning, in milliseconds. */
    public long wallMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    /** Each step with its wall time and processor time since the beginning, in milliseconds. */
    @Override
    public String toString() {
        return text.toString();
    }

    /** Processor time of this process in milliseconds; {@value #UNKNOWN} where the system does not tell. */
    private static long processorMs() {
        String[] fields = statFields();
        return fields == null ? UNKNOWN
                : (Long.parseLong(fields[USER_TIME]) + Long.parseLong(fields[SYSTEM_TIME])) * MS_PER_TICK;
    }

    private static long processAgeMs() {
        String[] fields = statFields();
        String uptime = read(UPTIME_FILE);
        if (fields == null || uptime == null) {
            return UNKNOWN;
        }
        try {
            double uptimeMs = Double.parseDouble(uptime.substring(0, uptime.indexOf(' '))) * MS_PER_SECOND;
            return (long) uptimeMs - Long.parseLong(fields[START_TIME]) * MS_PER_TICK;
        } catch (NumberFormatException | IndexOutOfBoundsException e) {
            return UNKNOWN;
        }
    }

    /** @return null where they can't be read */
    private static String[] statFields() {
        String stat = read(STAT_FILE);
        if (stat == null) {
            return null;
        }
        String[] fields = stat.substring(stat.lastIndexOf(')') + 1).strip().split(" ");
        return fields.length > START_TIME ? fields : null;
    }

    private static String read(String file) {
        byte[] bytes = new byte[MAX_STAT_BYTES];
        try (FileInputStream in = new FileInputStream(file)) {
            int count = in.read(bytes);
            return count <= 0 ? null : new String(bytes, 0, count, StandardCharsets.US_ASCII);
        } catch (IOException e) {
            return null;
        }
    }
}
