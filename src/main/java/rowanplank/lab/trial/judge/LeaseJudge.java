package rowanplank.lab.trial.judge;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rowanplank.lab.trial.judge.Event.Kind;

/**
 * Judges the history of a trial of leases, and knows nothing else: no class of the program, no state but the events.
 *
 * <table>
 * <caption>The rules</caption>
 * <tr><td>one-holder</td><td>no two acts of one lease overlap</td></tr>
 * <tr><td>fences-grow</td><td>no act begins under a lower fence than one that has begun, or was read as held before</td></tr>
 * <tr><td>fence-of-one</td><td>all acts under one fence are of one process of one node</td></tr>
 * <tr><td>once-a-period</td><td>no two acts of one lease are for one period</td></tr>
 * <tr><td>one-leader</td><td>no two nodes lead in one term</td></tr>
 * <tr><td>one-log</td><td>who has applied as much has the same digest</td></tr>
 * <tr><td>no-stale-read</td><td>who asks sees every fence that acted, or was read, before the asking</td></tr>
 * <tr><td>not-lost</td><td>what a client of the ledger was told is done is read as done, until its next request</td></tr>
 * <tr><td>done-once</td><td>one request has one answer, however often it comes, and does nothing later on</td></tr>
 * <tr><td>alive</td><td>no node ends, and no voter halts, but by the trial's doing</td></tr>
 * <tr><td>no-lost-memory</td><td>a voter whose state was spoilt takes no part any more</td></tr>
 * <tr><td>knows-who-lives</td><td>in the end each node thinks alive, or has suspected for less than 1 s, all that run,
 * and thinks alive nobody that ended long before</td></tr>
 * <tr><td>goes-on</td><td>after the faults are over, each lease has an act again within the given time</td></tr>
 * </table>
 *
 * <p>What a stall can do: a node that stood still for longer than the allowance between its look at the lease and the
 * act acts late. Such an act, begun at most 250 ms after the stall's end, is no breach of the first two rules: it
 * is counted in {@link #lateActs}, and a recorder that checks fences would have refused it if a later one had acted.
 */
public final class LeaseJudge implements Judge {
    private static final int MOST_FINDINGS = 20;
    /** An act that was held up by a stall begins soon after it. */
    private static final long LATE_MICROS = 250_000;

    private record Act(Event begin, Event end) {
        /** One that was ended outright, and could not say so, counts for the moment of its beginning. */
        long until() {
            return end == null ? begin.at() : end.at();
        }
    }

    private final long allowanceMicros;
    private final long goesOnMicros;
    private final List<Event> history;
    private final List<Finding> findings = new ArrayList<>();
    private int lateActs;

    /**
     * @param allowanceMicros how long a node may stand still without harm
     * @param goesOnMicros how soon after the last fault acts must go on
     */
    public LeaseJudge(List<Event> history, long allowanceMicros, long goesOnMicros) {
        this.history = List.copyOf(history);
        this.allowanceMicros = allowanceMicros;
        this.goesOnMicros = goesOnMicros;
    }

    /** At most {@value #MOST_FINDINGS} findings; none if all rules were kept. */
    @Override
    public List<Finding> judge() {
        Map<String, List<Act>> acts = acts();
        acts.forEach((lease, list) -> {
            overlaps(lease, list);
            fences(lease);
        });
        reads();
        periods();
        new ClientRules(history, findings::add).judge();
        new FleetRules(history, goesOnMicros, findings::add).judge();
        goesOn(acts);
        return findings.subList(0, Math.min(MOST_FINDINGS, findings.size()));
    }

    @Override
    public int lateActs() {
        return lateActs;
    }

    private void found(String rule, String what, Event... shown) {
        findings.add(Finding.of(rule, what, shown));
    }

    private Map<String, List<Act>> acts() {
        Map<String, List<Act>> acts = new TreeMap<>();
        Map<String, Event> open = new TreeMap<>();
        for (Event e : history) {
            String key = e.name() + " " + e.node() + " " + e.other();
            if (e.kind() == Kind.BEGIN) {
                open.put(key, e);
            } else if (e.kind() == Kind.END && open.containsKey(key)) {
                acts.computeIfAbsent(e.name(), n -> new ArrayList<>()).add(new Act(open.remove(key), e));
            }
        }
        open.values().forEach(b -> acts.computeIfAbsent(b.name(), n -> new ArrayList<>()).add(new Act(b, null)));
        acts.values().forEach(list -> list.sort((a, b) -> Long.compare(a.begin().at(), b.begin().at())));
        return acts;
    }

