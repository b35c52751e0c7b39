package rowanplank.lab.check;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import rowanplank.lab.trace.Event.Kind;
import rowanplank.lab.trace.Event;

/**
 * {@link Rule#BAD_CLIENT}: within 3 s of connecting a bad client is told an error (400 or above) or its connection is
 * closed, within 6 s one with a very long body; and it is never served. Excused: what happened to the node itself, and
 * segments that were lost; and one of those that may be served by right, since what it was served is not told
 * ({@link Excuse#BAD_BUT_SERVED}).
 *
 * <p>Memory: those of the last 6 s, and those that still wait.
 */
final class BadClients implements Check {
    private static final Duration OWED = Duration.ofSeconds(3);
    private static final Duration OWED_LONG = Duration.ofSeconds(6);
    private static final List<String> LONG = List.of("LONG_BODY");
    private static final String OTHERS_ID = "OTHERS_ID";
    private static final List<String> SERVED_BY_RIGHT = List.of("PIPELINED", OTHERS_ID);

    private final Figures figures;
    private final Picture picture;
    private final Findings findings;
    /** By number, in the order of their connecting. */
    private final Map<Long, Event> waiting = new LinkedHashMap<>();

    BadClients(Figures figures, Picture picture, Findings findings) {
        this.figures = figures;
        this.picture = picture;
        this.findings = findings;
    }

    @Override
    public void see(Event e, Request request) {
        switch (e.kind()) {
            case BAD_BEGAN -> waiting.put(e.request(), e);
            case BAD_SERVED -> served(waiting.get(e.request()), e);
            case BAD_ENDED -> {
                Event began = waiting.remove(e.request());
                if (began != null) {
                    judge(began, e);
                }
            }
            default -> { }
        }
    }

    /** Where segments are lost, the request of the client whose id it is may come later than this one's. */
    private void served(Event began, Event e) {
        boolean others = began != null && began.text().equals(OTHERS_ID);
        Excuse trouble = others ? picture.node(e.node()).excuse(began.at() - OWED.toNanos(), e.at()) : null;
        if (trouble != null) {
            findings.excuse(trouble);
        } else if (others && !figures.retransmission().isZero()) {
            findings.excuse(Excuse.SEGMENTS_LOST);
        } else {
            broke(began, e, "served with status " + e.value());
        }
    }

    private void judge(Event began, Event end) {
        long late = began.at() + (LONG.contains(began.text()) ? OWED_LONG : OWED).toNanos();
        if (end.value() == Event.NONE || end.at() > late) {
            Excuse excuse = SERVED_BY_RIGHT.contains(began.text()) ? Excuse.BAD_BUT_SERVED
                    : excuse(began, end.at(), late);
            if (excuse != null) {
                findings.excuse(excuse);
            } else {
                broke(began, end, String.format("%s: neither an error nor a close for %.3f s", began.text(),
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

    private void broke(Event began, Event e, String text) {
        List<Event> own = began == null ? List.of(e) : List.of(began, e);
        findings.broke(Rule.BAD_CLIENT, e.at(), e.node(), Event.NONE, e.request(), own, text);
    }

    @Override
    public void ended(Event dayEnded) {
        for (Iterator<Event> i = waiting.values().iterator(); i.hasNext(); i.remove()) {
            Event began = i.next();
            judge(began, new Event(dayEnded.at(), Kind.BAD_ENDED, began.node(), Event.NONE, began.request(),
                    Event.NONE, null));
        }
    }
}
