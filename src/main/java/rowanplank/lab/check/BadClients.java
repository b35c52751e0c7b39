package rowanplank.lab.check;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rowanplank.lab.trace.Event;
import rowanplank.lab.trace.Event.Kind;

/**
 * {@link Rule#BAD_CLIENT}: within 3 s of connecting a bad client is told an error (400 or above) or its connection is
 * closed, within 6 s one with a very long body; and it is never served. Excused: what happened to the node itself,
 * segments that were lost, and one of those that may be served by right, if a server answered a request of its own
 * meanwhile ({@link Excuse#BAD_BUT_SERVED}).
 *
 * <p>Memory: those of the last 6 s, and those that still wait.
 */
final class BadClients implements Check {
    private static final Duration OWED = Duration.ofSeconds(3);
    private static final Duration OWED_LONG = Duration.ofSeconds(6);
    private static final List<String> LONG = List.of("LONG_BODY");
    private static final String OTHERS_ID = "OTHERS_ID";
    private static final List<String> SERVED_BY_RIGHT = List.of("PIPELINED", OTHERS_ID);
    /** How many numbers of requests each has, from its own on. */
    private static final int NUMBERS = rowanplank.lab.client.BadClients.NUMBERS;

    private static final class Waiting {
        final Event began;
        boolean servedByRight;

        Waiting(Event began) {
            this.began = began;
        }
    }

    private final Figures figures;
    private final Picture picture;
    private final Findings findings;
    private final TreeMap<Long, Waiting> waiting = new TreeMap<>();

    BadClients(Figures figures, Picture picture, Findings findings) {
        this.figures = figures;
        this.picture = picture;
        this.findings = findings;
    }

    @Override
    public void see(Event e, Request request) {
        switch (e.kind()) {
            case BAD_BEGAN -> waiting.put(e.request(), new Waiting(e));
            case BAD_SERVED -> served(waiting.get(e.request()), e);
            case BAD_ENDED -> {
                Waiting ended = waiting.remove(e.request());
                if (ended != null) {
                    judge(ended, e);
                }
            }
            case TRY_ANSWERED -> {
                Map.Entry<Long, Waiting> owner = request != null ? null : waiting.floorEntry(e.request());
                if (owner != null && e.value() == 200 && e.request() < owner.getKey() + NUMBERS) {
                    owner.getValue().servedByRight = SERVED_BY_RIGHT.contains(owner.getValue().began.text());
                }
            }
            default -> { }
        }
    }

    /** Where segments are lost, the request of the client whose id it is may come later than this one's. */
    private void served(Waiting bad, Event e) {
        boolean others = bad != null && bad.began.text().equals(OTHERS_ID);
        Excuse trouble = others ? picture.node(e.node()).excuse(bad.began.at() - OWED.toNanos(), e.at()) : null;
        if (trouble != null) {
            findings.excuse(trouble);
        } else if (others && !figures.retransmission().isZero()) {
            findings.excuse(Excuse.SEGMENTS_LOST);
        } else {
            broke(bad, e, "served with status " + e.value());
        }
    }

    private void judge(Waiting ended, Event end) {
        Event began = ended.began;
        long late = began.at() + (LONG.contains(began.text()) ? OWED_LONG : OWED).toNanos();
        if (end.value() == Event.NONE || end.at() > late) {
            Excuse excuse = ended.servedByRight ? Excuse.BAD_BUT_SERVED : excuse(began, end.at(), late);
            if (excuse != null) {
                findings.excuse(excuse);
            } else {
                broke(ended, end, String.format("%s: neither an error nor a close for %.3f s", began.text(),
                        (end.at() - began.at()) / 1e9));
            }
        }
    }

    private Excuse excuse(Event began, long until, long late) {
        Node node = picture.node(began.node());
        Excuse trouble = node.excuse(began.at() - figures.arrives().toNanos(), until);
        long lossy = 2 * figures.retransmission().toNanos();
        return node.lifeAt(began.at()).endedAt <= until ? Excuse.NODE_KILLED
                : trouble != null ? trouble : lossy > 0 && until - late <= lossy ? Excuse.SEGMENTS_LOST : null;
    }

    private void broke(Waiting served, Event e, String text) {
        List<Event> own = served == null ? List.of(e) : List.of(served.began, e);
        findings.broke(Rule.BAD_CLIENT, e.at(), e.node(), Event.NONE, e.request(), own, text);
    }

    @Override
    public void ended(Event dayEnded) {
        waiting.values().forEach(w -> judge(w, new Event(dayEnded.at(), Kind.BAD_ENDED, w.began.node(), Event.NONE,
                w.began.request(), Event.NONE, null)));
        waiting.clear();
    }
}
