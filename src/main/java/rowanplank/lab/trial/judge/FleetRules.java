package rowanplank.lab.trial.judge;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import rowanplank.lab.trial.judge.Event.Kind;

/**
 * What holds of every fleet's history, whatever its nodes do: <i>one-leader</i>, <i>one-log</i>, <i>alive</i>,
 * <i>no-lost-memory</i> and <i>knows-who-lives</i>, as {@link LeaseJudge} states them.
 */
final class FleetRules {
    private static final long ASKED_LATELY = 1_500_000;
    /** A suspicion is a question that is out: on a machine with much to do it may be so at any moment, the last one too. */
    private static final long DOUBT = 1_000_000;

    private final List<Event> history;
    private final long goesOnMicros;
    private final Consumer<Finding> findings;

    FleetRules(List<Event> history, long goesOnMicros, Consumer<Finding> findings) {
        this.history = history;
        this.goesOnMicros = goesOnMicros;
        this.findings = findings;
    }

    void judge() {
        leaders();
        logs();
        lives();
        knows();
    }

    private void found(String rule, String what, Event... shown) {
        findings.accept(Finding.of(rule, what, shown));
    }

    private void leaders() {
        Map<Long, Event> byTerm = new TreeMap<>();
        for (Event e : history) {
            if (e.kind() == Kind.STATUS && e.name().equals("leader")) {
                Event first = byTerm.putIfAbsent(e.number(), e);
                if (first != null && !first.node().equals(e.node())) {
                    found("one-leader", "two leaders of term " + e.number(), first, e);
                }
            }
        }
    }

    private void logs() {
        Map<Long, Event> byApplied = new TreeMap<>();
        for (Event e : history) {
            if (e.kind() == Kind.STATUS && !e.text().isEmpty()) {
                Event first = byApplied.putIfAbsent(e.other(), e);
                if (first != null && !first.text().equals(e.text())) {
                    found("one-log", "two ledgers after entry " + e.other(), first, e);
                }
            }
        }
    }

    private void lives() {
        TreeSet<String> killed = new TreeSet<>();
        Map<String, Long> fullUntil = new TreeMap<>();
        TreeSet<String> spoilt = new TreeSet<>();
        for (Event e : history) {
            switch (e.kind()) {
                case STARTED -> {
                    killed.remove(e.node());
                    fullUntil.computeIfPresent(e.node(), (n, until) -> e.at() < until ? until : null);
                }
                case FULL -> fullUntil.merge(e.node(), e.at() + e.number(), Math::max);
                case KILLED -> killed.add(e.node());
                case SPOILT -> spoilt.add(e.node());
                case ENDED -> {
                    if (!killed.contains(e.node()) && !spoilt.contains(e.node())) {
                        found("alive", e.node() + " ended by itself with status " + e.number(), e);
                    }
                }
                case STATUS -> {
                    if (spoilt.contains(e.node())) {
                        found("no-lost-memory", e.node() + " takes part with a spoilt state", e);
                    }
                }
                case HALTED -> {
                    if (!fullUntil.containsKey(e.node())) {
                        found("alive", e.node() + ": " + e.text(), e);
                    }
                }
                default -> { }
            }
        }
    }

    /** Of what is thought at the end, by nodes that run and were asked lately. */
    private void knows() {
        Map<String, Event> runs = new TreeMap<>();
        Map<String, Event> asked = new TreeMap<>();
        Map<String, Event> seen = new TreeMap<>();
        Event over = null;
        for (Event e : history) {
            switch (e.kind()) {
                case STARTED, ENDED -> {
                    runs.put(e.node(), e);
                    seen.keySet().removeIf(k -> k.startsWith(e.node() + " ")); // a new process knows of nobody yet
                }
                case SEEN -> {
                    asked.put(e.node(), e);
                    if (!e.name().isEmpty()) {
                        seen.put(e.node() + " " + e.name(), e);
                    }
                }
                case OVER -> over = e;
                default -> { }
            }
        }
        if (over == null || asked.isEmpty()) {
            return;
        }
        for (String viewer : asked.keySet()) {
            if (runs.get(viewer).kind() == Kind.STARTED && asked.get(viewer).at() > over.at() - ASKED_LATELY) {
                for (Map.Entry<String, Event> of : runs.entrySet()) {
                    if (!of.getKey().equals(viewer)) {
                        knows(viewer, of.getValue(), seen.get(viewer + " " + of.getKey()), over);
                    }
                }
            }
        }
    }

    private void knows(String viewer, Event last, Event thinks, Event over) {
        boolean alive = thinks != null && thinks.text().equals("alive");
        boolean doubts = thinks != null && thinks.text().equals("suspect") && thinks.at() > over.at() - DOUBT;
        boolean forLong = last.at() < over.at() - goesOnMicros;
        if (forLong && last.kind() == Kind.STARTED && !alive && !doubts
                || forLong && last.kind() == Kind.ENDED && alive) {
            found("knows-who-lives", viewer + " thinks " + last.node() + " " + (thinks == null ? "unknown" : thinks.text()),
                    last, thinks);
        }
    }
}
