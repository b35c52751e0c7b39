package rowanplank.lab.trial.judge;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import rowanplank.lab.trial.judge.Event.Kind;
import rowanplank.lab.trial.judge.WorkHistory.Life;

/** What nodes say and do of their own turns: <i>under-a-turn</i>, <i>no-old-turn</i>, <i>away-together</i>. */
final class WorkNodes {
    /** What a node was told may be acted on for so long, by a clock that is wrong by a hundredth. */
    private static final long VALID = 1_020_000;

    /** A machine's node says that it stands drained under this turn, from and until. */
    private record Drained(Event from, Event until, Life life) {
        long end() {
            return until.at() - WorkHistory.TOLD_LATE;
        }
    }

    private final WorkHistory told;
    private final WorkJudge.Terms terms;
    private final Consumer<Finding> findings;
    private int lateActs;

    WorkNodes(WorkHistory told, WorkJudge.Terms terms, Consumer<Finding> findings) {
        this.told = told;
        this.terms = terms;
        this.findings = findings;
    }

    int lateActs() {
        return lateActs;
    }

    void judge() {
        Map<String, Event> before = new TreeMap<>();
        Map<String, Event> began = new TreeMap<>();
        boolean exact = told.history.stream().anyMatch(e -> e.kind() == Kind.DRAINS);
        Map<String, Drained> open = new TreeMap<>();
        List<Drained> all = new ArrayList<>();
        for (Event e : told.history) {
            if (e.kind() == Kind.STARTED || e.kind() == Kind.ENDED) {
                before.remove(e.node());
                began.remove(e.node());
                close(open, e.node(), all);
            } else if (e.kind() == Kind.DRAINS) {
                began.put(e.node(), e);
            } else if (e.kind() == Kind.OWN) {
                Life life = underATurn(e);
                Event was = before.put(e.node(), e);
                if (life != null && isDrained(e)) {
                    Event drains = began.remove(e.node());
                    if (exact ? drains != null && was != null : was != null && was.text().equals(WorkJudge.SERVES)) {
                        noOldTurn(exact ? drains : was, e, life, exact);
                    }
                    Drained d = open.get(e.node());
                    if (d != null && d.life() == life) {
                        open.put(e.node(), new Drained(d.from(), e, life));
                    } else {
                        close(open, e.node(), all);
                        open.put(e.node(), new Drained(e, e, life));
                    }
                } else {
                    close(open, e.node(), all);
                }
            }
        }
        List.copyOf(open.keySet()).forEach(n -> close(open, n, all));
        together(all);
    }

    private static void close(Map<String, Drained> open, String node, List<Drained> all) {
        Drained d = open.remove(node);
        if (d != null && d.end() > d.from().at()) {
            all.add(d);
        }
    }

    private static boolean isDrained(Event e) {
        return e.text().equals(WorkJudge.DRAINED) && (e.name().equals("turn") || e.name().equals("out"));
    }

    private Life underATurn(Event e) {
        if (e.number() == 0) {
            return null;
        }
        Life life = told.lives.get(e.number());
        if (life == null || !life.machine.equals(told.machineOf(e.node()))) {
            findings.accept(Finding.of("under-a-turn", e.node() + " has a turn that no voter tells of", e,
                    life == null ? null : life.turn));
            return null;
        }
        return life;
    }

    /**
     * @param served when it had not drained yet for sure, or began to
     * @param exact whether it is known just when: then also a node that had stood still must not
     */
    private void noOldTurn(Event served, Event drained, Life life, boolean exact) {
        if (!drained.name().equals("turn")) {
            return;
        }
        boolean skipped = life.past != null && life.how.equals("skipped");
        Event over = life.returning != null ? life.returning : life.past;
        long latest = over == null ? Long.MAX_VALUE
                : (skipped ? life.past.at() : over.at() + VALID) + (exact ? 0 : WorkHistory.TOLD_LATE);
        if (served.at() > latest) {
            boolean stalled = !exact && told.history.stream().anyMatch(e -> e.kind() == Kind.STALLED && e.node().equals(drained.node())
                    && e.number() > terms.allowanceMicros() && e.at() <= drained.at() && e.at() + e.number() >= served.at() - VALID);
            if (stalled) {
                lateActs++;
            } else {
                findings.accept(Finding.of("no-old-turn", drained.node() + " began to drain under an old turn", over, served,
                        drained));
            }
        }
    }

    /** A machine that staff skipped is not waited for: it may stand drained under its turn while others go. */
    private void together(List<Drained> all) {
        all.sort(Comparator.comparingLong(d -> d.from().at()));
        for (Drained d : all) {
            Set<String> machines = new TreeSet<>();
            Set<String> ofHall = new TreeSet<>();
            List<Event> shown = new ArrayList<>();
            for (Drained o : all) {
                Event skip = told.word(o.life(), "skip");
                if (o.from().at() <= d.from().at() && o.end() >= d.from().at()
                        && (skip == null || skip.at() > d.from().at()) && machines.add(o.life().machine)) {
                    shown.add(o.from());
                    if (told.hallOf(o.life().machine).equals(told.hallOf(d.life().machine))) {
                        ofHall.add(o.life().machine);
                    }
                }
            }
            if (machines.size() > terms.mostOut() || ofHall.size() > terms.mostOutOfHall()) {
                findings.accept(new Finding("away-together", "these stand drained at once: " + machines, shown));
            }
        }
    }
}
