package routerfleet.data;

import io.netty.channel.Channel;
import java.util.ArrayDeque;
import java.util.Deque;
import routerfleet.settings.HostPort;
import routerfleet.wire.SessionRecord;

/** A model server as this node knows it: its session, connections, and what came of this node's own requests. */
final class Server {
    private static final long FIRST_PAUSE_MS = 400;
    private static final long LONGEST_PAUSE_MS = 6_000;
    /** Weight of one answer in the failure rate: two failures in a row are no single case. */
    private static final double FAILURE_GAIN = 0.25;
    private static final double AVOID_ABOVE = 0.4;

    /** An idle connection, since when it rests and until when it may be used, on the steady clock in milliseconds. */
    record Idle(UpstreamConnection connection, long sinceMs, long usableUntilMs) { }

    private final String uid;
    private final String backend;
    private final HostPort address;
    private final String zone;
    private final ZoneReach zoneReach;
    private final Deque<Idle> idle = new ArrayDeque<>();
    private final Warmth warmth = new Warmth();
    private final ColdAdmission.Permission permission = new ColdAdmission.Permission();
    private int capacity;
    private boolean listed;
    private boolean keptForShort;
    private int connections;
    private int inFlight;
    private long pauseMs = FIRST_PAUSE_MS;
    private long avoidUntilMs;
    private boolean trialOut;
    private double failureRate;
    /** When the oldest request that has had no sign of the server since was sent; 0 for none. */
    private long silentSinceMs;
    /** The same of the second oldest. */
    private long secondSilentSinceMs;

    Server(SessionRecord session) {
        this(session, new ZoneReach());
    }

    /** @param zoneReach shared by the servers of its zone */
    Server(SessionRecord session, ZoneReach zoneReach) {
        this.zoneReach = zoneReach;
        uid = session.uid();
        backend = session.backend();
        address = HostPort.parse(session.address());
        capacity = session.capacity();
        zone = session.zone();
    }

    String uid() {
        return uid;
    }

    String backend() {
        return backend;
    }

    HostPort address() {
        return address;
    }

    /** Where it runs; empty where it does not say. */
    String zone() {
        return zone;
    }

    /** Until when it counts as cold. */
    Warmth warmth() {
        return warmth;
    }

    /** This node's permission for it while it is cold. */
    ColdAdmission.Permission permission() {
        return permission;
    }

    int capacity() {
        return capacity;
    }

    void capacity(int changed) {
        capacity = changed;
    }

    /** Whether it may be sent new requests, as far as control nodes say. */
    boolean listed() {
        return listed;
    }

    void listed(boolean isListed) {
        listed = isListed;
    }

    /** Whether it is kept for short prompts, where nodes keep them apart. */
    boolean isKeptForShort() {
        return keptForShort;
    }

    void keptForShort(boolean isKept) {
        keptForShort = isKept;
    }

    int inFlight() {
        return inFlight;
    }

    int connections() {
        return connections;
    }

    void connectionOpened() {
        connections++;
    }

    void connectionClosed(UpstreamConnection connection) {
        connections--;
        idle.removeIf(i -> i.connection() == connection);
    }

    void sent(long nowMs) {
        inFlight++;
        zoneReach.sent(nowMs);
        if (silentSinceMs == 0) {
            silentSinceMs = nowMs;
        } else if (secondSilentSinceMs == 0) {
            secondSilentSinceMs = nowMs;
        }
        if (isAvoided(nowMs) || avoidUntilMs != 0) {
            trialOut = true;
        }
    }

    void ended() {
        inFlight--;
        trialOut = false;
        if (inFlight == 0) {
            silentSinceMs = 0;
        }
        if (inFlight < 2) {
            secondSilentSinceMs = 0;
        }
    }

    /** It has taken a connection. */
    void connected(long nowMs) {
        zoneReach.reached(nowMs);
    }

    /** It has not answered a connect. @param sinceMs when that began, on the steady clock */
    void connectTimedOut(long sinceMs, long nowMs) {
        zoneReach.timedOut(sinceMs, nowMs);
    }

    /** Bytes have come from it. */
    void heard(long nowMs) {
        zoneReach.reached(nowMs);
        silentSinceMs = inFlight > 0 ? nowMs : 0;
        secondSilentSinceMs = inFlight > 1 ? nowMs : 0;
    }

    /** For how long it has been silent while it owed something, in milliseconds. */
    long silentMs(long nowMs) {
        return silentSinceMs == 0 ? 0 : nowMs - silentSinceMs;
    }

    /** For how long it has been silent while it owed something to two requests or more, in milliseconds. */
    long silentToTwoMs(long nowMs) {
        return secondSilentSinceMs == 0 ? 0 : nowMs - secondSilentSinceMs;
    }

    /** It answered as it should. */
    void succeeded() {
        failureRate -= FAILURE_GAIN * failureRate;
        pauseMs = FIRST_PAUSE_MS;
        avoidUntilMs = 0;
    }

    /** It gave no answer, or a failure: left alone only where that is no single case. */
    void erred(long nowMs) {
        failureRate += FAILURE_GAIN * (1 - failureRate);
        if (failureRate > AVOID_ABOVE) {
            failed(nowMs);
        }
    }

    /** It failed, or could not be reached: it is left alone for a while, longer each time. */
    void failed(long nowMs) {
        if (nowMs >= avoidUntilMs) {
            avoidUntilMs = nowMs + pauseMs;
            pauseMs = Math.min(LONGEST_PAUSE_MS, pauseMs * 2);
        }
    }

    /** Whether it is left alone now; after the pause, one request at a time tries it. */
    boolean isAvoided(long nowMs) {
        return nowMs < avoidUntilMs || avoidUntilMs != 0 && trialOut || zoneReach.isAvoided(nowMs);
    }

    /**
     * Takes an idle connection that may be used, the one used last; null where there is none.
     *
     * @param longestRestMs for how long it may have rested
     */
    Idle takeIdle(long nowMs, long longestRestMs) {
        if (zoneReach.isLost()) {
            closeIdle();
        }
        for (Idle found = idle.pollLast(); found != null; found = idle.pollLast()) {
            Channel channel = found.connection().channel();
            boolean rested = nowMs - found.sinceMs() > longestRestMs;
            if (channel.isActive() && nowMs < found.usableUntilMs() && !rested) {
                return found;
            }
            channel.close();
        }
        return null;
    }

    void putIdle(UpstreamConnection connection, long nowMs, long usableUntilMs) {
        idle.addLast(new Idle(connection, nowMs, usableUntilMs));
    }

    void closeIdle() {
        for (Idle found = idle.pollLast(); found != null; found = idle.pollLast()) {
            found.connection().channel().close();
        }
    }
}
