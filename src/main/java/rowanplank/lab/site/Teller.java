package rowanplank.lab.site;

import java.time.Instant;
import org.eclipse.jetty.io.EndPoint;
import rowanplank.lab.net.Stamped;
import rowanplank.lab.trace.Event.Kind;
import rowanplank.lab.trace.Trace;
import rowanplank.lab.world.World;
import rowanplank.net.Loop;

/** Tells events at the time of a loop. */
final class Teller {
    private final Loop loop;
    private final Trace trace;

    Teller(Loop loop, Trace trace) {
        this.loop = loop;
        this.trace = trace;
    }

    /** Nanoseconds since the beginning of the world. */
    long now() {
        Instant now = loop.clock().now();
        return (now.getEpochSecond() - World.BEGINNING.getEpochSecond()) * 1_000_000_000 + now.getNano();
    }

    void tell(Kind kind, int node, int server, long request, long value, String text) {
        trace.tell(now(), kind, node, server, request, value, text);
    }

    /** When the other side wrote what was read first; now where that is not known. */
    long firstByteSentAt(EndPoint from) {
        return from instanceof Stamped s ? s.firstByteSentAt() : now();
    }

    long lastByteSentAt(EndPoint from) {
        return from instanceof Stamped s ? s.lastByteSentAt() : now();
    }

    /** When the other side ended the connection. */
    long endSentAt(EndPoint from) {
        long sent = from instanceof Stamped s ? s.endSentAt() : Stamped.NEVER;
        return sent == Stamped.NEVER ? now() : sent;
    }
}
