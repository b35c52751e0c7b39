package rowanplank.lab.trial.judge;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What a voter says of a budget: uses at once, or uses a second.
 *
 * @param whole in force
 * @param asked the whole that staff asked for last
 */
public record Told(double whole, double asked, double free, double promised, double givingBack, double setAside,
        List<Part> parts) {
    private static final List<String> FIGURES = List.of("whole", "asked", "free", "promised", "giving_back", "set_aside");

    /** What one node has. */
    public record Part(String node, double amount, double target, long epoch) { }

    public Told {
        parts = List.copyOf(parts);
    }

    /** As the text of an event; every digit counts, since two voters are compared by it. */
    public String text() {
        StringBuilder text = new StringBuilder();
        double[] figures = {whole, asked, free, promised, givingBack, setAside};
        for (int i = 0; i < figures.length; i++) {
            text.append(FIGURES.get(i)).append('=').append(figures[i]).append(' ');
        }
        text.append("parts=");
        parts.forEach(p -> text.append(p.node()).append(':').append(p.amount()).append(':').append(p.target()).append(':')
                .append(p.epoch()).append(';'));
        return text.toString();
    }

    /** @throws IllegalArgumentException if it is none */
    public static Told parse(String text) {
        Map<String, String> fields = new LinkedHashMap<>();
        for (String field : text.split(" ")) {
            String[] two = field.split("=", 2);
            fields.put(two[0], two[1]);
        }
        double[] f = FIGURES.stream().mapToDouble(n -> Double.parseDouble(fields.get(n))).toArray();
        List<Part> parts = new ArrayList<>();
        for (String part : fields.get("parts").split(";")) {
            String[] of = part.split(":");
            if (of.length == 4) {
                parts.add(new Part(of[0], Double.parseDouble(of[1]), Double.parseDouble(of[2]), Long.parseLong(of[3])));
            }
        }
        return new Told(f[0], f[1], f[2], f[3], f[4], f[5], parts);
    }
}
