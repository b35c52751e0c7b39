package rowanplank.lab.trial.judge;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import rowanplank.lab.trial.judge.Event.Kind;

/** What a history tells of the order of work, put in order for {@link WorkJudge}. */
final class WorkHistory {
    /** What a node is asked is answered within this time, so what it tells was so that long ago at the most. */
    static final long TOLD_LATE = 600_000;
    /** A node that is asked goes on trying for so long, and its datagrams may be on the way for a while. */
    private static final long WORD_LATE = 6_000_000;

    /** A state of the ledger. @param first the event that told of it first */
    record State(long applied, ToldWork work, Event first) { }

    /** A machine's line from its turn on. Each event is the first that told of it; null where none did. */
    static final class Life {
        final String machine;
        final long asked;
        final long fence;
        final boolean restart;
        Event turn;
        Event out;
        Event returning;
        Event past;
        String how = "";

        Life(String machine, long asked, long fence, boolean restart) {
            this.machine = machine;
            this.asked = asked;
            this.fence = fence;
            this.restart = restart;
        }
    }

    /** A leader told this. */
    private record Led(long at, long term, long last) { }

    /** A number of staff's: when it was first said, and the first answer that is final, if there is one. */
    static final class Word {
        final Event first;
        Event answer;

        Word(Event first) {
            this.first = first;
        }
    }

    final List<Event> history;
    final Map<String, List<String>> nodesOf = new TreeMap<>();
    private final Map<String, String> hallOf = new TreeMap<>();
    private final Map<String, String> machineOf = new TreeMap<>();
    /** By how much was applied. */
    final TreeMap<Long, State> states = new TreeMap<>();
    /** By fence. */
    final TreeMap<Long, Life> lives = new TreeMap<>();
    final Map<Long, Word> words = new TreeMap<>();
    private final List<Led> led = new ArrayList<>();

    WorkHistory(List<Event> history, List<WorkJudge.Place> places) {
        this.history = history;
        for (WorkJudge.Place p : places) {
            nodesOf.computeIfAbsent(p.machine(), m -> new ArrayList<>()).add(p.node());
            hallOf.put(p.machine(), p.hall());
            machineOf.put(p.node(), p.machine());
        }
        Map<String, Event> status = new TreeMap<>();
        for (Event e : history) {
            switch (e.kind()) {
                case STATUS -> status.put(e.node(), e);
                case WORK -> work(e, status.get(e.node()));
                case STAFF -> words.computeIfAbsent(e.number(), n -> new Word(e));
                case STAFF_TOLD -> {
                    Word w = words.get(e.number());
                    if (w != null && w.answer == null && !e.text().equals("unknown")) {
                        w.answer = e;
                    }
                }
                default -> { }
            }
        }
        states.values().forEach(this::read);
    }

    private void work(Event e, Event status) {
        if (e.name().equals("leader") && status != null) {
            led.add(new Led(e.at(), status.number(), e.number()));
        }
        if (!e.text().isEmpty()) {
            states.putIfAbsent(e.other(), new State(e.other(), ToldWork.parse(e.text()), e));
        }
    }

    private static Event earlier(Event a, Event b) {
        return a == null || b.at() < a.at() ? b : a;
    }

    private void read(State s) {
        for (ToldWork.Line l : s.work().lines()) {
            if (l.isAway()) {
                Life life = lives.computeIfAbsent(l.fence(), f -> new Life(l.machine(), l.asked(), f, l.restart()));
                life.turn = earlier(life.turn, s.first());
                if (l.state().equals("out")) {
                    life.out = earlier(life.out, s.first());
                } else if (l.state().equals("returning")) {
                    life.returning = earlier(life.returning, s.first());
                }
            }
        }
        for (ToldWork.Past p : s.work().past()) {
            if (p.fence() > 0) {
                Life life = lives.computeIfAbsent(p.fence(), f -> new Life(p.machine(), p.asked(), f, false));
                life.turn = earlier(life.turn, s.first());
                life.past = earlier(life.past, s.first());
                life.how = p.how();
            }
        }
    }

    String hallOf(String machine) {
        return hallOf.getOrDefault(machine, "");
    }

    String machineOf(String node) {
        return machineOf.getOrDefault(node, "");
    }

    /** A moment after which this entry was written: its leader had told of fewer before; -1 where that is not known. */
    long writtenAfter(long index) {
        long term = led.stream().filter(l -> l.last() >= index).mapToLong(Led::term)
                .filter(t -> led.stream().anyMatch(l -> l.term() == t && l.last() < index)).max().orElse(-1);
        return led.stream().filter(l -> l.term() == term && l.last() < index).mapToLong(l -> l.at() - TOLD_LATE).max().orElse(-1);
    }

    /** A moment before which no word can have been about this turn. */
    private long turnFrom(Life l) {
        long after = writtenAfter(l.fence);
        return after >= 0 ? after : l.turn.at() - WORD_LATE;
    }

    /** When somebody first said one of these of the machine that may have been done after the turn; null where nobody did. */
    Event word(Life l, String... texts) {
        long from = turnFrom(l);
        List<String> wanted = List.of(texts);
        Event first = null;
        for (Word w : words.values()) {
            if (w.first.name().equals(l.machine) && wanted.contains(w.first.text())
                    && (w.answer == null || w.answer.text().equals("done") && w.answer.at() >= from)) {
                first = earlier(first, w.first);
            }
        }
        return first;
    }

    /** When each of the machine's nodes had been started anew after the turn; null where one has not. */
    private Event restarted(Life l) {
        long from = turnFrom(l);
        Event last = null;
        for (String n : nodesOf.get(l.machine)) {
            Event first = null;
            for (Event e : history) {
                if (e.kind() == Kind.STARTED && e.node().equals(n) && e.at() >= from) {
                    first = earlier(first, e);
                }
            }
            if (first == null) {
                return null;
            }
            last = last == null || first.at() > last.at() ? first : last;
        }
        return last;
    }

    /** What may have ended the time for which the machine was out, the first of it; null where nothing did. */
    Event mayReturn(Life l) {
        Event word = word(l, "done", "cancel", "skip");
        Event restarted = l.restart ? restarted(l) : null;
        return word == null ? restarted : restarted == null ? word : earlier(word, restarted);
    }

    /** Nodes that had ended before then and were not started by the end. */
    TreeSet<String> dead(long from, long until) {
        Map<String, Event> last = new TreeMap<>();
        TreeSet<String> back = new TreeSet<>();
        for (Event e : history) {
            if (e.kind() == Kind.STARTED || e.kind() == Kind.ENDED) {
                if (e.at() <= from) {
                    last.put(e.node(), e);
                } else if (e.at() <= until) {
                    back.add(e.node());
                }
            }
        }
        TreeSet<String> dead = new TreeSet<>();
        last.forEach((n, e) -> {
            if (e.kind() == Kind.ENDED && !back.contains(n)) {
                dead.add(n);
            }
        });
        return dead;
    }

    /** The longest that any of these stood still in a stall that touches this time. */
    long stalled(long from, long until) {
        return history.stream().filter(e -> e.kind() == Kind.STALLED && e.at() <= until && e.at() + e.number() >= from)
                .mapToLong(Event::number).max().orElse(0);
    }
}
