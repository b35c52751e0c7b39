package rowanplank.lab.trial.judge;

import java.util.Arrays;
import java.util.List;
import java.util.Objects;

/** A rule that was broken, and the shortest part of the history that shows it. */
public record Finding(String rule, String what, List<Event> shown) {
    public Finding {
        shown = List.copyOf(shown);
    }

    /** @param shown nulls are left out */
    static Finding of(String rule, String what, Event... shown) {
        return new Finding(rule, what, Arrays.stream(shown).filter(Objects::nonNull).toList());
    }

    public String text() {
        StringBuilder text = new StringBuilder(rule).append(": ").append(what).append('\n');
        shown.forEach(e -> text.append("    ").append(e.line().replace('\t', ' ')).append('\n'));
        return text.toString();
    }
}
