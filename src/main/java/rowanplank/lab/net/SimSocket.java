package rowanplank.lab.net;

import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.nio.ByteBuffer;
import rowanplank.lab.world.Agenda;
import rowanplank.lab.world.World;

/**
 * One side of a connection, as the system keeps it (RFC 9293): it outlives the process's end point for as long as
 * something is to be sent. What it sends arrives in order and once; what is lost on the way comes later, and all that
 * follows with it, by a time-out that doubles (RFC 6298, section 5). RST alone is sent once and may be lost.
 *
 * <p>A message costs one entry of the agenda. Word of what has been read travels with what is sent, and by itself
 * once a quarter of the receive buffer has been read since.
 */
final class SimSocket {
    static final int SEND_BUFFER = 1 << 17;
    static final int RECEIVE_BUFFER = 1 << 17;
    private static final int TELLING = RECEIVE_BUFFER / 4;
    private static final long SECOND = 1_000_000_000;
    /** Linux's least time-out beyond the round trip, and its longest. */
    private static final long RETRANSMISSION = SECOND / 5;
    private static final long LONGEST_RETRANSMISSION = 120 * SECOND;
    /** Linux's tcp_retries2 and tcp_syn_retries: then the connection has failed. */
    private static final int MOST_RETRIES = 15;
    private static final int MOST_SYN_RETRIES = 6;

    final SimMachine machine;
    final InetSocketAddress local;
    final InetSocketAddress remote;
    private final World world;
    private final SimNetwork.Address address;
    private SimSocket other;
    private Link way;

    /** Whose it is; null while the system alone has it. */
    private SimProcess process;
    private SimOpening opening;
    private SimListening listening;
    private SimEndPoint endPoint;
    private boolean established;
    /** The process has closed it; what was written before still goes out. */
    private boolean closed;
    /** There is no such connection any more: whatever comes is answered by RST. */
    private boolean gone;

    private final Segments waiting = new Segments();
    private final Segments flying = new Segments();
    private Agenda.Entry retransmission;
    private int retries;
    private long lastArrival;
    private long written;
    private long sent;
    /** What the other side has read, as far as word of it has come. */
    private long known;
    private long endedAt = Stamped.NEVER;

    private final Segments inbox = new Segments();
    private long read;
    /** How much of that was read before this side ended its sending. */
    private long readAtEnd;
    private long told;
    private boolean endCame;
    private long endSentAt = Stamped.NEVER;
    private long firstSentAt = Stamped.NEVER;
    private long lastSentAt = Stamped.NEVER;

    /** Its neighbours among its process's sockets. */
    SimSocket previous;
    SimSocket next;

    SimSocket(SimMachine machine, SimNetwork.Address address, InetSocketAddress local, InetSocketAddress remote) {
        this.machine = machine;
        this.address = address;
        this.local = local;
        this.remote = remote;
        world = machine.network.world();
    }

    // Opening: SYN, SYN-ACK, ACK.

    void open(SimOpening by) {
        opening = by;
        sendSyn();
    }

    private void sendSyn() {
        if (retries > MOST_SYN_RETRIES) {
            gone = true;
            opening.failed(new ConnectException("Connection timed out"));
            return;
        }
        retransmission = world.at(world.nanos() + (SECOND << retries++), this::sendSyn);
        SimNetwork.Address target = machine.network.address(remote.getAddress());
        if (target.holder() != null) {
            Link there = machine.network.link(machine, target.holder());
            if (canSend(there) && !there.loses(0)) {
                world.at(world.nanos() + there.transit(), () -> synArrived(target));
            }
        }
    }

    private void synArrived(SimNetwork.Address target) {
        SimMachine host = target.holder();
        if (gone || established || host == null || host.isSilent() && host != machine) {
            return; // lost, or sent before another one that has come
        }
        if (other != null && other.machine == host && !other.gone) {
            other.sendSynAck();
            return;
        }
        SimListening there = host.listeners.get(remote);
        if (there == null) {
            resetFrom(host);
        } else if (!there.isFull()) {
            SimSocket answering = new SimSocket(host, target, remote, local);
            answering.listening = there;
            answering.other = this;
            answering.way = host.network.link(host, machine);
            other = answering;
            way = host.network.link(machine, host);
            answering.sendSynAck();
        }
    }

    private void sendSynAck() {
        if (canSend(way) && !way.loses(0)) {
            lastArrival = Math.max(lastArrival, world.nanos() + way.transit());
            SimSocket to = other;
            world.at(lastArrival, () -> to.synAckArrived(this));
        }
    }

