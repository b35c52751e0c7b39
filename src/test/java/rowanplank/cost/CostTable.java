package rowanplank.cost;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Makes a table of what {@link CostTool} has written: of each figure the median of the rounds, least and most. Left out
 * are those in which the node did not have its core to itself, or the clients had too little of theirs.
 */
public final class CostTable {
    private static final List<String> FIGURES = List.of("cpu_us", "user_us", "rate", "refused", "closed", "p99_ms",
            "memory_mb");

    private CostTable() { }

    public static void main(String[] args) throws IOException {
        Map<String, Map<String, List<Double>>> rows = new LinkedHashMap<>();
        for (String line : Files.readAllLines(Path.of(args[0]))) {
            String[] words = line.split(" ");
            if (Double.parseDouble(words[Arrays.asList(words).indexOf("busy") + 1]) < CostTool.LEAST_BUSY) {
                continue;
            }
            Map<String, List<Double>> row =
                    rows.computeIfAbsent(words[1] + " | " + words[0], k -> new LinkedHashMap<>());
            for (int i = 2; i + 1 < words.length; i += 2) {
                row.computeIfAbsent(words[i], k -> new ArrayList<>()).add(Double.parseDouble(words[i + 1]));
            }
        }
        System.out.println("| scenario | node | rounds | " + String.join(" | ", FIGURES) + " |");
        System.out.println("| --- | --- " + "| ---: ".repeat(FIGURES.size() + 1) + "|");
        rows.forEach((name, row) -> {
            StringBuilder text = new StringBuilder("| " + name + " | " + row.get(FIGURES.get(0)).size());
            FIGURES.forEach(f -> text.append(" | ").append(figure(row.get(f))));
            System.out.println(text.append(" |"));
        });
    }

    private static String figure(List<Double> values) {
        Collections.sort(values);
        int n = values.size();
        double median = (values.get((n - 1) / 2) + values.get(n / 2)) / 2;
        return plain(median) + (n == 1 ? "" : " (" + plain(values.get(0)) + "-" + plain(values.get(n - 1)) + ")");
    }

    private static String plain(double value) {
        return String.format(Locale.ROOT, value < 100 ? "%.1f" : "%.0f", value);
    }
}
