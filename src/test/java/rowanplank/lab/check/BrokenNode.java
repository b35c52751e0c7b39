package rowanplank.lab.check;

import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Callback;
import rowanplank.config.NodeConfig;
import rowanplank.lab.run.NodeFactory;
import rowanplank.lab.world.World;
import rowanplank.metrics.RateLimitedLog;
import rowanplank.net.Clock;
import rowanplank.net.Loop;
import rowanplank.net.LoopConnection;
import rowanplank.node.Node;

/**
 * Whole nodes that are broken on purpose, each in one way: what they read and write is tampered with between the node
 * and its loop. Now and then is each {@value #NOW_AND_THEN}th time.
 */
enum BrokenNode implements NodeFactory {
    /** Now and then a try goes out once more, on a connection of its own. */
    SENDS_TWICE {
        @Override
        boolean toPeer(Tampered t, EndPoint peer, InetSocketAddress address, Callback callback, ByteBuffer message) {
            if (t.nowAndThen()) {
                t.sendOnce(address, message.duplicate());
            }
            return false;
        }
    },
    /** Now and then a 200 is written twice. */
    ANSWERS_TWICE {
        @Override
        boolean toClient(Tampered t, Client client, Callback callback, ByteBuffer message) {
            if (!starts(message, "HTTP/1.1 200") || !t.nowAndThen()) {
                return false;
            }
            client.real.write(callback, message.duplicate(), message);
            return true;
        }
    },
    /** Now and then a client is served what the one before it was. */
    SERVES_ANOTHERS {
        @Override
        boolean toClient(Tampered t, Client client, Callback callback, ByteBuffer message) {
            ByteBuffer before = t.before;
            t.before = message.duplicate();
            if (before == null || !starts(message, "HTTP/1.1 200") || !starts(before, "HTTP/1.1 200")
                    || !t.nowAndThen()) {
                return false;
            }
            client.real.write(callback, before);
            return true;
        }
    },
    /** Now and then an answer is never written. */
    FORGETS {
        @Override
        boolean toClient(Tampered t, Client client, Callback callback, ByteBuffer message) {
            return starts(message, "HTTP/1.1 200") && t.nowAndThen();
        }
    },
    /** Now and then an answer is written when the client's time has been up for a little too long. */
    ANSWERS_LATE {
        @Override
        boolean toClient(Tampered t, Client client, Callback callback, ByteBuffer message) {
            if (!starts(message, "HTTP/1.1 200") || client.wait == null || !t.nowAndThen()) {
                return false;
            }
            Duration left = Duration.between(t.clock().now(), client.since.plus(client.wait).plusMillis(72));
            t.schedule(left, () -> client.real.write(callback, message));
            return true;
        }
    },
    /** What discovery calls draining, it reads as ready. */
    IGNORES_DRAINS {
        @Override
        void fromAgent(ByteBuffer read) {
            byte[] bytes = bytes(read);
            String text = new String(bytes, StandardCharsets.ISO_8859_1);
            read.duplicate().put(text.replace("\"phase\":\"draining\"", "\"phase\":\"ready\"   ")
                    .getBytes(StandardCharsets.ISO_8859_1));
        }
    },
    /** Now and then a connection to a peer is forgotten in place of being closed. */
    LEAKS_CONNECTIONS {
        @Override
        boolean closesPeer(Tampered t) {
            return !t.nowAndThen();
        }
    },
    /** Told to stop, it closes clients' connections over what they have asked. */
    DROPS_WHEN_TOLD_TO_STOP {
        @Override
        void logged(Tampered t, String line) {
            if (line.endsWith("was told to stop")) {
                drop(t, 50);
            }
        }

        private void drop(Tampered t, int times) {
            t.clients.forEach(c -> c.real.close());
            if (times > 0) {
                t.schedule(Duration.ofMillis(7), () -> drop(t, times - 1));
            }
        }
    },
    /** It neither tells errors nor closes a client's connection. */
    SUFFERS_BAD_CLIENTS {
        @Override
        boolean toClient(Tampered t, Client client, Callback callback, ByteBuffer message) {
            boolean error = starts(message, "HTTP/1.1 4") || starts(message, "HTTP/1.1 501");
            if (error) {
                callback.succeeded();
            }
            return error;
        }

        @Override
        boolean closesClient() {
            return false;
        }
    },
    /** It can't listen when it is started again. */
    FAILS_TO_START_AGAIN {
        @Override
        void listens(Tampered t) throws IOException {
            if (t.clock().now().isAfter(World.BEGINNING.plusSeconds(1))) {
                throw new IOException("address in use");
            }
        }
    };