    private void synAckArrived(SimSocket from) {
        if (!hears()) {
            return;
        }
        if (gone || other != from) {
            from.resetFrom(machine);
        } else if (!established) {
            established = true;
            retransmission.strike();
            retransmission = null;
            retries = 0;
            launch(Segment.empty(this, world.nanos()));
            opening.established();
        }
    }

    /** The process gives it up before it has come up. */
    void abandon() {
        stopRetransmission();
        gone = true;
        release();
    }

    boolean isEstablished() {
        return established;
    }

    /** The process has it from now on: it opens it, or takes it from a listener. */
    void heldBy(SimProcess holder) {
        process = holder;
    }

    void attach(SimEndPoint endPoint) {
        this.endPoint = endPoint;
    }

    // Sending.

    /** @return how many bytes there was room for */
    int write(ByteBuffer... buffers) throws SocketException {
        if (gone || closed || endedAt != Stamped.NEVER) {
            throw new SocketException(endedAt == Stamped.NEVER ? "Connection reset by peer" : "Broken pipe");
        }
        long all = 0;
        for (ByteBuffer b : buffers) {
            all += b.remaining();
        }
        int taken = (int) Math.min(all, room());
        if (taken > 0) {
            byte[] bytes = new byte[taken];
            int at = 0;
            for (int i = 0; at < taken; i++) {
                int length = Math.min(taken - at, buffers[i].remaining());
                buffers[i].get(bytes, at, length);
                at += length;
            }
            written += taken;
            waiting.add(Segment.of(this, bytes, world.nanos()));
            pump();
        }
        return taken;
    }

    private long room() {
        return SEND_BUFFER + RECEIVE_BUFFER - (written - known);
    }

    /** Whether a write would do something: take bytes, or fail. */
    boolean isWritable() {
        return gone || room() > 0;
    }

    /** Nothing more will be written; what was is still sent. */
    void endOutput() {
        if (!gone && endedAt == Stamped.NEVER) {
            endedAt = world.nanos();
            readAtEnd = read;
            waiting.add(Segment.end(this, endedAt));
            pump();
        }
    }

    /** The process closes it. What it has not read, nobody ever will: RST says so (RFC 2525, section 2.17). */
    void close() {
        release();
        if (gone) {
            return;
        }
        closed = true;
        if (inbox.isEmpty()) {
            endOutput();
        } else {
            reset();
        }
    }

    /** Ends it at once: what waits to be sent is lost, and the other side is told by RST, if that arrives. */
    void reset() {
        if (gone) {
            return;
        }
        if (endedAt == Stamped.NEVER) {
            endedAt = world.nanos();
            readAtEnd = read;
        }
        sendReset();
        forget();
    }

    /** Its process has died. */
    void kill() {
        if (established) {
            release();
            reset();
        } else {
            abandon();
        }
    }

    /** Its process has ended and left it open. */
    void exit() {
        if (established) {
            close();
        } else {
            abandon();
        }
    }

    private void release() {
        endPoint = null;
        if (process != null) {
            process.released(this);
            process = null;
        }
    }

    private void forget() {
        gone = true;
        stopRetransmission();
        waiting.clear();
        flying.dropLost();
    }

    private void sendReset() {
        if (other != null && canSend(way) && !way.loses(0)) {
            lastArrival = Math.max(lastArrival, world.nanos() + way.transit());
            SimSocket to = other;
            long ended = endedAt == Stamped.NEVER ? world.nanos() : endedAt;
            world.at(lastArrival, () -> to.resetArrived(ended));
        }
    }

    /** A machine that knows of no such connection says so to this side. */
    private void resetFrom(SimMachine host) {
        Link back = host.network.link(host, machine);
        if (!(host.isSilent() && !back.inside()) && !back.loses(0)) {
            long now = world.nanos();
            world.at(now + back.transit(), () -> resetArrived(now));
        }
    }

    private boolean canSend(Link link) {
        return link.inside() || !machine.isSilent() && address.holder() == machine;
    }

    private boolean hears() {
        return address.holder() == machine && (!machine.isSilent() || way != null && way.inside());
    }

    private void pump() {
        while (retransmission == null && !waiting.isEmpty()) {
            long window = RECEIVE_BUFFER - (sent - known);
            Segment s = waiting.peek();
            if (s.length() > window) {
                if (window > 0) {
                    launch(s.split((int) window));
                }
                return;
            }
            launch(waiting.poll());
        }
    }

    private void launch(Segment s) {
        sent += s.length();
        flying.add(s);
        if (!canSend(way) || way.loses(s.length())) {
            awaitRetransmission();
        } else {
            fly(s);
        }
    }

