package rowanplank.net;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.concurrent.Executor;
import java.util.function.Function;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;

/**
 * The seam between a node and the outside: all that it does with sockets, datagrams, time and threads goes through
 * here. There are two: {@link SelectorLoop} on the machine's own sockets and clock, and the laboratory's on a
 * simulated network in virtual time. Whatever reaches past it can't be tried under faults.
 *
 * <p>Threading: everything is called, and calls back, on the loop's one thread, but for {@link #execute}, which any
 * thread may call. Nothing calls back within the call that asked for it, except as said.
 *
 * <p>Order: tasks run in the order in which they were handed over; of two timers due at one instant, the one that
 * was scheduled first runs first.
 */
public interface Loop extends Executor {
    /** A task to be run later. */
    interface Timer {
        /** @return whether it was still to come; a second call, or one after it ran, does nothing */
        boolean cancel();
    }

    /** What is to become of a connection that the node opens: one of the two is called, once. */
    interface Connector {
        Connection connected(EndPoint endPoint);

        void failed(Throwable cause);
    }

    /** A connection being opened. */
    interface Opening {
        /** Gives it up, and its connector hears no more; once it is open this does nothing. */
        void abandon();
    }

    /** An address where connections are accepted. */
    interface Listening extends Closeable {
        /** Where it listens: of use where the port was left to the system. */
        InetSocketAddress address();

        /** Takes the connections that the machine has accepted and the loop has not yet: closing would reset them. */
        void acceptPending() throws IOException;

        /** Accepts no more; connections that were accepted stay. */
        @Override
        void close() throws IOException;
    }

    /** An address from and to which datagrams go. */
    interface Datagrams extends Closeable {
        InetSocketAddress address();

        /**
         * Sends one datagram, or drops it where the machine has no room for it; never waits.
         *
         * @return whether the machine took it, which says nothing of its arrival
         */
        boolean send(InetSocketAddress to, ByteBuffer payload);

        @Override
        void close() throws IOException;
    }

    /** Who is handed datagrams; the payload is valid within the call only. */
    interface Receiver {
        void received(InetSocketAddress from, ByteBuffer payload);
    }

    Clock clock();

    /** The clock on the wall, which may be set back: for what is said in times of the day, and nothing else. */
    default Clock wall() {
        return clock();
    }

    /** Runs the task on the loop's thread, soon and never within this call; may be called from any thread. */
    @Override
    void execute(Runnable task);

    /** Runs the task once the delay has passed, never within this call; a delay below zero counts as zero. */
    Timer schedule(Duration delay, Runnable task);

    /**
     * Accepts connections from now on.
     *
     * @param backlog how many connections may wait to be accepted; the machine refuses or ignores more
     */
    Listening listen(InetSocketAddress address, int backlog, Function<EndPoint, Connection> onAccept)
            throws IOException;

    /**
     * Accepts connections from now on from the listening socket that the starter of this process holds, and that other
     * processes may accept from too: to find that another was quicker is nothing unusual, and an end of the accepting
     * here is none for them.
     *
     * @param address where it has to listen
     */
    default Listening listenInherited(InetSocketAddress address, Function<EndPoint, Connection> onAccept)
            throws IOException {
        throw new IOException("no socket is inherited here");
    }

    /** The longest time that the loop's thread was away from the sockets, so far; zero where that is not measured. */
    default Duration longestTurn() {
        return Duration.ZERO;
    }

    /** Opens a connection; the connector hears of it later, and of failure after the time-out, 10 s at the latest. */
    Opening connect(InetSocketAddress address, Duration timeout, Connector connector);

    /** @param mostBytes longer datagrams that come in are dropped */
    Datagrams datagrams(InetSocketAddress address, int mostBytes, Receiver receiver) throws IOException;

    /** Where a connection reads what has come; its contents are valid until the task that runs now has ended. */
    ByteBuffer readBuffer();

    /** Tells of what went wrong in a task and was not foreseen; the loop goes on. */
    void report(Throwable failure);
}
