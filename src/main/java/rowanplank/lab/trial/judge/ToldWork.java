package rowanplank.lab.trial.judge;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;

/**
 * What a voter tells of the order of work, as an event's text and back.
 *
 * @param held whether staff hold it
 * @param lines by machine
 * @param plan the machines that wait, in their order
 * @param past lines that have ended, the first one first
 */
public record ToldWork(int mostOut, int mostOutOfHall, boolean held, List<String> voters, List<Line> lines, List<String> plan,
        List<Past> past) {
    private static final String NONE = "-";

    /**
     * A machine's line.
     *
     * @param state asked, turn, out or returning
     * @param asked the index of the entry that asked for it
     * @param why what staff wrote to it
     */
    public record Line(String machine, String state, long fence, long asked, boolean first, boolean restart, String why) {
        public boolean isAway() {
            return !state.equals("asked");
        }

        /** Which one it is of the machine's. */
        String key() {
            return machine + " " + asked;
        }
    }

    /** One that has ended. @param how back, cancelled or skipped */
    public record Past(String machine, String how, long fence, long asked) {
        String key() {
            return machine + " " + asked;
        }
    }

    public ToldWork {
        voters = List.copyOf(voters);
        lines = List.copyOf(lines);
        plan = List.copyOf(plan);
        past = List.copyOf(past);
    }

    private static String joined(List<String> parts) {
        return parts.isEmpty() ? NONE : String.join(",", parts);
    }

    private static List<String> parted(String text) {
        return text.equals(NONE) ? List.of() : Arrays.asList(text.split(","));
    }

    public String text() {
        return mostOut + "/" + mostOutOfHall + (held ? " held " : " goes ") + joined(voters) + " "
                + joined(lines.stream().map(l -> String.join(":", l.machine(), l.state(), Long.toString(l.fence()),
                        Long.toString(l.asked()), l.first() ? "first" : "later", l.restart() ? "restart" : "word", l.why()))
                        .collect(Collectors.toList()))
                + " " + joined(plan) + " " + joined(past.stream().map(p -> String.join(":", p.machine(), p.how(),
                        Long.toString(p.fence()), Long.toString(p.asked()))).collect(Collectors.toList()));
    }

    /** @throws IllegalArgumentException if it is no such text */
    public static ToldWork parse(String text) {
        String[] f = text.split(" ");
        if (f.length != 6) {
            throw new IllegalArgumentException("not told of the order of work: " + text);
        }
        List<Line> lines = new ArrayList<>();
        for (String l : parted(f[3])) {
            String[] p = l.split(":", -1);
            lines.add(new Line(p[0], p[1], Long.parseLong(p[2]), Long.parseLong(p[3]), p[4].equals("first"),
                    p[5].equals("restart"), p[6]));
        }
        List<Past> past = new ArrayList<>();
        for (String l : parted(f[5])) {
            String[] p = l.split(":");
            past.add(new Past(p[0], p[1], Long.parseLong(p[2]), Long.parseLong(p[3])));
        }
        String[] most = f[0].split("/");
        return new ToldWork(Integer.parseInt(most[0]), Integer.parseInt(most[1]), f[1].equals("held"), parted(f[2]), lines,
                parted(f[4]), past);
    }

    /** Whether the order is the same: who votes is no part of it. */
    boolean isAlike(ToldWork other) {
        return mostOut == other.mostOut && mostOutOfHall == other.mostOutOfHall && held == other.held
                && lines.equals(other.lines) && plan.equals(other.plan) && past.equals(other.past);
    }

    /** The line of a machine; null where it has none. */
    public Line line(String machine) {
        return lines.stream().filter(l -> l.machine().equals(machine)).findFirst().orElse(null);
    }
}
