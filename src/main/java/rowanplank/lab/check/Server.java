package rowanplank.lab.check;

import rowanplank.lab.trace.Event;
import rowanplank.lab.trace.Recent;

/** What was told of one life of a page server. Bounds: a span a fault, the last events. */
final class Server {
    private static final int RECENT = 16;

    final Recent recent = new Recent(RECENT);
    final Spans vanished = new Spans();
    /** The name discovery knows it by; null if it was never said. */
    String name;
    int hall = Event.NONE;
    /** The server at whose address it started. */
    int tookOver = Event.NONE;
    long startedAt;
    /** When its process ended or it fell. */
    long endedAt = Node.NEVER;

    void see(Event e) {
        recent.tell(e);
        switch (e.kind()) {
            case SERVER_STARTED -> {
                name = e.text();
                hall = (int) e.value();
                startedAt = e.at();
                tookOver = (int) e.request();
            }
            case SERVER_ENDED, SERVER_FELL -> endedAt = Math.min(endedAt, e.at());
            default -> { }
        }
    }
}
