package rowanplank.lab.trial;

import java.util.List;
import java.util.Locale;
import rowanplank.ledger.Command;
import rowanplank.ledger.Command.StaffWord;

/**
 * What staff of a trial say on the order of work.
 *
 * @param why empty, or a word
 */
record WorkWords(long number, StaffWord what, List<String> machines, boolean first, boolean restart, long longestMs, String why) {
    WorkWords {
        machines = List.copyOf(machines);
    }

    static WorkWords of(long number, StaffWord what, List<String> machines) {
        return new WorkWords(number, what, machines, false, false, 0, "");
    }

    /** As it is called at a node's door. */
    String path() {
        String head = "/api/fleet/work/" + what.name().toLowerCase(Locale.ROOT) + "/" + number;
        return switch (what) {
            case ASK -> head + "/" + String.join(",", machines) + "/" + (restart ? "restart" : "word") + "/" + longestMs + "/"
                    + first + "/" + why;
            case HOLD -> head + "/" + why;
            case GO -> head;
            default -> head + "/" + machines.get(0);
        };
    }

    Command.Staff command(String by) {
        return new Command.Staff(number, what, machines, by, why, first, restart, longestMs);
    }

    String text() {
        return what.name().toLowerCase(Locale.ROOT) + (what == StaffWord.ASK ? restart ? " restart" : " word" : "")
                + (first ? " first" : "");
    }
}