    private static final int NOW_AND_THEN = 20;
    private static final Pattern WAIT = Pattern.compile("X-Timeout: (\\d+)([mu])");
    private static final int AGENT_PORT = 8500;

    /** @return whether it was written, or is not to be */
    boolean toPeer(Tampered t, EndPoint peer, InetSocketAddress address, Callback callback, ByteBuffer message) {
        return false;
    }

    /** @return whether it was written, or is not to be */
    boolean toClient(Tampered t, Client client, Callback callback, ByteBuffer message) {
        return false;
    }

    void fromAgent(ByteBuffer read) { }

    boolean closesPeer(Tampered t) {
        return true;
    }

    boolean closesClient() {
        return true;
    }

    void logged(Tampered t, String line) { }

    void listens(Tampered t) throws IOException { }

    @Override
    public Node create(NodeConfig config, Loop loop, RateLimitedLog log) {
        Tampered tampered = new Tampered(this, loop);
        return new Node(config, tampered, new RateLimitedLog(loop.clock(), (warning, line, cause) -> {
            log.info(line);
            logged(tampered, line);
        }));
    }

    static boolean starts(ByteBuffer message, String with) {
        return new String(bytes(message), StandardCharsets.ISO_8859_1).startsWith(with);
    }

    static byte[] bytes(ByteBuffer buffer) {
        byte[] bytes = new byte[buffer.remaining()];
        buffer.duplicate().get(bytes);
        return bytes;
    }

    /** A client's connection, and how long the last request on it said that its client waits. */
    static final class Client {
        final EndPoint real;
        java.time.Instant since;
        Duration wait;

        Client(EndPoint real) {
            this.real = real;
        }

        void read(ByteBuffer bytes, java.time.Instant now) {
            Matcher m = WAIT.matcher(new String(bytes(bytes), StandardCharsets.ISO_8859_1));
            if (m.find()) {
                since = now;
                long count = Long.parseLong(m.group(1));
                wait = Duration.ofNanos(count * (m.group(2).equals("m") ? 1_000_000 : 1000));
            }
        }
    }

    /** What is done on an end point in place of what the node asks for. */
    private interface Hand {
        /** @return whether it is done with; else the end point does it */
        boolean write(Callback callback, ByteBuffer message);

        void read(ByteBuffer bytes);

        boolean closes();
    }

    /** The node's loop, with a hand on each of its connections. */
    static final class Tampered implements Loop {
        final List<Client> clients = new ArrayList<>();
        ByteBuffer before;
        private final BrokenNode how;
        private final Loop real;
        private int count;

        Tampered(BrokenNode how, Loop real) {
            this.how = how;
            this.real = real;
        }

        boolean nowAndThen() {
            return ++count % NOW_AND_THEN == 0;
        }

        void sendOnce(InetSocketAddress address, ByteBuffer message) {
            real.connect(address, Duration.ofSeconds(1), new Connector() {
                @Override
                public Connection connected(EndPoint endPoint) {
                    return new LoopConnection(endPoint, real) {
                        @Override
                        public void onOpen() {
                            super.onOpen();
                            write(() -> { }, message);
                        }

                        @Override
                        protected void onBytes(ByteBuffer bytes) {
                            close();
                        }

                        @Override
                        protected void onEnd() {
                            close();
                        }

                        @Override
                        protected void onOver() { }
                    };
                }

                @Override
                public void failed(Throwable cause) { }
            });
        }

