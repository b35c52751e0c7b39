package rowanplank.lab.check;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import rowanplank.lab.trace.Event;
import rowanplank.lab.trace.Event.Kind;

/**
 * {@link Rule#COLD_SERVER} (WIRE, The contract, 4): when a cold server falls, it is broken if
 * <pre>
 *   work offered in the last fallTime by nodes that had been told of its start &gt;= 2/3 of all work offered in it
 * </pre>
 * where a node counts as told from when discovery wrote it the server's present life. Work counts as it is offered,
 * also what is turned away.
 *
 * <p>Memory: what was offered in one {@code fallTime}, for each server that is cold.
 */
final class ColdServers implements Check {
    private static final double MOST_BY_TOLD = 2.0 / 3;

    private final Figures figures;
    private final Picture picture;
    private final Findings findings;
    private final Map<Integer, Deque<Event>> offered = new LinkedHashMap<>();

    ColdServers(Figures figures, Picture picture, Findings findings) {
        this.figures = figures;
        this.picture = picture;
        this.findings = findings;
    }

    @Override
    public void see(Event e, Request request) {
        if (e.kind() == Kind.TRY_OFFERED_COLD) {
            Deque<Event> offers = offered.computeIfAbsent(e.server(), s -> new ArrayDeque<>());
            offers.add(e);
            dropOld(offers, e.at());
        } else if (e.kind() == Kind.SERVER_FELL) {
            Deque<Event> offers = offered.remove(e.server());
            if (offers != null) {
                dropOld(offers, e.at());
                fell(e, offers);
            }
        } else if (e.kind() == Kind.SERVER_ENDED) {
            offered.remove(e.server());
        }
    }

    private void dropOld(Deque<Event> offers, long now) {
        while (!offers.isEmpty() && offers.peek().at() <= now - figures.fallTime().toNanos()) {
            offers.poll();
        }
    }

    private void fell(Event fall, Deque<Event> offers) {
        double all = 0;
        double byTold = 0;
        Map<Integer, Double> shares = new TreeMap<>();
        for (Event offer : offers) {
            all += offer.value();
            if (picture.told.knewOfStart(offer.node(), offer.server(), offer.at())) {
                byTold += offer.value();
                shares.merge(offer.node(), (double) offer.value(), Double::sum);
            }
        }
        if (all > 0 && byTold / all >= MOST_BY_TOLD) {
            int most = shares.entrySet().stream().max(Map.Entry.comparingByValue()).orElseThrow().getKey();
            String could = offers.peekLast().text();
            findings.broke(Rule.COLD_SERVER, fall.at(), most, fall.server(), String.format(Locale.ROOT,
                    "a cold server fell under %.0f ms of work in %d ms, %.0f %% of it from nodes that knew, "
                    + "when it could do %s thousandths of a core", all / 1e6, figures.fallTime().toMillis(),
                    100 * byTold / all, could));
        }
    }
}
