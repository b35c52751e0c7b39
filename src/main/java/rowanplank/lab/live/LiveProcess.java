package rowanplank.lab.live;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import rowanplank.lab.run.ServerMachine;
import rowanplank.net.Clock;
import rowanplank.net.Loop;

/**
 * What would be a process of its own on the platform, here a part of the one loop: once it has ended, what it listened
 * at and what it accepted is closed, and none of its tasks and timers run any more.
 */
final class LiveProcess implements ServerMachine.Running, Loop {
    private final LiveGround ground;
    private final Loop loop;
    private final List<Listening> listening = new ArrayList<>();
    private final Set<Connection> accepted = new LinkedHashSet<>();
    private boolean alive = true;

    LiveProcess(LiveGround ground) {
        this.ground = ground;
        loop = ground.loop();
    }

    @Override
    public Loop loop() {
        return this;
    }

    @Override
    public boolean isAlive() {
        return alive;
    }

    @Override
    public void exit() {
        kill();
    }

    /** Sockets are closed once the present task is over, in which what runs on them is told of its end. */
    @Override
    public void kill() {
        if (alive) {
            alive = false;
            loop.execute(this::closeAll);
        }
    }

    private void closeAll() {
        for (Listening l : listening) {
            try {
                l.close();
            } catch (IOException e) {
                loop.report(e);
            }
        }
        List.copyOf(accepted).forEach(c -> c.getEndPoint().close());
    }

    @Override
    public Clock clock() {
        return loop.clock();
    }

    @Override
    public void execute(Runnable task) {
        loop.execute(() -> whileAlive(task));
    }

    private void whileAlive(Runnable task) {
        if (alive) {
            task.run();
        }
    }

    @Override
    public Timer schedule(Duration delay, Runnable task) {
        return ground.schedule(delay, () -> whileAlive(task));
    }

    /** Listens at all addresses of whoever has this one; connections at each are of the node of that number. */
    @Override
    public Listening listen(InetSocketAddress address, int backlog, Function<EndPoint, Connection> onAccept)
            throws IOException {
        List<InetSocketAddress> all = ground.all(address);
        List<Listening> own = new ArrayList<>();
        for (int i = 0; i < all.size(); i++) {
            int number = i;
            try {
                own.add(loop.listen(all.get(i), backlog, e -> accept(e, number, onAccept)));
            } catch (IOException e) {
                for (Listening l : own) {
                    l.close();
                }
                throw new IOException("can't listen at port " + all.get(i).getPort() + ": " + e.getMessage(), e);
            }
        }
        listening.addAll(own);
        return new All(own);
    }

    private Connection accept(EndPoint endPoint, int number, Function<EndPoint, Connection> onAccept) {
        ground.accepting(number);
        Connection connection = onAccept.apply(endPoint);
        accepted.add(connection);
        connection.addEventListener(new Connection.Listener() {
            @Override
            public void onOpened(Connection c) { }

            @Override
            public void onClosed(Connection c) {
                accepted.remove(c);
            }
        });
        return connection;
    }

    private static final class All implements Listening {
        private final List<Listening> all;

        All(List<Listening> all) {
            this.all = all;
        }

        @Override
        public InetSocketAddress address() {
            return all.get(0).address();
        }

        @Override
        public void acceptPending() throws IOException {
            for (Listening l : all) {
                l.acceptPending();
            }
        }

        @Override
        public void close() throws IOException {
            for (Listening l : all) {
                l.close();
            }
        }
    }

    @Override
    public Opening connect(InetSocketAddress address, Duration timeout, Connector connector) {
        return loop.connect(address, timeout, connector);
    }

    @Override
    public Datagrams datagrams(InetSocketAddress address, int mostBytes, Receiver receiver) throws IOException {
        return loop.datagrams(address, mostBytes, receiver);
    }

    @Override
    public ByteBuffer readBuffer() {
        return loop.readBuffer();
    }

    @Override
    public void report(Throwable failure) {
        loop.report(failure);
    }
}
