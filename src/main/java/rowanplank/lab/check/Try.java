package rowanplank.lab.check;

import java.util.List;
import rowanplank.lab.trace.Event;

/** One try of a request, as its server saw it. Times of sending are the node's. */
final class Try {
    static final long NEVER = Long.MAX_VALUE;
    /** How the server's side gives up a try without ending its connection: for the node it is still out. */
    private static final List<String> STILL_OPEN = List.of("silent", "on a connection of no further use");
    private static final String SPOILT = "spoilt";

    final int node;
    final int server;
    /** When the node wrote its first byte. */
    final long firstSentAt;
    /** When the node wrote its last byte; {@link #NEVER} if that never came. */
    long lastSentAt = NEVER;
    boolean ran;
    /** When it was out no longer: the node ended it, or the server's side did, whichever was first. */
    long endedAt = NEVER;
    /** Whether the node has ended it: else the time is the server's, which the node learns of later. */
    boolean withdrawn;
    /** 0 where the server has not answered. */
    int status;
    /** Of a 200 that can be read. */
    String digest;
    /** Something came back that can't be passed on. */
    boolean broken;

    Try(Event began) {
        node = began.node();
        server = began.server();
        firstSentAt = began.value();
    }

    /** Whether it is the one to which this event belongs, if none before it is. */
    boolean expects(Event e) {
        return e.node() == node && e.server() == server && switch (e.kind()) {
            case TRY_CAME -> lastSentAt == NEVER && endedAt == NEVER;
            case TRY_RUNS -> whole() && !ran;
            case TRY_ANSWERED -> status == 0;
            // An end that was sent before the answer may come after it.
            case TRY_WITHDRAWN -> !withdrawn && e.value() >= firstSentAt && (endedAt == NEVER || e.value() < endedAt);
            default -> endedAt == NEVER;
        };
    }

    void see(Event e) {
        switch (e.kind()) {
            case TRY_CAME -> lastSentAt = e.value();
            case TRY_RUNS -> ran = true;
            case TRY_ANSWERED -> answered(e);
            case TRY_WITHDRAWN -> {
                withdrawn = true;
                endedAt = Math.min(endedAt, e.value());
            }
            case TRY_LOST -> {
                broken = true;
                if (e.text() == null || !STILL_OPEN.contains(e.text())) {
                    endedAt = Math.min(endedAt, e.at());
                }
            }
            default -> { }
        }
    }

    private void answered(Event e) {
        status = (int) e.value();
        broken = e.text() != null && e.text().startsWith(SPOILT);
        digest = status == 200 && !broken ? e.text() : null;
        endedAt = Math.min(endedAt, e.at());
    }

    boolean isAtSame(Try other) {
        return node == other.node && server == other.server;
    }

    void swapEnds(Try other) {
        long ended = endedAt;
        boolean byNode = withdrawn;
        endedAt = other.endedAt;
        withdrawn = other.withdrawn;
        other.endedAt = ended;
        other.withdrawn = byNode;
    }

    /** Whether its last byte came: only then is it one. */
    boolean whole() {
        return lastSentAt != NEVER;
    }

    /** Whether the server may have begun to work on it, for all that its node can know. */
    boolean mayHaveRun() {
        boolean turnedAway = (status == 503 || status == 504) && !broken;
        return ran || whole() && !turnedAway;
    }
}
