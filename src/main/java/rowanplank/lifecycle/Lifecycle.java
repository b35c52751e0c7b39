package rowanplank.lifecycle;

import java.time.Duration;
import java.time.Instant;

/**
 * The one state of a node's life, and all that follows from it for those outside: whether the node says that it is up
 * or ready, whether it accepts connections, whether an answer is the last on its connection, how long a connection may
 * rest, and when the node ends. It touches no socket and no clock; each call costs O(1) and it holds a few fields.
 *
 * <table>
 * <caption>What an event makes of each state; where a field is empty nothing changes</caption>
 * <tr><th>event</th><th>STARTING</th><th>SERVING</th><th>DRAINING</th><th>LEAVING</th></tr>
 * <tr><td>can serve</td><td>SERVING; accept, where the listener is shared</td><td></td>
 *     <td>noted for the rejoin; accept, where the listener is shared</td><td></td></tr>
 * <tr><td>no peers any more</td><td></td><td>says not up until there are some</td><td></td><td></td></tr>
 * <tr><td>evacuate, or its turn for work</td><td>DRAINING</td><td>DRAINING</td><td></td><td></td></tr>
 * <tr><td>rejoin, or the turn is over, and not the other</td><td></td><td></td><td>SERVING, or STARTING where it never
 *     could serve</td><td></td></tr>
 * <tr><td>terminate</td><td>LEAVING</td><td>LEAVING</td><td>LEAVING</td><td></td></tr>
 * </table>
 *
 * <p>LEAVING with a listener of its own: it accepts and serves on, since its clients find no other node before their
 * front has seen this one go; once none is connected, or the longest deadline is nearly over, it accepts no more and
 * each answer is its connection's last. With a listener that another process shares (a new version under load): it
 * accepts no more at once, since what waits there is the other's, and each answer is its connection's last. In both
 * cases it ends once nothing is open, and rejects what is open, and what still comes, shortly before it would be killed.
 */
public final class Lifecycle {
    /** Where a node is in its life. */
    public enum State { STARTING, SERVING, DRAINING, LEAVING }

    /** What it asks of the node; none of these calls back into it. */
    public interface Actions {
        /** Accept connections from now on. */
        void accept();

        /** Accept no more. @param takeWaiting whether those that wait in the system's queue are to be taken first */
        void acceptNoMore(boolean takeWaiting);

        /** Answer all open requests with a reject: the node is about to be killed. */
        void rejectOpen();

        /** End the process. @param quiet whether nothing was open any more */
        void end(boolean quiet);

        /** Call {@link #onWake} once after this time. */
        void wake(Duration after);

        /** How much is open: client connections and requests. */
        int openCount();
    }

    /**
     * @param longestDeadline the longest that a request may take
     * @param shared whether the listener is the platform's, and other processes accept from it too
     */
    public record Settings(Duration longestDeadline, boolean shared) { }

    /**
     * With only the list of its last life a node serves if discovery says nothing for so long. Short: while its front
     * has no node to send to, all its clients' requests fail, and what is gone shows by its first refused connection.
     */
    static final Duration PATIENCE = Duration.ofMillis(250);
    /** A killed node's time: the longest deadline, counted as this where it is longer, and 0.7 s. */
    private static final Duration LONGEST_DEADLINE = Duration.ofSeconds(3);
    private static final Duration STOPS_WITHIN = Duration.ofMillis(500);
    /** The end of that time, in which connections are closed with their answers. */
    private static final Duration WINDING_DOWN = Duration.ofMillis(450);
    private static final Duration LAST_ANSWERS = Duration.ofMillis(150);
    private static final Duration LOOK_AGAIN = Duration.ofMillis(10);
    /** A connection that was accepted last is counted as open some turns of the loop later: so many looks, with the first. */
    private static final int LAST_LOOKS = 6;
    /** So long after it was told to stop, new connections may still come. */
    private static final Duration STILL_ACCEPTING = Duration.ofMillis(500);
    /** Connections at rest are kept so long into a drain: until then the front may still send over them. */
    static final Duration DRAIN_KEEPS = Duration.ofMillis(600);
    /** And none after this: at 4 s no client's connection may have had a request of the last 2 s. */
    static final Duration DRAIN_CLOSES = Duration.ofMillis(1600);
    /** A connection that is new or has just been answered may hold a request that is yet to be read. */
    static final Duration FRESH = Duration.ofMillis(100);
    /** What has rested so long while another process takes its clients is hardly asked again in this moment. */
    static final Duration LEAVING_KEEPS = Duration.ofMillis(500);

    private final Settings settings;
    private final Actions actions;
    private final Duration deadline;
    private Instant started;
    private Instant drainingSince;
    /** For whom it drains: each of them may take back only what it asked for itself. */
    private boolean byHand;
    private boolean byTurn;
    private Instant leavingSince;
    private Instant since;
    private boolean listed;
    private boolean peers;
    private boolean served;
    private boolean accepting;
    private boolean closing;
    private boolean rejected;
    /** How often it still looks whether something is open after all, before it ends. */
    private int looksLeft;
    private boolean ended;

    public Lifecycle(Settings settings, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        deadline = settings.longestDeadline().compareTo(LONGEST_DEADLINE) < 0 ? settings.longestDeadline()
                : LONGEST_DEADLINE;
    }