        @Override
        public Listening listen(InetSocketAddress address, int backlog, Function<EndPoint, Connection> onAccept)
                throws IOException {
            how.listens(this);
            return real.listen(address, backlog, endPoint -> onAccept.apply(client(endPoint)));
        }

        private EndPoint client(EndPoint endPoint) {
            Client client = new Client(endPoint);
            clients.add(client);
            return tap(endPoint, new Hand() {
                @Override
                public boolean write(Callback callback, ByteBuffer message) {
                    return how.toClient(Tampered.this, client, callback, message);
                }

                @Override
                public void read(ByteBuffer bytes) {
                    client.read(bytes, clock().now());
                }

                @Override
                public boolean closes() {
                    return how.closesClient();
                }
            });
        }

        @Override
        public Opening connect(InetSocketAddress address, Duration timeout, Connector connector) {
            return real.connect(address, timeout, new Connector() {
                @Override
                public Connection connected(EndPoint endPoint) {
                    return connector.connected(opened(endPoint, address));
                }

                @Override
                public void failed(Throwable cause) {
                    connector.failed(cause);
                }
            });
        }

        private EndPoint opened(EndPoint endPoint, InetSocketAddress address) {
            boolean agent = address.getPort() >= AGENT_PORT;
            return tap(endPoint, new Hand() {
                @Override
                public boolean write(Callback callback, ByteBuffer message) {
                    return !agent && how.toPeer(Tampered.this, endPoint, address, callback, message);
                }

                @Override
                public void read(ByteBuffer bytes) {
                    if (agent) {
                        how.fromAgent(bytes);
                    }
                }

                @Override
                public boolean closes() {
                    return agent || how.closesPeer(Tampered.this);
                }
            });
        }

        private static EndPoint tap(EndPoint real, Hand hand) {
            return (EndPoint) Proxy.newProxyInstance(EndPoint.class.getClassLoader(), new Class<?>[] {EndPoint.class},
                    (proxy, method, arguments) -> {
                        boolean write = method.getName().equals("write") && arguments[0] instanceof Callback;
                        if (write) {
                            ByteBuffer[] buffers = (ByteBuffer[]) arguments[1];
                            ByteBuffer message = joined(buffers);
                            if (hand.write((Callback) arguments[0], message)) {
                                return null;
                            }
                            arguments[1] = new ByteBuffer[] {message};
                        }
                        boolean close = method.getName().equals("close") || method.getName().equals("shutdownOutput");
                        if (close && !hand.closes()) {
                            return null;
                        }
                        try {
                            Object result = method.invoke(real, arguments);
                            if (method.getName().equals("fill")) {
                                hand.read((ByteBuffer) arguments[0]);
                            }
                            return result;
                        } catch (InvocationTargetException e) {
                            throw e.getCause();
                        }
                    });
        }

        private static ByteBuffer joined(ByteBuffer[] buffers) {
            int size = 0;
            for (ByteBuffer b : buffers) {
                size += b.remaining();
            }
            ByteBuffer joined = ByteBuffer.allocate(size);
            for (ByteBuffer b : buffers) {
                joined.put(b);
            }
            return joined.flip();
        }

        @Override
        public Clock clock() {
            return real.clock();
        }

        @Override
        public void execute(Runnable task) {
            real.execute(task);
        }

        @Override
        public Timer schedule(Duration delay, Runnable task) {
            return real.schedule(delay, task);
        }

        @Override
        public Datagrams datagrams(InetSocketAddress address, int mostBytes, Receiver receiver) throws IOException {
            return real.datagrams(address, mostBytes, receiver);
        }

        @Override
        public ByteBuffer readBuffer() {
            return real.readBuffer();
        }

        @Override
        public void report(Throwable failure) {
            real.report(failure);
        }
    }
}
