package rowanplank.lab.trial.judge;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rowanplank.lab.trial.judge.Event.Kind;

/** Histories of a client, each event as kind, text, fence, number of the request; one second apart. */
class ClientRulesTest {
    private static final String GRANTED = "SENT ACQUIRE 0 1; TOLD GRANTED 7 1; ";
    private static final String RELEASED = GRANTED + "SENT RELEASE 0 2; TOLD RELEASED 0 2; ";

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        GRANTED + "READ held 7 3 | ''",
        GRANTED + "READ free 7 3 | not-lost",
        GRANTED + "READ held 6 3 | not-lost",
        GRANTED + "READ held 8 3 | done-once",
        GRANTED + "TOLD GRANTED 7 1; READ held 7 3 | ''",
        GRANTED + "TOLD GRANTED 8 1 | done-once",
        GRANTED + "SENT RELEASE 0 2; READ free 7 3 | ''",
        RELEASED + "READ free 9 3 | ''",
        RELEASED + "READ held 7 3 | not-lost",
        RELEASED + "READ held 9 3 | done-once",
        RELEASED + "TOLD GRANTED 7 1; READ free 9 3 | ''",
        RELEASED + "SENT ACQUIRE 0 4; READ held 9 3 | ''"})
    void whatWasAcknowledgedIsReadUntilTheNextRequest(String events, String rule) {
        List<Event> history = new ArrayList<>();
        for (String e : events.trim().split("; *")) {
            String[] f = e.split(" ");
            history.add(new Event(history.size() * 1_000_000L, Kind.valueOf(f[0]), "client", "client", Long.parseLong(f[2]),
                    Long.parseLong(f[3]), f[1]));
        }
        List<Finding> found = new ArrayList<>();
        new ClientRules(history, found::add).judge();
        assertEquals(rule, String.join(" ", found.stream().map(Finding::rule).toList()));
    }
}
