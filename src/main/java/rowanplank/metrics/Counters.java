package rowanplank.metrics;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

/** What the node has taken in, sent and answered since its start; kept on the event loop's thread. */
public final class Counters {
    /** What is counted. */
    public enum Count {
        CLIENT_CONNECTIONS, CLIENT_CONNECTIONS_TURNED_AWAY, CLIENT_CONNECTIONS_EVICTED,
        REQUESTS_TAKEN, REQUESTS_MALFORMED, REQUESTS_TURNED_AWAY,
        ANSWERS_SERVED,
        ANSWERS_REJECTED, ANSWERS_FAILED, ANSWERS_OVERDUE, CLIENTS_DEPARTED, TRIES_SENT, TRIES_OK, TRIES_ERROR,
        TRIES_FULL, TRIES_TIMEOUT, TRIES_CONNECT_FAILED, TRIES_RESET, TRIES_CANCELLED, TRIES_MOOT, PEER_CONNECTIONS,
        DISCOVERY_LISTS, DISCOVERY_FAILURES, DISCOVERY_MALFORMED, RELOADS, RELOADS_UNUSABLE,
        INTERNAL_FAILURES;

        String metric() {
            return "rowanplank_" + name().toLowerCase(Locale.ROOT) + "_total";
        }
    }

    private final Map<Count, long[]> counts = new EnumMap<>(Count.class);

    public Counters() {
        for (Count c : Count.values()) {
            counts.put(c, new long[1]);
        }
    }

    public void add(Count count) {
        counts.get(count)[0]++;
    }

    public long get(Count count) {
        return counts.get(count)[0];
    }

    /** All counters in Prometheus' text format. */
    public String text() {
        StringBuilder text = new StringBuilder();
        counts.forEach((c, n) -> text.append("# TYPE ").append(c.metric()).append(" counter\n")
                .append(c.metric()).append(' ').append(n[0]).append('\n'));
        return text.toString();
    }

    /** All counters that are not zero, in one line. */
    public String line() {
        StringBuilder line = new StringBuilder("counters:");
        counts.forEach((c, n) -> line.append(n[0] == 0 ? "" : " " + c.name().toLowerCase(Locale.ROOT) + "=" + n[0]));
        return line.toString();
    }
}
