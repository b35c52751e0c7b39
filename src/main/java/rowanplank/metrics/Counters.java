package rowanplank.metrics;

import java.util.Locale;

/** What the node has taken in, sent and answered since its start; kept on the event loop's thread. */
public final class Counters {
    /** What is counted. */
    public enum Count {
        CLIENT_CONNECTIONS, CLIENT_CONNECTIONS_TURNED_AWAY, CLIENT_CONNECTIONS_EVICTED,
        REQUESTS_TAKEN, REQUESTS_MALFORMED, REQUESTS_TURNED_AWAY,
        ANSWERS_SERVED,
        ANSWERS_REJECTED, ANSWERS_FAILED, ANSWERS_OVERDUE, CLIENTS_DEPARTED, TRIES_SENT, TRIES_OK, TRIES_ERROR,
        TRIES_FULL, TRIES_TIMEOUT, TRIES_CONNECT_FAILED, TRIES_RESET, TRIES_CANCELLED, TRIES_MOOT,
        PEER_CONNECTIONS, TRANSFERS, TRANSFERS_BROKEN, UPLOADS,
        DISCOVERY_LISTS, DISCOVERY_FAILURES, DISCOVERY_MALFORMED, RELOADS, RELOADS_UNUSABLE,
        INTERNAL_FAILURES;

        String metric() {
            return "rowanplank_" + name().toLowerCase(Locale.ROOT) + "_total";
        }
    }

    private static final Count[] ALL = Count.values();

    private final long[] counts = new long[ALL.length];

    public void add(Count count) {
        counts[count.ordinal()]++;
    }

    public long get(Count count) {
        return counts[count.ordinal()];
    }

    /** All counters in Prometheus' text format. */
    public String text() {
        StringBuilder text = new StringBuilder();
        for (Count c : ALL) {
            text.append("# TYPE ").append(c.metric()).append(" counter\n")
                    .append(c.metric()).append(' ').append(get(c)).append('\n');
        }
        return text.toString();
    }

    /** All counters that are not zero, in one line. */
    public String line() {
        StringBuilder line = new StringBuilder("counters:");
        for (Count c : ALL) {
            line.append(get(c) == 0 ? "" : " " + c.name().toLowerCase(Locale.ROOT) + "=" + get(c));
        }
        return line.toString();
    }
}