    /** The node's parts run. A listener of its own is opened at once, so that it can be asked whether it is up. */
    public void onStart(Instant now) {
        started = now;
        since = since == null ? now : since;
        if (!settings.shared() && leavingSince == null) {
            accept();
        }
        actions.wake(PATIENCE);
        look(now);
    }

    /**
     * The list of peers has changed.
     *
     * @param any whether something can be sent to one
     * @param told whether discovery has told it, or it is that of the node's last life
     */
    public void onPeers(Instant now, boolean any, boolean told) {
        peers = any;
        listed |= told;
        look(now);
    }

    /** An operator drains the node; a second time changes nothing. */
    public void onEvacuate(Instant now) {
        byHand = true;
        drain(now);
    }

    /** An operator wants it back at work; without a drain of an operator's this changes nothing. */
    public void onRejoin(Instant now) {
        byHand = false;
        rejoin(now);
    }

    /** The fleet takes the node out for work, or has not yet said that it may take clients. */
    public void onTurn(Instant now) {
        byTurn = true;
        drain(now);
    }

    /** For the fleet it may take clients. */
    public void onTurnOver(Instant now) {
        byTurn = false;
        rejoin(now);
    }

    private void drain(Instant now) {
        if (drainingSince == null && leavingSince == null) {
            drainingSince = now;
            since = now;
        }
    }

    private void rejoin(Instant now) {
        if (drainingSince != null && !byHand && !byTurn && leavingSince == null) {
            drainingSince = null;
            since = now;
            look(now);
        }
    }

    /** The process is to end. */
    public void onTerminate(Instant now) {
        if (leavingSince != null) {
            return;
        }
        leavingSince = now;
        since = now;
        if (settings.shared() || started == null) {
            close(false);
            actions.wake(LOOK_AGAIN);
        } else {
            actions.wake(STILL_ACCEPTING);
        }
    }

    /** A time that was asked for has come; earlier or later ones do no harm. */
    public void onWake(Instant now) {
        if (leavingSince == null) {
            look(now);
        } else if (!ended) {
            leave(now);
        }
    }

    private void look(Instant now) {
        if (served || started == null || leavingSince != null || !canServe(now)) {
            return;
        }
        served = true;
        since = drainingSince == null ? now : since;
        if (settings.shared()) {
            accept();
        }
    }

    private boolean canServe(Instant now) {
        return peers && (listed || passed(now, started, PATIENCE));
    }

    private void leave(Instant now) {
        Duration all = deadline.plus(STOPS_WITHIN);
        if (!closing && (passed(now, leavingSince, all.minus(WINDING_DOWN))
                || actions.openCount() == 0 && passed(now, leavingSince, STILL_ACCEPTING))) {
            close(true);
        }
        if (!rejected && passed(now, leavingSince, all.minus(LAST_ANSWERS))) {
            rejected = true;
            actions.rejectOpen();
        }
        boolean open = actions.openCount() > 0;
        looksLeft -= looksLeft > 0 ? 1 : 0;
        if (closing && !open && looksLeft == 0 || passed(now, leavingSince, all)) {
            ended = true;
            actions.end(!open);
        } else {
            actions.wake(LOOK_AGAIN);
        }
    }

    private void accept() {
        actions.accept();
        accepting = true;
    }

    private void close(boolean takeWaiting) {
        closing = true;
        if (accepting) {
            accepting = false;
            looksLeft = takeWaiting ? LAST_LOOKS : 0;
            actions.acceptNoMore(takeWaiting);
        }
    }

    private static boolean passed(Instant now, Instant from, Duration span) {
        return Duration.between(from, now).compareTo(span) >= 0;
    }

    public State state() {
        return leavingSince != null ? State.LEAVING : drainingSince != null ? State.DRAINING
                : served ? State.SERVING : State.STARTING;
    }

    /** Since when it is in this state; null before the start. */
    public Instant since() {
        return since;
    }

    /** Whether the front is told to send clients here. */
    public boolean isUp(Instant now) {
        return state() == State.SERVING && canServe(now);
    }

    /** Whether this process takes clients. */
    public boolean isReady() {
        return state() == State.SERVING && accepting;
    }

    /** Whether new requests are rejected, as those that were open have been: no answer would come in time. */
    public boolean rejectsAll() {
        return rejected;
    }

    /** Whether an answer that begins now is its connection's last. */
    public boolean closesWithAnswers() {
        return closing || drainingSince != null;
    }

    /** Whether a connection that owes nothing is closed at once: those that remain would keep the process. */
    public boolean isWindingDown(Instant now) {
        return leavingSince != null && closing
                && (!settings.shared() || passed(now, leavingSince, deadline.plus(STOPS_WITHIN).minus(WINDING_DOWN)));
    }

    /** How long a client's connection may be at rest, or silent; null where that is not for the lifecycle to say. */
    public Duration longestRest(Instant now) {
        if (isWindingDown(now)) {
            return FRESH;
        }
        if (closing) {
            return LEAVING_KEEPS;
        }
        return drainingSince == null ? null : longestRestInDrain(Duration.between(drainingSince, now));
    }

    /** From the first closing on it shrinks by the time gone by, so that not all are closed in one moment. */
    private static Duration longestRestInDrain(Duration drained) {
        if (drained.compareTo(DRAIN_KEEPS) < 0) {
            return null;
        }
        Duration left = DRAIN_CLOSES.minus(drained);
        return left.compareTo(FRESH) < 0 ? FRESH : left;
    }
}
