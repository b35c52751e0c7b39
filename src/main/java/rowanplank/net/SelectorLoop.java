package rowanplank.net;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SelectorManager;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.component.AbstractLifeCycle;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * The one thread on which the node does everything: sockets, timers and decisions. It is the thread of a single
 * Jetty selector; whatever Jetty would hand to a pool of threads is queued here and run between two selects.
 */
public final class SelectorLoop implements Loop {
    /** So much queued work, and so many timers, are run before sockets are looked at again. */
    private static final int MOST_TASKS_A_ROUND = 256;
    /** All connections are read on one thread, and none keeps the buffer. */
    private static final int READ_BYTES = 1 << 15;
    /** Each connection has a time-out of its own within this: Jetty keeps what it knows of one for so long. */
    private static final Duration LONGEST_CONNECT = Duration.ofSeconds(10);
    /** After an accept that failed, as it does without a free descriptor. */
    private static final Duration ACCEPT_PAUSE = Duration.ofMillis(10);

    /** How a timer is waited for. */
    public enum Wait {
        /** The thread rests until then, and may come a millisecond late: a select counts in whole ones. */
        AT_REST,
        /** The last millisecond is spent looking at the sockets again and again: on time, at the price of a core. */
        AWAKE
    }

    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final Timers timers;
    private final Clock clock;
    private final Wait wait;
    private final Consumer<Throwable> reports;
    private final Selectors selectors;
    private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BYTES);
    private final Map<SelectableChannel, Function<EndPoint, Connection>> listeners = new LinkedHashMap<>();
    private volatile Thread thread;
    private volatile ManagedSelector selector;
    private Function<EndPoint, Connection> accepting;
    private long selectedAt;
    private long longestTurn;

    /** @param reports is told what goes wrong in a task */
    public SelectorLoop(Clock clock, Consumer<Throwable> reports) {
        this(clock, reports, Wait.AT_REST);
    }

    /** @param reports is told what goes wrong in a task */
    public SelectorLoop(Clock clock, Consumer<Throwable> reports, Wait wait) {
        this.clock = clock;
        this.wait = wait;
        this.reports = reports;
        timers = new Timers(clock);
        selectors = new Selectors();
        selectors.setConnectTimeout(LONGEST_CONNECT.toMillis());
    }

    public void start() throws Exception {
        selectors.start();
    }

    /** Closes all connections and ends the loop; not to be called on its own thread. */
    public void stop() throws Exception {
        selectors.stop();
    }

    /**
     * Runs a task on the loop's thread and waits for what comes of it; not to be called on that thread.
     *
     * @throws IOException what the task threw
     */
    public <T> T call(Callable<T> task) throws IOException, InterruptedException {
        CompletableFuture<T> result = new CompletableFuture<>();
        execute(() -> {
            try {
                result.complete(task.call());
            } catch (Exception e) {
                result.completeExceptionally(e);
            }
        });
        try {
            return result.get();
        } catch (ExecutionException e) {
            if (e.getCause() instanceof RuntimeException failure) {
                throw failure;
            }
            throw e.getCause() instanceof IOException failure ? failure : new IOException(e.getCause());
        }
    }

    @Override
    public Clock clock() {
        return clock;
    }

    @Override
    public Clock wall() {
        return Instant::now;
    }

    @Override
    public ByteBuffer readBuffer() {
        return readBuffer;
    }

    @Override
    public void execute(Runnable task) {
        synchronized (this) {
            if (thread == null) { // the selector's own loop, which never returns
                thread = new Thread(task, "event-loop");
                thread.start();
                return;
            }
        }
        tasks.add(task);
        ManagedSelector s = selector;
        if (s != null && Thread.currentThread() != thread) {
            s.submit(ignored -> { });
        }
    }

    @Override
    public Timer schedule(Duration delay, Runnable task) {
        return timers.schedule(delay, task);
    }

    @Override
    public Listening listen(InetSocketAddress address, int backlog, Function<EndPoint, Connection> onAccept)
            throws IOException {
        ServerSocketChannel channel = ServerSocketChannel.open();
        try {
            channel.bind(address, backlog);
            channel.configureBlocking(false);
            listeners.put(channel, onAccept);
            return new ListeningChannel(channel, selectors.acceptor(channel));
        } catch (IOException | RuntimeException e) {
            listeners.remove(channel);
            closeQuietly(channel);
            throw e;
        }
    }

    @Override
    public Listening listenInherited(InetSocketAddress address, Function<EndPoint, Connection> onAccept)
            throws IOException {
        ServerSocketChannel channel = InheritedListener.take(address);
        channel.configureBlocking(false);
        listeners.put(channel, onAccept);
        return new InheritedListening(channel, selectors.acceptor(channel));
    }

    @Override
    public Duration longestTurn() {
        return Duration.ofNanos(longestTurn);
    }

    @Override
    public Opening connect(InetSocketAddress address, Duration timeout, Connector connector) {
        OpeningConnection opening = new OpeningConnection(connector);
        opening.timer = schedule(timeout.compareTo(LONGEST_CONNECT) < 0 ? timeout : LONGEST_CONNECT,
                () -> opening.failed(new SocketTimeoutException("no connection within " + timeout.toMillis() + " ms")));
        try {
            SocketChannel channel = SocketChannel.open();
            opening.channel = channel;
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            if (channel.connect(address)) {
                selectors.accept(channel, opening);
            } else {
                selectors.connect(channel, opening);
            }
        } catch (IOException | RuntimeException e) {
            execute(() -> opening.failed(e));
        }
        return opening;
    }

    @Override
    public Datagrams datagrams(InetSocketAddress address, int mostBytes, Receiver receiver) throws IOException {
        DatagramChannel channel = DatagramChannel.open();
        try {
            channel.bind(address);
            channel.configureBlocking(false);
            SelectorDatagrams datagrams = new SelectorDatagrams(channel, mostBytes, receiver, this::guarded);
            selector.submit(datagrams::register);
            return datagrams;
        } catch (IOException | RuntimeException e) {
            closeQuietly(channel);
            throw e;
        }
    }

    /** Guards the loop: what goes wrong in one task must not end the others. */
    private void guarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | StackOverflowError e) {
            report(e);
        }
    }

    @Override
    public void report(Throwable failure) {
        reports.accept(failure);
    }

    private void runDue() {
        Runnable task;
        for (int i = 0; i < MOST_TASKS_A_ROUND && (task = timers.poll()) != null; i++) {
            guarded(task);
        }
        for (int i = 0; i < MOST_TASKS_A_ROUND && (task = tasks.poll()) != null; i++) {
            guarded(task);
        }
    }

    private final class OpeningConnection implements Opening {
        private final Connector connector;
        private SocketChannel channel;
        private Timer timer;
        private boolean over;

        OpeningConnection(Connector connector) {
            this.connector = connector;
        }

        Connection connected(EndPoint endPoint) {
            if (over) {
                return new Unwanted(endPoint, SelectorLoop.this);
            }
            over = true;
            timer.cancel();
            return connector.connected(endPoint);
        }

        void failed(Throwable cause) {
            if (!over) {
                abandon();
                connector.failed(cause);
            }
        }

        @Override
        public void abandon() {
            if (!over) {
                over = true;
                timer.cancel();
                closeQuietly(channel);
            }
        }
    }

    /** Came up in the instant in which it was given up: an ordinary thing, which Jetty must not log as a failure. */
    private static final class Unwanted extends AbstractConnection {
        Unwanted(EndPoint endPoint, Executor executor) {
            super(endPoint, executor);
        }

        @Override
        public void onOpen() {
            close();
        }

        @Override
        public void onFillable() { }
    }

    private final class ListeningChannel implements Listening {
        private final ServerSocketChannel channel;
        private final Closeable acceptor;
        private final InetSocketAddress address;

        ListeningChannel(ServerSocketChannel channel, Closeable acceptor) throws IOException {
            this.channel = channel;
            this.acceptor = acceptor;
            address = (InetSocketAddress) channel.getLocalAddress();
        }

        @Override
        public InetSocketAddress address() {
            return address;
        }

        @Override
        public void acceptPending() throws IOException {
            for (SelectableChannel client; (client = selectors.doAccept(channel)) != null;) {
                selectors.accepted(client);
            }
        }

        @Override
        public void close() throws IOException {
            listeners.remove(channel);
            acceptor.close();
            channel.close();
        }
    }

    /** Its end must not close the channel: with it, the JDK takes away standard output and error. */
    private final class InheritedListening implements Listening {
        private final ServerSocketChannel channel;
        private final Closeable acceptor;

        InheritedListening(ServerSocketChannel channel, Closeable acceptor) {
            this.channel = channel;
            this.acceptor = acceptor;
        }

        @Override
        public InetSocketAddress address() {
            return (InetSocketAddress) channel.socket().getLocalSocketAddress();
        }

        /** What waits is for whoever accepts on. */
        @Override
        public void acceptPending() { }

        @Override
        public void close() throws IOException {
            listeners.remove(channel);
            acceptor.close();
        }
    }

    private static void closeQuietly(SelectableChannel channel) {
        try {
            if (channel != null) {
                channel.close();
            }
        } catch (IOException e) {
            // nothing is left to be done with it
        }
    }

    private final class Selectors extends SelectorManager {
        Selectors() {
            super(SelectorLoop.this, new LoopScheduler(), 1);
        }

        @Override
        protected ManagedSelector newSelector(int id) {
            selector = new ManagedSelector(this, id) {
                /** Between two selects is where all queued work is done. */
                @Override
                protected int nioSelect(Selector selector, boolean now) throws IOException {
                    runDue();
                    endTurn();
                    try {
                        return look(selector, now);
                    } finally {
                        selectedAt = System.nanoTime();
                    }
                }

                private int look(Selector selector, boolean now) throws IOException {
                    Duration idle = timers.untilNext();
                    if (now || !tasks.isEmpty() || idle != null && idle.isZero()) {
                        return selector.selectNow();
                    }
                    if (wait == Wait.AWAKE && idle != null && idle.toMillis() == 0) {
                        return stayAwake(selector, idle);
                    }
                    return idle == null ? selector.select() : selector.select(millis(idle));
                }
            };
            return selector;
        }

        private void endTurn() {
            if (selectedAt != 0) {
                longestTurn = Math.max(longestTurn, System.nanoTime() - selectedAt);
            }
        }

        /** Looks again and again until there is something to do; makes no garbage meanwhile. */
        private int stayAwake(Selector selector, Duration idle) throws IOException {
            long until = System.nanoTime() + idle.toNanos();
            int selected;
            do {
                selected = selector.selectNow();
            } while (selected == 0 && tasks.isEmpty() && System.nanoTime() - until < 0);
            return selected;
        }

        /** Rounded up at rest: a select that ends a little early would spin until the timer is due. */
        private long millis(Duration idle) {
            return wait == Wait.AWAKE ? idle.toMillis() : idle.plusNanos(999_999).toMillis();
        }

        /**
         * What it returns is handed to {@link #accepted} next, on this thread. Never throws: Jetty's acceptor closes the
         * connection that it accepted before, where the next accept fails. That happens to whichever connection takes
         * the last descriptor.
         */
        @Override
        protected SelectableChannel doAccept(SelectableChannel server) {
            accepting = listeners.get(server);
            if (accepting == null) {
                return null;
            }
            try {
                return super.doAccept(server);
            } catch (IOException e) {
                report(e);
                pauseAccepting(server);
                return null;
            }
        }

        /** Guards the processor: a connection that can't be accepted would wake the selector again and again. */
        private void pauseAccepting(SelectableChannel server) {
            SelectionKey key = server.keyFor(selector.getSelector());
            if (key != null && key.isValid()) {
                key.interestOps(0);
                schedule(ACCEPT_PAUSE, () -> {
                    if (key.isValid()) {
                        key.interestOps(SelectionKey.OP_ACCEPT);
                    }
                });
            }
        }

        @Override
        protected void accepted(SelectableChannel channel) throws IOException {
            channel.configureBlocking(false);
            ((SocketChannel) channel).setOption(StandardSocketOptions.TCP_NODELAY, true);
            accept(channel, accepting);
        }

        @Override
        protected EndPoint newEndPoint(SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
            SocketChannelEndPoint endPoint =
                    new ResetAwareEndPoint((SocketChannel) channel, selector, key, getScheduler());
            endPoint.setIdleTimeout(-1);
            return endPoint;
        }

        @Override
        public Connection newConnection(SelectableChannel channel, EndPoint endPoint, Object attachment) {
            if (attachment instanceof OpeningConnection o) {
                return o.connected(endPoint);
            }
            @SuppressWarnings("unchecked")
            Function<EndPoint, Connection> onAccept = (Function<EndPoint, Connection>) attachment;
            return onAccept.apply(endPoint);
        }

        @Override
        protected void connectionFailed(SelectableChannel channel, Throwable cause, Object attachment) {
            if (attachment instanceof OpeningConnection o) {
                execute(() -> o.failed(cause));
            }
        }
    }

    /** Gives Jetty the loop's own timers, so that it starts no thread for them. */
    private final class LoopScheduler extends AbstractLifeCycle implements Scheduler {
        @Override
        public Task schedule(Runnable task, long delay, TimeUnit unit) {
            return SelectorLoop.this.schedule(Duration.of(delay, unit.toChronoUnit()), task)::cancel;
        }
    }
}
