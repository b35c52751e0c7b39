package rowanplank.lab.check;

/** Why what looks like a broken rule is none. How often each was granted is in the {@link Verdict}. */
public enum Excuse {
    /** The node's process was killed outright: its clients look after themselves (PROTOCOL, The network). */
    NODE_KILLED,
    /** The node's machine was silent: nothing that it does can be seen, and nothing that is sent reaches it. */
    NODE_VANISHED,
    /** The node's process stood still, or had caught up for no more than {@link Node#RECOVERY}. */
    NODE_PAUSED,
    /** The node had less of its core than it is owed, or had it back for no more than {@link Node#RECOVERY}. */
    NODE_SHORT,
    /** The node's process ended by itself: the one break is that ({@link Rule#NODE_HEALTH}), not each request of it. */
    NODE_CRASHED,
    /** The client left before its time was up; nothing is owed any more. */
    CLIENT_LEFT,
    /**
     * The first request on a connection that the node closed before it had read it, and without having sent anything on
     * for it: failed, not lost. (On a connection that was used before, the client sends it anew.)
     */
    UNREAD,
    /** What a server sent could not be passed on whole, and the client could tell: failed, not lost. */
    ANSWER_BROKEN,
    /** Segments that are lost come later by time-outs that double; the lateness is within what these take. */
    SEGMENTS_LOST,
    /** Two tries seem to overlap by no more than an end of the first takes from the node to the server. */
    END_ON_ITS_WAY,
    /** The node's end of a try could not be seen: the way between, or the server's machine, was silent or slow. */
    WAY_DISTURBED,
    /** A bad client that got neither an error nor a close in time asked what may be served, and it was. */
    BAD_BUT_SERVED
}
