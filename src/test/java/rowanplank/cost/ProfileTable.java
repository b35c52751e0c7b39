package rowanplank.cost;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import jdk.jfr.consumer.RecordedEvent;
import jdk.jfr.consumer.RecordedFrame;
import jdk.jfr.consumer.RecordingFile;

/**
 * Sums up a recording of a node: in which methods the loop's thread was seen at work, alone and with all that they
 * called, and where it allocated how much. Samples within the kernel's calls are a kind of their own, taken less often,
 * and are not in these shares.
 */
public final class ProfileTable {
    private static final int MOST_ROWS = 60;
    private static final String THREAD = "event-loop";
    private static final String OURS = "rowanplank.";

    private final Map<String, Long> self = new HashMap<>();
    private final Map<String, Long> whole = new HashMap<>();
    private final Map<String, Long> allocated = new HashMap<>();
    private final Map<String, Long> allocatedWithin = new HashMap<>();
    private long samples;
    private long bytes;

    private ProfileTable() { }

    public static void main(String[] args) throws IOException {
        ProfileTable table = new ProfileTable();
        try (RecordingFile file = new RecordingFile(Path.of(args[0]))) {
            while (file.hasMoreEvents()) {
                table.add(file.readEvent());
            }
        }
        table.print(args.length > 1 ? Integer.parseInt(args[1]) : MOST_ROWS);
    }

    private void add(RecordedEvent event) {
        String type = event.getEventType().getName();
        if (type.equals("jdk.ExecutionSample") && event.getThread("sampledThread").getJavaName().equals(THREAD)) {
            List<RecordedFrame> frames = event.getStackTrace().getFrames();
            samples++;
            self.merge(name(frames.get(0)), 1L, Long::sum);
            within(frames, 1, whole);
        } else if (type.equals("jdk.ObjectAllocationSample") && THREAD.equals(event.getThread().getJavaName())
                && event.getStackTrace() != null) {
            List<RecordedFrame> frames = event.getStackTrace().getFrames();
            long weight = event.getLong("weight");
            bytes += weight;
            String at = frames.stream().map(ProfileTable::name).filter(n -> n.startsWith(OURS)).findFirst().orElse("-");
            allocated.merge(at + ": " + event.getClass("objectClass").getName(), weight, Long::sum);
            within(frames, weight, allocatedWithin);
        }
    }

    private static void within(List<RecordedFrame> frames, long weight, Map<String, Long> sums) {
        Set<String> seen = new HashSet<>();
        for (RecordedFrame f : frames) {
            if (seen.add(name(f))) {
                sums.merge(name(f), weight, Long::sum);
            }
        }
    }

    private static String name(RecordedFrame frame) {
        String type = frame.getMethod().getType().getName().replaceAll("\\$\\$Lambda.*", "\\$lambda");
        return type + "." + frame.getMethod().getName();
    }

    private void print(int rows) {
        print(samples + " samples; alone:", self, samples, rows);
        print("with what they called:", whole, samples, rows);
        print((bytes >> 20) + " MB allocated; at the project's innermost method, by class:", allocated, bytes, rows);
        print("allocated with what they called:", allocatedWithin, bytes, rows);
    }

    private static void print(String title, Map<String, Long> sums, long all, int rows) {
        System.out.println(title);
        sums.entrySet().stream()
                .sorted(Map.Entry.<String, Long>comparingByValue(Comparator.reverseOrder())
                        .thenComparing(Map.Entry.comparingByKey()))
                .limit(rows)
                .forEach(e -> System.out.printf(Locale.ROOT, "%6.1f %%  %s%n", 100.0 * e.getValue() / all, e.getKey()));
    }
}
