package rowanplank.lab.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.time.Duration;
import rowanplank.net.Loop;

/** A connection that a process opens, from its first SYN until the connector has heard what became of it. */
final class SimOpening extends Work implements Loop.Opening {
    private final Loop.Connector connector;
    private final Loop.Timer timer;
    private SimSocket socket;
    private boolean over;

    SimOpening(SimProcess process, Duration timeout, Loop.Connector connector) {
        super(process);
        this.connector = connector;
        timer = process.schedule(timeout, () -> end(
                new SocketTimeoutException("no connection within " + timeout.toMillis() + " ms")));
    }

    void begin(InetSocketAddress address) throws IOException {
        socket = process.openSocket(address);
        socket.open(this);
    }

    /** The system has the connection, and the process will know once it has the time. */
    void established() {
        run();
    }

    /** The system has given the connection up. */
    void failed(IOException cause) {
        process.due(new Work(process) {
            @Override
            void perform() {
                end(cause);
            }
        });
    }

    @Override
    void perform() {
        if (!over) {
            over = true;
            timer.cancel();
            process.open(socket, connector::connected);
        }
    }

    void end(IOException cause) {
        if (!over) {
            abandon();
            connector.failed(cause);
        }
    }

    @Override
    public void abandon() {
        if (over) {
            return;
        }
        over = true;
        timer.cancel();
        if (socket == null) {
            return;
        }
        if (socket.isEstablished()) {
            socket.close();
        } else {
            socket.abandon();
        }
    }
}
