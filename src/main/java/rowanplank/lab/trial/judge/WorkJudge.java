package rowanplank.lab.trial.judge;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rowanplank.lab.trial.judge.Event.Kind;

/**
 * Judges the history of a trial of the order of work, and knows nothing else: no class of the program, no state but the
 * events.
 */
public final class WorkJudge implements Judge {
    /** What a node says of itself. */
    public static final String SERVES = "serves";
    public static final String DRAINED = "drained";
    private static final int MOST_FINDINGS = 20;

    /** Where a node stands. */
    public record Place(String node, String machine, String hall) { }

    /**
     * What is known beforehand.
     *
     * @param allowanceMicros how long a node may stand still without harm
     * @param goesOnMicros how soon after the last fault all nodes must know who lives
     */
    public record Terms(List<Place> places, int mostOut, int mostOutOfHall, long allowanceMicros, long goesOnMicros) {
        public Terms {
            places = List.copyOf(places);
        }
    }

    /** A state of the ledger. @param first the event that told of it first */
    private record State(long applied, ToldWork work, Event first) { }

    private final List<Event> history;
    private final Terms terms;
    private final List<Finding> findings = new ArrayList<>();
    /** By how much was applied. */
    private final TreeMap<Long, State> states = new TreeMap<>();

    public WorkJudge(List<Event> history, Terms terms) {
        this.history = List.copyOf(history);
        this.terms = terms;
    }

    @Override
    public List<Finding> judge() {
        oneOrder();
        states.values().forEach(this::withinBounds);
        new FleetRules(history, terms.goesOnMicros(), findings::add).judge();
        return findings.subList(0, Math.min(MOST_FINDINGS, findings.size()));
    }

    @Override
    public int lateActs() {
        return 0;
    }

    private void found(String rule, String what, Event... shown) {
        findings.add(Finding.of(rule, what, shown));
    }

    private void oneOrder() {
        for (Event e : history) {
            if (e.kind() == Kind.WORK && !e.text().isEmpty()) {
                State first = states.putIfAbsent(e.other(), new State(e.other(), ToldWork.parse(e.text()), e));
                if (first != null && !first.first().text().equals(e.text())) {
                    found("one-order", "two orders of work after entry " + e.other(), first.first(), e);
                }
            }
        }
    }

    private String hallOf(String machine) {
        return terms.places().stream().filter(p -> p.machine().equals(machine)).map(Place::hall).findFirst().orElse("");
    }

    private void withinBounds(State s) {
        Map<String, Integer> ofHall = new TreeMap<>();
        int away = 0;
        for (ToldWork.Line l : s.work().lines()) {
            if (l.isAway()) {
                away++;
                ofHall.merge(hallOf(l.machine()), 1, Integer::sum);
            }
        }
        if (away > terms.mostOut()) {
            found("within-bound", away + " machines are out, and " + terms.mostOut() + " may be", s.first());
        }
        for (Map.Entry<String, Integer> e : ofHall.entrySet()) {
            if (e.getValue() > terms.mostOutOfHall()) {
                found("within-bound", e.getValue() + " machines of hall " + e.getKey() + " are out, and "
                        + terms.mostOutOfHall() + " may be", s.first());
            }
        }
    }
}
