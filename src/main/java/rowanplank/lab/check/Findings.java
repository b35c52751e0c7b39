package rowanplank.lab.check;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import rowanplank.lab.trace.Event;

/** All that checks find: breaks, of which the first are kept with what went before, excuses and counts. */
final class Findings {
    /** Whoever looks for a cause needs the first ones. */
    private static final int MOST_KEPT = 100;
    private static final int MOST_BEFORE = 60;

    private final long seed;
    private final Picture picture;
    private final List<Break> kept = new ArrayList<>();
    private final Map<Rule, Long> broken = new EnumMap<>(Rule.class);
    private final Map<Excuse, Long> excuses = new EnumMap<>(Excuse.class);
    private final Map<Count, Long> counts = new EnumMap<>(Count.class);

    Findings(long seed, Picture picture) {
        this.seed = seed;
        this.picture = picture;
        for (Count count : Count.values()) {
            counts.put(count, 0L);
        }
    }

    /** A rule was broken with a request. @param server {@link Event#NONE} if it has nothing to do with one */
    void broke(Rule rule, long at, int server, Request request, String text) {
        broke(rule, at, request.node, server, request.number, request.events, text);
    }

    /** A rule was broken, and no one request is to blame. */
    void broke(Rule rule, long at, int node, int server, String text) {
        broke(rule, at, node, server, Event.NONE, List.of(), text);
    }

    /** @param own the events that belong to the break alone */
    void broke(Rule rule, long at, int node, int server, long request, List<Event> own, String text) {
        broken.merge(rule, 1L, Long::sum);
        if (kept.size() < MOST_KEPT) {
            kept.add(new Break(rule, seed, at, node, server, request, text, before(at, node, server, own)));
        }
    }

    private List<Event> before(long at, int node, int server, List<Event> own) {
        List<Event> events = new ArrayList<>();
        Set<Event> seen = new LinkedHashSet<>();
        add(picture.faults.events(), events, seen);
        if (node != Event.NONE) {
            add(picture.node(node).recent.events(), events, seen);
        }
        if (server != Event.NONE) {
            add(picture.server(server).recent.events(), events, seen);
        }
        add(own, events, seen);
        events.removeIf(e -> e.at() > at);
        events.sort(Comparator.comparingLong(Event::at));
        return events.subList(Math.max(0, events.size() - MOST_BEFORE), events.size());
    }

    /** The same event stands in several places. */
    private static void add(Collection<Event> from, List<Event> to, Set<Event> seen) {
        from.stream().filter(seen::add).forEach(to::add);
    }

    void excuse(Excuse excuse) {
        excuses.merge(excuse, 1L, Long::sum);
    }

    void count(Count what) {
        counts.merge(what, 1L, Long::sum);
    }

    Verdict verdict(boolean ended) {
        return new Verdict(ended, kept, broken, excuses, counts);
    }
}
