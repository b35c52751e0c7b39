package rowanplank.lab.trace;

/**
 * One thing that happened in a day, as whoever saw it from outside of the nodes tells it: the one source of the trace,
 * of its digest, of the rule checker and of all figures. What each {@link Kind} puts into the fields stands there.
 *
 * @param at nanoseconds since the beginning of the world
 * @param node the node's number; {@link #NONE} where no node is concerned
 * @param server the page server's number, a new one for each life of a process; {@link #NONE} where none is concerned
 * @param request the request's number, or what the kind says; {@link #NONE} where none is concerned
 * @param value what the kind says
 * @param text what the kind says; may be null
 */
public record Event(long at, Kind kind, int node, int server, long request, long value, String text) {
    public static final int NONE = -1;

    /** What can happen. Times in {@code value} are nanoseconds since the beginning. */
    public enum Kind {
        /** The day begins. value: its seed; text: the digest of its description. */
        DAY_BEGAN,
        /** The last arrival is over and all is at rest, or the day was ended since it never came to rest (value 1). */
        DAY_ENDED,
        /** A fault begins. value: its place in the day's timeline; text: its kind; node or server: at which it is. */
        FAULT_BEGAN,
        /** A fault has ended. The same. */
        FAULT_ENDED,

        /** A node's process starts. value: its hall. */
        NODE_STARTED,
        /** A front saw it say that it can serve, for the first time in this life. */
        NODE_READY,
        /** It is told to stop (SIGTERM). */
        NODE_TOLD_TO_STOP,
        /** It is told to read its configuration anew (SIGHUP). */
        NODE_TOLD_TO_RELOAD,
        /** Its process ended by itself. value: the exit status. */
        NODE_ENDED,
        /** Its process is killed outright. */
        NODE_KILLED,
        /** Its machine falls silent. */
        NODE_VANISHED,
        /** Its machine is heard again. */
        NODE_RETURNED,
        /** A line of its log. value: 1 for a warning. */
        NODE_LOGGED,
        /** Its code threw where nothing was foreseen. text: what. */
        NODE_BROKE,
        /** At the day's end. value: how many are left; text: of what ({@code requests}, {@code connections}, ...). */
        NODE_HELD,

        /** A page server's process starts. value: its hall; text: the name discovery knows it by; request: the server
         *  at whose address it stands, if that is another's. */
        SERVER_STARTED,
        /** It begins to drain. */
        SERVER_DRAINS,
        /** Its process has ended or was killed. */
        SERVER_ENDED,
        /** It started cold, was sent more than it could do for too long, and went down. */
        SERVER_FELL,
        /** Discovery wrote to a node of a server: whole, or as much as it got out. request: the server's start, Unix
         *  milliseconds, 0 for long ago; value: 0 gone, 1 ready, 2 draining; server: {@link #NONE} and text: the name
         *  where the list names none that ever ran. */
        TOLD,

        /** A client wants something, and has yet to find a connection. value: when it stops waiting; text: the class. */
        ARRIVED,
        /** A client has written a request's last byte to a connection that the node's machine accepted. value: when
         *  the client stops waiting; text: the class. */
        ASKED,
        /** The client tries the same once more, as ARRIVED. request: the new number; value: the old one. */
        ASKED_AGAIN,
        /** A whole answer has come. value: the status; text: for 200 the digest of its body, else the Retry-After. Once
         *  more for the same request, with value 0, if the node sends anything behind it. */
        ANSWERED,
        /** The connection ended without a whole answer, or the client can't read it. value: 1 if the node had written
         *  part of one; text: what the client saw, {@code unread} where the node may not have read the request. */
        CUT_SHORT,
        /** The client stopped waiting and closed its connection: once it had waited for as long as the rules allow. */
        GAVE_UP,
        /** The client found no connection on which it could write its request whole. text: why. */
        NOT_CONNECTED,
        /** The node (this one) closed the connection before it had read the request, and the client sends it on a new
         *  one: what it asked there is void, and ASKED follows once more, of whichever node. */
        SENT_ANEW,

        /** A bad client has connected. request: its number; text: what it does. */
        BAD_BEGAN,
        /** It was told an error (value: the status), its connection was closed (value: 0), or it left with neither
         *  (value: -1). */
        BAD_ENDED,
        /** It was served as though its request had run. value: the status. */
        BAD_SERVED,

        /** A try's first byte has come to a server. value: when the node wrote that byte; text: null, or why this can
         *  be no request of ours. */
        TRY_BEGAN,
        /** Its last byte has come. value: when the node wrote that byte. */
        TRY_CAME,
        /** The server has begun to work on it. value: the work in nanoseconds of a core of speed 1. */
        TRY_RUNS,
        /** A server that started cold is sent work. value: the work as above; text: what it could do just then, in
         *  thousandths of a core of speed 1. */
        TRY_OFFERED_COLD,
        /** The server has written an answer's last byte. value: the status; text: for 200 the body's digest, and
         *  {@code spoilt} before it where the answer can't be read. */
        TRY_ANSWERED,
        /** The node has ended its side of the connection while the try was out. value: when it did. */
        TRY_WITHDRAWN,
        /** The server's side ended the connection while the try was out, or will never answer. text: how. */
        TRY_LOST,
        /** A probe came to a server. */
        PROBED,
        /** A datagram from one node to others. value: its bytes; request: how many it goes to. */
        DATAGRAM,

        /** A node's operators drain it. */
        NODE_TOLD_TO_DRAIN,
        /** They want it back at work. */
        NODE_TOLD_TO_REJOIN,
        /** It was drained 4 s ago, and keeps clients' connections at rest, or says that it is up. value: how many. */
        NODE_KEPT
    }
}
