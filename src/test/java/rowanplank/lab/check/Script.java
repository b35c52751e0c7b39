package rowanplank.lab.check;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import rowanplank.lab.day.Fault;
import rowanplank.lab.trace.Event;
import rowanplank.lab.trace.Event.Kind;

/**
 * A hand-written stream of events, told to the rules at once. Two nodes (0, 1) and servers 0 to 2, all ready and known,
 * in one hall of two. Times are milliseconds; requests wait 1000. A try is on its way for 1 ms.
 */
final class Script {
    static final Figures FIGURES = figures(List.of(fault(Fault.Kind.NODE_PAUSED, 0), fault(Fault.Kind.NODE_SHORT, 0),
            fault(Fault.Kind.CUT, 0), fault(Fault.Kind.SERVER_VANISHED, 0)), Duration.ZERO);
    static final int PAUSED = 0;
    static final int SHORT = 1;
    static final int CUT = 2;
    static final int SILENT_SERVER = 3;

    private final Rules rules;
    private int node;
    private long now;

    Script() {
        this(FIGURES);
    }

    Script(Figures figures) {
        rules = new Rules(figures);
        tell(Kind.DAY_BEGAN, Event.NONE, Event.NONE, figures.seed(), "");
        for (int s = 0; s < 3; s++) {
            starts(s, "s" + s);
        }
        for (int n = 0; n < 2; n++) {
            on(n).life(Kind.NODE_STARTED);
        }
        on(0);
    }

    static Figures figures(List<Fault> faults, Duration retransmission) {
        return new Figures(7, ms(70), ms(300), ms(1500), 3, true,
                Map.of("page", "repeatable", "order", "once", "keyed", "by_key"), faults, 2, ms(5), retransmission,
                ms(3000));
    }

    private static Fault fault(Fault.Kind kind, int target) {
        return new Fault(kind, Duration.ZERO, ms(100), target, 0);
    }

    private static Duration ms(double count) {
        return Duration.ofNanos(nanos(count));
    }

    static long nanos(double ms) {
        return Math.round(ms * 1e6);
    }

    private Script tell(Kind kind, int server, long request, long value, String text) {
        boolean ofNode = kind != Kind.DAY_BEGAN && kind != Kind.DAY_ENDED && !kind.name().startsWith("SERVER");
        rules.tell(now, kind, ofNode ? node : Event.NONE, server, request, value, text);
        return this;
    }

    Script at(double ms) {
        now = nanos(ms);
        return this;
    }

    Script on(int number) {
        node = number;
        return this;
    }

    /** Something happens to the node, or it does something. */
    Script life(Kind kind) {
        return tell(kind, Event.NONE, Event.NONE, 0, "it");
    }

    Script held(int count, String what) {
        return tell(Kind.NODE_HELD, Event.NONE, Event.NONE, count, what);
    }

    Script fault(Kind kind, int place) {
        rules.tell(now, kind, Event.NONE, Event.NONE, Event.NONE, place, "");
        return this;
    }

    Script starts(int server, String name) {
        return tell(Kind.SERVER_STARTED, server, Event.NONE, 0, name);
    }

    Script takesOver(int server, String name, int other) {
        return tell(Kind.SERVER_STARTED, server, other, 0, name);
    }

    Script server(Kind kind, int server) {
        return tell(kind, server, Event.NONE, 0, null);
    }

    /** @param state 0 gone, 1 ready, 2 draining */
    Script told(int server, int state) {
        return tell(Kind.TOLD, server, 0, state, null);
    }

    Script asked(long request) {
        return asked(request, "page");
    }

    Script asked(long request, String type) {
        return tell(Kind.ASKED, Event.NONE, request, now + nanos(1000), type);
    }

    Script answered(long request, int status, String text) {
        return tell(Kind.ANSWERED, Event.NONE, request, status, text);
    }

    /** CUT_SHORT (1: partly), GAVE_UP, NOT_CONNECTED, SENT_ANEW. */
    Script client(Kind kind, long request, int value) {
        return tell(kind, Event.NONE, request, value, value == 0 ? "unread" : "no length");
    }

    /** The connection ends without an answer, though the node has read the request. */
    Script cut(long request, String text) {
        return tell(Kind.CUT_SHORT, Event.NONE, request, 0, text);
    }

    Script began(long request, int server, double sentAt) {
        return tell(Kind.TRY_BEGAN, server, request, nanos(sentAt), null);
    }

    Script began(long request, int server, String why) {
        return tell(Kind.TRY_BEGAN, server, request, now, why);
    }

    Script came(long request, int server, double sentAt) {
        return tell(Kind.TRY_CAME, server, request, nanos(sentAt), null);
    }

    /** A try that was sent whole at that time has come now. */
    Script tried(long request, int server, double sentAt) {
        return began(request, server, sentAt).came(request, server, sentAt);
    }

    Script tried(long request, int server) {
        return tried(request, server, now / 1e6 - 1);
    }

    Script runs(long request, int server) {
        return tell(Kind.TRY_RUNS, server, request, 1, null);
    }

    Script offered(int server, long request, double ms) {
        return tell(Kind.TRY_OFFERED_COLD, server, request, nanos(ms), "300");
    }

    Script serverAnswers(long request, int server, int status, String text) {
        return tell(Kind.TRY_ANSWERED, server, request, status, text);
    }

    Script withdrawn(long request, int server, double endedAt) {
        return tell(Kind.TRY_WITHDRAWN, server, request, nanos(endedAt), null);
    }

    Script lost(long request, int server, String how) {
        return tell(Kind.TRY_LOST, server, request, 0, how);
    }

    /** A request that is asked now, tried, and answered as it should be, 10 ms later. */
    Script served(long request, int server) {
        double ms = now / 1e6;
        return asked(request).at(ms + 2).tried(request, server).at(ms + 8).serverAnswers(request, server, 200, "d")
                .at(ms + 10).answered(request, 200, "d");
    }

    Script bad(Kind kind, long number, int value, String text) {
        return tell(kind, Event.NONE, number, value, text);
    }

    /** @param rest 0 if the day has come to rest */
    Script dayEnds(int rest) {
        return tell(Kind.DAY_ENDED, Event.NONE, Event.NONE, rest, null);
    }

    Verdict verdict() {
        return rules.verdict();
    }
}
