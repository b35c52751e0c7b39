package routerfleet.data;

import io.netty.channel.Channel;
import java.util.ArrayDeque;
import java.util.Deque;
import routerfleet.settings.HostPort;
import routerfleet.wire.SessionRecord;

/** This node's state of one model server: its session, its connections, and the outcomes of this node's own requests. */
final class Server {
    private static final long INITIAL_BACKOFF_MS = 400;
    private static final long MAX_BACKOFF_MS = 6_000;
    /** Weight of one response in the failure rate: two failures in a row raise it above {@link #MAX_FAILURE_RATE}. */
    private static final double FAILURE_RATE_WEIGHT = 0.25;
    private static final double MAX_FAILURE_RATE = 0.4;

    /** An idle connection: since when it is idle, until when it may be reused; on the monotonic clock in milliseconds. */
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
    /** Since when the server has been silent with at least one request in flight; 0 if it is not. */
    private long silentSinceMs;
    /** Since when the server has been silent with at least two requests in flight; 0 if it is not. */
    private long secondSilentSinceMs;

    Server(SessionRecord session) {
        this(session, new ZoneReachability());
    }

    /** @param zoneReachability shared by all servers of its zone */
    Server(SessionRecord session, ZoneReachability zoneReachability) {
        this.zoneReachability = zoneReachability;
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

    /** The zone it runs in; empty if it does not report one. */
    String zone() {
        return zone;
    }

    /** Whether and for how long the server is cold. */
    WarmupState warmupState() {
        return warmupState;
    }

    /** This node's permit to send to the server while it is cold. */
    ColdAdmission.Permit coldPermit() {
        return coldPermit;
    }

    int capacity() {
        return capacity;
    }

    void capacity(int changed) {
        capacity = changed;
    }

    /** Whether it may be sent new requests according to the control nodes. */
    boolean listed() {
        return listed;
    }

    void listed(boolean isListed) {
        listed = isListed;
    }

    /** Whether it is reserved for short prompts while nodes separate them from long ones. */
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

    /** Records that a request was assigned to the server. */
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

    /** Records that a request to the server has ended, whatever its outcome. */
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

    /** Records that a connection was established. */
    void connected(long nowMs) {
        zoneReachability.reached(nowMs);
    }

    /** Records a connect timeout. @param connectStartMs when the connect began, on the monotonic clock in milliseconds */
    void connectTimedOut(long connectStartMs, long nowMs) {
        zoneReachability.connectTimedOut(connectStartMs, nowMs);
    }

    /** Records that bytes were received from the server. */
    void bytesReceived(long nowMs) {
        zoneReachability.reached(nowMs);
        silentSinceMs = inFlight > 0 ? nowMs : 0;
        secondSilentSinceMs = inFlight > 1 ? nowMs : 0;
    }

    /** For how long it has sent nothing with at least one request in flight, in milliseconds. */
    long silentMs(long nowMs) {
        return silentSinceMs == 0 ? 0 : nowMs - silentSinceMs;
    }

    /** For how long it has sent nothing with at least two requests in flight, in milliseconds. */
    long silentWithTwoRequestsMs(long nowMs) {
        return secondSilentSinceMs == 0 ? 0 : nowMs - secondSilentSinceMs;
    }

    /** Records a response without a server error; resets the backoff. */
    void recordSuccess() {
        failureRate -= FAILURE_RATE_WEIGHT * failureRate;
        backoffMs = INITIAL_BACKOFF_MS;
        avoidUntilMs = 0;
    }

    /** Records a missing response or a server error; the server is avoided only if its failure rate becomes too high. */
    void recordError(long nowMs) {
        failureRate += FAILURE_RATE_WEIGHT * (1 - failureRate);
        if (failureRate > MAX_FAILURE_RATE) {
            backOff(nowMs);
        }
    }

    /** Avoids the server after it failed or could not be reached; the time doubles with each repetition, up to a limit. */
    void backOff(long nowMs) {
        if (nowMs >= avoidUntilMs) {
            avoidUntilMs = nowMs + backoffMs;
            backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
        }
    }

    /** Whether the server is to be avoided now. After the backoff, one request at a time probes it until one succeeds. */
    boolean isAvoided(long nowMs) {
        return nowMs < avoidUntilMs || avoidUntilMs != 0 && probeInFlight || zoneReachability.isAvoided(nowMs);
    }

    /**
     * Takes the most recently used of the reusable idle connections, and closes those that are no longer reusable.
     *
     * @param maxIdleMs for how long it may have been idle
     * @return null if there is none
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

    /** Adds an idle connection. @param usableUntilMs until when it may be reused, on the same clock as {@code nowMs} */
    void addIdleConnection(UpstreamConnection connection, long nowMs, long usableUntilMs) {
        idleConnections.addLast(new IdleConnection(connection, nowMs, usableUntilMs));
    }

    void closeIdleConnections() {
        for (IdleConnection found = idleConnections.pollLast(); found != null; found = idleConnections.pollLast()) {
            found.connection().channel().close();
        }
    }
}
