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
 * called. Samples within the kernel's calls are a kind of their own, taken less often, and are not in these shares.
 */
public final class ProfileTable {
    private static final int MOST_ROWS = 60;
    private static final String THREAD = "event-loop";

    private ProfileTable() { }

    public static void main(String[] args) throws IOException {
        Map<String, Integer> self = new HashMap<>();
        Map<String, Integer> whole = new HashMap<>();
        int samples = 0;
        try (RecordingFile file = new RecordingFile(Path.of(args[0]))) {
            while (file.hasMoreEvents()) {
                RecordedEvent event = file.readEvent();
                if (!event.getEventType().getName().equals("jdk.ExecutionSample")
                        || !event.getThread("sampledThread").getJavaName().equals(THREAD)) {
                    continue;
                }
                samples++;
                List<RecordedFrame> frames = event.getStackTrace().getFrames();
                self.merge(name(frames.get(0)), 1, Integer::sum);
                Set<String> seen = new HashSet<>();
                for (RecordedFrame f : frames) {
                    if (seen.add(name(f))) {
                        whole.merge(name(f), 1, Integer::sum);
                    }
                }
            }
        }
        int rows = args.length > 1 ? Integer.parseInt(args[1]) : MOST_ROWS;
        System.out.println(samples + " samples; alone:");
        print(self, samples, rows);
        System.out.println("with what they called:");
        print(whole, samples, rows);
    }

    private static String name(RecordedFrame frame) {
        String type = frame.getMethod().getType().getName().replaceAll("\\$\\$Lambda.*", "\\$lambda");
        return type + "." + frame.getMethod().getName();
    }

    private static void print(Map<String, Integer> counts, int samples, int rows) {
        counts.entrySet().stream()
                .sorted(Map.Entry.<String, Integer>comparingByValue(Comparator.reverseOrder())
                        .thenComparing(Map.Entry.comparingByKey()))
                .limit(rows)
                .forEach(e -> System.out.printf(Locale.ROOT, "%6.1f %%  %s%n", 100.0 * e.getValue() / samples,
                        e.getKey()));
    }
}
