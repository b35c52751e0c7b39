package routerfleet.data;

import io.netty.channel.Channel;
import java.util.ArrayDeque;
import java.util.Deque;
import routerfleet.settings.HostPort;
import routerfleet.wire.SessionRecord;

/** A model server as this node knows it: its session, connections, and what came of this node's own requests. */
final class Server {
    private static final long INITIAL_BACKOFF_MS = 400;
    private static final long MAX_BACKOFF_MS = 6_000;
    /** Weight of one answer in the failure rate: two failures in a row are no single case. */
    private static final double FAILURE_RATE_WEIGHT = 0.25;
    private static final double MAX_FAILURE_RATE = 0.4;

    /** An idle connection, since when it rests and until when it may be used, on the steady clock in milliseconds. */
    record IdleConnection(UpstreamConnection connection, long sinceMs, long usableUntilMs) { }

    private final String uid;
    private final String backend;
    private final HostPort address;
    private final String zone;
    private final ZoneReachability zoneReachability;
    private final Deque<IdleConnection> idleConnections = new ArrayDeque<>();
    private final WarmupState warmupState = new WarmupState();
    private final ColdAdmission.Permit coldPermit = new ColdAdmission.Permit();
    private int capacity;
    private boolean listed;
    private boolean reservedForShort;
    private int connections;
    private int inFlight;
    private long backoffMs = INITIAL_BACKOFF_MS;
    private long avoidUntilMs;
    private boolean probeInFlight;
    private double failureRate;
    /** When the oldest request that has had no sign of the server since was sent; 0 for none. */
    private long silentSinceMs;
    /** The same of the second oldest. */
    private long secondSilentSinceMs;

    Server(SessionRecord session) {
        this(session, new ZoneReachability());
    }

    /** @param zoneReach shared by the servers of its zone */
    Server(SessionRecord session, ZoneReachability zoneReach) {
        this.zoneReachability = zoneReach;
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
    WarmupState warmupState() {
        return warmupState;
    }

    /** This node's permission for it while it is cold. */
    ColdAdmission.Permit coldPermit() {
        return coldPermit;
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
    boolean isReservedForShort() {
        return reservedForShort;
    }

    void reservedForShort(boolean reserved) {
        reservedForShort = reserved;
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
        idleConnections.removeIf(i -> i.connection() == connection);
    }

    void requestSent(long nowMs) {
        inFlight++;
        zoneReachability.requestSent(nowMs);
        if (silentSinceMs == 0) {
            silentSinceMs = nowMs;
        } else if (secondSilentSinceMs == 0) {
            secondSilentSinceMs = nowMs;
        }
        if (isAvoided(nowMs) || avoidUntilMs != 0) {
            probeInFlight = true;
        }
    }

    void requestEnded() {
        inFlight--;
        probeInFlight = false;
        if (inFlight == 0) {
            silentSinceMs = 0;
        }
        if (inFlight < 2) {
            secondSilentSinceMs = 0;
        }
    }

    /** It has taken a connection. */
    void connected(long nowMs) {
        zoneReachability.reached(nowMs);
    }

    /** It has not answered a connect. @param sinceMs when that began, on the steady clock */
    void connectTimedOut(long connectStartMs, long nowMs) {
        zoneReachability.connectTimedOut(connectStartMs, nowMs);
    }

    /** Bytes have come from it. */
    void bytesReceived(long nowMs) {
        zoneReachability.reached(nowMs);
        silentSinceMs = inFlight > 0 ? nowMs : 0;
        secondSilentSinceMs = inFlight > 1 ? nowMs : 0;
    }

    /** For how long it has been silent while it owed something, in milliseconds. */
    long silentMs(long nowMs) {
        return silentSinceMs == 0 ? 0 : nowMs - silentSinceMs;
    }

    /** For how long it has been silent while it owed something to two requests or more, in milliseconds. */
    long silentWithTwoRequestsMs(long nowMs) {
        return secondSilentSinceMs == 0 ? 0 : nowMs - secondSilentSinceMs;
    }

    /** It answered as it should. */
    void recordSuccess() {
        failureRate -= FAILURE_RATE_WEIGHT * failureRate;
        backoffMs = INITIAL_BACKOFF_MS;
        avoidUntilMs = 0;
    }

    /** It gave no answer, or a failure: left alone only where that is no single case. */
    void recordError(long nowMs) {
        failureRate += FAILURE_RATE_WEIGHT * (1 - failureRate);
        if (failureRate > MAX_FAILURE_RATE) {
            backOff(nowMs);
        }
    }

    /** It failed, or could not be reached: it is left alone for a while, longer each time. */
    void backOff(long nowMs) {
        if (nowMs >= avoidUntilMs) {
            avoidUntilMs = nowMs + backoffMs;
            backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
        }
    }

    /** Whether it is left alone now; after the pause, one request at a time tries it. */
    boolean isAvoided(long nowMs) {
        return nowMs < avoidUntilMs || avoidUntilMs != 0 && probeInFlight || zoneReachability.isAvoided(nowMs);
    }

    /**
     * Takes an idle connection that may be used, the one used last; null where there is none.
     *
     * @param maxIdleMs for how long it may have rested
     */
    IdleConnection takeIdleConnection(long nowMs, long maxIdleMs) {
        if (zoneReachability.isUnreachable()) {
            closeIdleConnections();
        }
        for (IdleConnection found = idleConnections.pollLast(); found != null; found = idleConnections.pollLast()) {
            Channel channel = found.connection().channel();
            boolean idleTooLong = nowMs - found.sinceMs() > maxIdleMs;
            if (channel.isActive() && nowMs < found.usableUntilMs() && !idleTooLong) {
                return found;
            }
            channel.close();
        }
        return null;
    }

    void addIdleConnection(UpstreamConnection connection, long nowMs, long usableUntilMs) {
        idleConnections.addLast(new IdleConnection(connection, nowMs, usableUntilMs));
    }

    void closeIdleConnections() {
        for (IdleConnection found = idleConnections.pollLast(); found != null; found = idleConnections.pollLast()) {
            found.connection().channel().close();
        }
    }
}