    private void fly(Segment s) {
        s.read = read;
        told = read;
        lastArrival = Math.max(lastArrival, world.nanos() + way.transit());
        s.arrival = world.at(lastArrival, s);
    }

    private void awaitRetransmission() {
        long timeout = Math.min(RETRANSMISSION + 2 * way.latency() << retries, LONGEST_RETRANSMISSION);
        retransmission = world.at(world.nanos() + timeout, this::retransmit);
    }

    private void stopRetransmission() {
        if (retransmission != null) {
            retransmission.strike();
            retransmission = null;
        }
    }

    private void retransmit() {
        retransmission = null;
        if (++retries > MOST_RETRIES) {
            broken(world.nanos());
            return;
        }
        for (Segment s = flying.peek(); s != null; s = s.next) {
            if (s.arrival == null) {
                if (!canSend(way) || way.loses(0)) {
                    awaitRetransmission();
                    return;
                }
                fly(s);
            }
        }
        pump();
    }

    // Arriving.

    /** The first segment on its way has come to the other side. */
    void arrived(Segment s) {
        SimSocket to = other;
        SimMachine host = to.address.holder();
        if (host == null || host.isSilent() && !way.inside() || host == to.machine && to.isBacklogged()) {
            lost();
            return;
        }
        flying.poll();
        s.arrival = null;
        retries = 0;
        if (host != to.machine) {
            if (!gone) {
                resetFrom(host);
            }
        } else if (to.gone) {
            if (!gone) {
                to.sendReset();
            }
        } else {
            to.take(s);
        }
    }

    /** What is on the way is lost, and is sent again later. */
    private void lost() {
        for (Segment s = flying.peek(); s != null; s = s.next) {
            if (s.arrival != null) {
                s.arrival.strike();
                s.arrival = null;
            }
        }
        if (gone) {
            flying.clear();
        } else if (retransmission == null) {
            awaitRetransmission();
        }
    }

    /** The handshake's last step has come, but there is no room among the connections to be accepted. */
    private boolean isBacklogged() {
        return !gone && !established && listening.isOpen() && listening.isFull();
    }

    private void take(Segment s) {
        if (!established) {
            established = true;
            if (!listening.isOpen()) {
                reset();
                return;
            }
            listening.add(this);
        }
        if (s.read > known) {
            known = s.read;
            pump();
        }
        if (s.length() > 0) {
            if (closed) {
                reset();
                return;
            }
            inbox.add(s);
        } else if (s.end) {
            endCame = true;
            endSentAt = s.sentAt;
        }
        if (endPoint != null) {
            endPoint.wake();
        }
    }

    private void resetArrived(long sentAt) {
        if (hears() && !gone) {
            broken(sentAt);
        }
    }

    private void broken(long at) {
        forget();
        if (endSentAt == Stamped.NEVER) {
            endSentAt = at;
        }
        if (opening != null && !established) {
            opening.failed(new ConnectException("Connection refused"));
        } else if (endPoint != null) {
            endPoint.wake();
        }
    }

    // Reading.

    boolean isReadable() {
        return !inbox.isEmpty() || endCame || gone;
    }

    /**
     * Reads what has come.
     *
     * @return how many bytes were read, 0 if none are there, -1 if the other side has ended its sending in order
     * @throws SocketException if the connection was reset, and all that came before has been read
     */
    int read(ByteBuffer into) throws SocketException {
        if (inbox.isEmpty()) {
            if (gone && !endCame) {
                throw new SocketException("Connection reset");
            }
            return endCame ? -1 : 0;
        }
        int before = into.remaining();
        firstSentAt = inbox.peek().sentAt;
        while (into.hasRemaining() && !inbox.isEmpty()) {
            Segment s = inbox.peek();
            int length = Math.min(into.remaining(), s.length());
            into.put(s.bytes, s.position, length);
            s.position += length;
            lastSentAt = s.sentAt;
            if (s.length() == 0) {
                inbox.poll();
            }
        }
        int filled = before - into.remaining();
        read += filled;
        if (!gone && retransmission == null && read - told >= TELLING) {
            launch(Segment.empty(this, world.nanos()));
        }
        return filled;
    }

    /** Whether the other side had read all that was written here; once it has ended its sending, before it did so. */
    boolean allRead() {
        return other != null && (other.endedAt == Stamped.NEVER ? other.read : other.readAtEnd) == written;
    }

    long firstByteSentAt() {
        return firstSentAt;
    }

    long lastByteSentAt() {
        return lastSentAt;
    }

    long endSentAt() {
        return endSentAt;
    }

    @Override
    public String toString() {
        return local + " to " + remote;
    }
}
