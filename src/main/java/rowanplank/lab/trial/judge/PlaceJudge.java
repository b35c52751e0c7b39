package rowanplank.lab.trial.judge;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import rowanplank.lab.trial.judge.Event.Kind;

/**
 * Judges the history of a trial of places at page servers: each server's are a budget, judged as such ({@link BudgetJudge}),
 * and in the end each node that runs has requests served somewhere again.
 */
public final class PlaceJudge implements Judge {
    private final List<Event> history;
    private final long goesOnMicros;
    private final boolean forAll;
    private final BudgetJudge budgets;

    /** @param forAll whether there are places for all nodes: else it is right that some have none */
    public PlaceJudge(List<Event> history, BudgetJudge.Terms terms, boolean forAll) {
        this.history = List.copyOf(history);
        this.forAll = forAll;
        goesOnMicros = terms.goesOnMicros();
        budgets = new BudgetJudge(history, terms);
    }

    @Override
    public List<Finding> judge() {
        List<Finding> findings = new ArrayList<>(budgets.judge());
        Event quiet = history.stream().filter(e -> e.kind() == Kind.QUIET).findFirst().orElse(null);
        Event over = history.stream().filter(e -> e.kind() == Kind.OVER).findFirst().orElse(null);
        if (!forAll || quiet == null || over == null || over.at() < quiet.at() + goesOnMicros) {
            return findings; // it was not played to its end, which is no verdict on the nodes
        }
        Set<String> running = new TreeSet<>();
        Set<String> acted = new TreeSet<>();
        for (Event e : history) {
            switch (e.kind()) {
                case STARTED -> running.add(e.node());
                case ENDED -> running.remove(e.node());
                case BEGIN -> {
                    if (e.at() > quiet.at()) {
                        acted.add(e.node());
                    }
                }
                default -> { }
            }
        }
        running.removeAll(acted);
        running.forEach(n -> findings.add(new Finding("goes-on", n + " sent no request to any server after the last fault",
                List.of(quiet, over))));
        return findings;
    }

    @Override
    public int lateActs() {
        return budgets.lateActs();
    }
}
