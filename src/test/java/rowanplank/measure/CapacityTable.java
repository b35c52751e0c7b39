package rowanplank.measure;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Figures measured at several sizes, as a table, and under it each figure's slope and its value at the target's size. */
final class CapacityTable {
    private final String title;
    private final String unit;
    private final List<Double> sizes = new ArrayList<>();
    private final Map<String, List<Double>> figures = new LinkedHashMap<>();

    /** @param unit what was varied */
    CapacityTable(String title, String unit) {
        this.title = title;
        this.unit = unit;
    }

    /** A size whose figures follow. */
    CapacityTable size(double size) {
        sizes.add(size);
        return this;
    }

    CapacityTable with(String figure, double value) {
        figures.computeIfAbsent(figure, f -> new ArrayList<>()).add(value);
        return this;
    }

    /** @throws IllegalArgumentException if it was measured at fewer than three sizes */
    Slope slope(String figure) {
        return Slope.of(array(sizes), array(figures.get(figure)));
    }

    private static double[] array(List<Double> values) {
        return values.stream().mapToDouble(Double::doubleValue).toArray();
    }

    /** @param target the size for which figures are wanted; 0 for none */
    String text(double target) {
        StringBuilder out = new StringBuilder("\n").append(title).append("\n\n| ").append(unit);
        figures.keySet().forEach(f -> out.append(" | ").append(f));
        out.append(" |\n|").append(" --- |".repeat(figures.size() + 1)).append('\n');
        for (int i = 0; i < sizes.size(); i++) {
            out.append("| ").append(number(sizes.get(i)));
            for (List<Double> values : figures.values()) {
                out.append(" | ").append(number(values.get(i)));
            }
            out.append(" |\n");
        }
        if (sizes.size() >= Slope.LEAST_POINTS && target > 0) {
            out.append('\n');
            figures.keySet().forEach(f -> out.append(line(f, target)));
        }
        return out.toString();
    }

    private String line(String figure, double target) {
        Slope s = slope(figure);
        return String.format(Locale.ROOT, "%s: %s + %s for each of %s (off by %.0f %% of the largest value at most); at %s, %.1f times the largest "
                + "measured: %s%n", figure, number(s.base()), number(s.each()), unit, 100 * s.worst(), number(target),
                s.beyond(target), number(s.at(target)));
    }

    /** Three digits that count. */
    static String number(double value) {
        double size = Math.abs(value);
        return size == Math.rint(size) && size < 1e9 ? String.format(Locale.ROOT, "%,.0f", value)
                : String.format(Locale.ROOT, size >= 100 ? "%,.0f" : size >= 10 ? "%.1f" : size >= 1 ? "%.2f" : size >= 0.01 ? "%.4f"
                : "%.2e", value);
    }
}
