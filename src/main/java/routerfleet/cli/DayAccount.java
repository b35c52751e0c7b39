package routerfleet.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;

/**
 * Where a played day lost worth, from the report that the operators' bench writes of it ({@code run --report FILE}): prices
 * by size, kinds of request, zones, the worst seconds with what happened in them, and how requests that were not served
 * ended.
 */
final class DayAccount {
    private static final int WINDOW_S = 2;
    private static final int WORST_WINDOWS = 6;
    private static final double LEAST_PRICE = 0.0005;

    private final JsonNode report;
    private final StringBuilder text = new StringBuilder();

    private DayAccount(JsonNode report) {
        this.report = report;
    }

    /**
     * Reads a report.
     *
     * @return the account, to be printed
     * @throws UnusableReportException if the file is no report
     */
    static String of(Path file) throws UnusableReportException {
        try {
            JsonNode read = new ObjectMapper().readTree(Files.readString(file));
            if (!read.path("classes").isArray() || !read.path("windows").isArray()) {
                throw new UnusableReportException(file + ": is no report of a played day", null);
            }
            return new DayAccount(read).write();
        } catch (NoSuchFileException e) {
            throw new UnusableReportException(file + ": does not exist", e);
        } catch (IOException e) {
            throw new UnusableReportException(file + ": can't be read: "
                    + String.valueOf(e.getMessage()).lines().findFirst().orElse(""), e);
        }
    }

    /** A file that is no report. */
    static final class UnusableReportException extends Exception {
        private static final long serialVersionUID = 1;

        UnusableReportException(String message, Throwable cause) {
            super(message, cause);
        }
    }

    private String write() {
        line("worth %.3f, served %.3f", report.path("G").asDouble(), report.path("served").asDouble());
        report.path("breaks").properties().forEach(rule -> line("BROKEN %s: %s", rule.getKey(), rule.getValue()));
        report.path("parts").forEach(part -> line("  %-14s %.3f, weight %.2f: %.4f missing", part.path(0).asText(),
                part.path(2).asDouble(), part.path(1).asDouble(),
                part.path(1).asDouble() * (1 - part.path(2).asDouble())));
        prices();
        table("kind of request", report.path("classes"));
        table("clients' zone", report.path("zones"));
        worstWindows();
        causes();
        return text.toString();
    }

    private void line(String format, Object... values) {
        text.append(String.format(Locale.ROOT, format, values)).append('\n');
    }

    private static List<JsonNode> sorted(JsonNode list, Comparator<JsonNode> order) {
        List<JsonNode> items = new ArrayList<>();
        list.forEach(items::add);
        items.sort(order);
        return items;
    }

    private void prices() {
        line("prices");
        sorted(report.path("prices"), Comparator.comparingDouble(price -> -price.path(2).asDouble())).stream()
                .filter(price -> price.path(2).asDouble() >= LEAST_PRICE)
                .forEach(price -> line("  %.4f  %s (%s)", price.path(2).asDouble(), price.path(0).asText(),
                        price.path(1).asText()));
    }

    private void table(String title, JsonNode rows) {
        line("%-18s %7s %7s %6s %7s %6s %6s %7s %7s", title, "asked", "in aim", "late", "refused", "failed", "worth",
                "p50 ms", "p99 ms");
        rows.forEach(row -> line("%-18s %7d %7d %6d %7d %6d %6.3f %7.0f %7.0f", row.path("name").asText(),
                row.path("n").asLong(), row.path("in_aim").asLong(), row.path("late").asLong(),
                row.path("refused").asLong(), row.path("failed").asLong(), row.path("worth").asDouble(),
                row.path("p50_ms").asDouble(), row.path("p99_ms").asDouble()));
    }

    private void worstWindows() {
        line("worst seconds");
        sorted(report.path("windows"), Comparator.comparingDouble(window -> window.path("worth").asDouble())).stream()
                .limit(WORST_WINDOWS)
                .forEach(window -> line("  from %s s: worth %.3f, %d of %d late, %d refused, %d failed; %s",
                        window.path("name").asText(), window.path("worth").asDouble(), window.path("late").asLong(),
                        window.path("n").asLong(), window.path("refused").asLong(), window.path("failed").asLong(),
                        during(window.path("name").asDouble())));
    }

    /** What happened in a window, or just before. */
    private String during(double fromS) {
        List<String> kinds = new ArrayList<>();
        report.path("events").forEach(event -> {
            if (event.path("at_s").asDouble() < fromS + WINDOW_S && event.path("to_s").asDouble() > fromS) {
                kinds.add(event.path("kind").asText().strip());
            }
        });
        return kinds.isEmpty() ? "no event" : String.join(", ", kinds);
    }

    private void causes() {
        line("not served, by the last try");
        sorted(report.path("unserved_by"), Comparator.comparingLong(cause -> -cause.path(1).asLong())).forEach(cause -> {
            line("  %d: %s", cause.path(1).asLong(), cause.path(0).asText());
            cause.path(2).forEach(step -> line("      %s", step.asText()));
        });
    }
}