    private boolean isLate(Event begin) {
        return history.stream().anyMatch(e -> e.kind() == Kind.STALLED && e.node().equals(begin.node())
                && e.number() > allowanceMicros && e.at() <= begin.at()
                && begin.at() <= e.at() + e.number() + LATE_MICROS);
    }

    private void overlaps(String lease, List<Act> acts) {
        Act longest = null;
        for (Act a : acts) {
            if (longest != null && a.begin().at() < longest.until()) {
                if (isLate(a.begin()) || isLate(longest.begin())) {
                    lateActs++;
                } else {
                    found("one-holder", lease + " acted twice at once, under " + longest.begin().number() + " and "
                            + a.begin().number(), longest.begin(), a.begin(), longest.end());
                }
            }
            longest = longest == null || a.until() > longest.until() ? a : longest;
        }
    }

    private void fences(String lease) {
        Event highest = null;
        Map<Long, Event> firsts = new TreeMap<>();
        for (Event e : history) {
            boolean begins = e.kind() == Kind.BEGIN;
            if (!e.name().equals(lease) || !begins && !(e.kind() == Kind.READ && e.text().equals("held"))) {
                continue;
            }
            Event first = begins ? firsts.putIfAbsent(e.number(), e) : null;
            if (first != null && !first.node().equals(e.node())) {
                found("fence-of-one", lease + ": two nodes under fence " + e.number(), first, e);
            }
            if (begins && highest != null && e.number() < highest.number()) {
                if (isLate(e)) {
                    lateActs++;
                } else {
                    found("fences-grow", lease + ": fence " + e.number() + " after " + highest.number(), highest, e);
                }
            }
            highest = highest == null || e.number() > highest.number() ? e : highest;
        }
    }

    /**
     * Fences only grow, so a history of reads can be put in an order that fits the asking and answering just where none
     * answers less than what was known before it was asked: one pass over the history decides it.
     */
    private void reads() {
        Map<String, Event> highest = new TreeMap<>();
        Map<Long, Event> askedAfter = new TreeMap<>();
        for (Event e : history) {
            if (e.kind() == Kind.ASKED) {
                if (highest.containsKey(e.name())) {
                    askedAfter.put(e.other(), highest.get(e.name()));
                }
            } else if (e.kind() == Kind.READ || e.kind() == Kind.BEGIN) {
                Event known = e.kind() == Kind.READ ? askedAfter.remove(e.other()) : null;
                if (known != null && e.number() < known.number()) {
                    found("no-stale-read", e.name() + " was read under " + e.number() + " after " + known.number(), known, e);
                }
                Event before = highest.get(e.name());
                highest.put(e.name(), before == null || e.number() > before.number() ? e : before);
            }
        }
    }

    private void periods() {
        Map<String, Event> firsts = new TreeMap<>();
        for (Event e : history) {
            if (e.kind() == Kind.BEGIN && !e.text().isEmpty()) {
                Event first = firsts.putIfAbsent(e.name() + " " + e.text(), e);
                if (first != null) {
                    found("once-a-period", e.name() + " acted twice for period " + e.text(), first, e);
                }
            }
        }
    }

    private void goesOn(Map<String, List<Act>> acts) {
        Event quiet = history.stream().filter(e -> e.kind() == Kind.QUIET).findFirst().orElse(null);
        Event over = history.stream().filter(e -> e.kind() == Kind.OVER).findFirst().orElse(null);
        if (quiet == null || over == null || over.at() < quiet.at() + goesOnMicros) {
            return; // it was not played to its end, which is no verdict on the nodes
        }
        acts.forEach((lease, list) -> {
            boolean went = list.stream().anyMatch(a -> a.begin().at() > quiet.at()
                    && a.begin().at() <= quiet.at() + goesOnMicros);
            if (!went) {
                found("goes-on", lease + " had no act for " + goesOnMicros / 1000 + " ms after the last fault", quiet, over);
            }
        });
    }
}
