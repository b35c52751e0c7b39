package rowanplank.lab.site;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import rowanplank.http.ResponseReader;
import rowanplank.lab.day.Day;
import rowanplank.lab.net.Process;
import rowanplank.lab.net.SimMachine;
import rowanplank.lab.net.SimNetwork;
import rowanplank.lab.net.SimProcess;
import rowanplank.lab.trace.Event;
import rowanplank.lab.world.World;
import rowanplank.net.Loop;
import rowanplank.net.LoopConnection;

/** A site's process and a node's beside it, 1 ms apart in virtual time, and what is told. */
final class Stage {
    static final int NODE = 3;

    final World world = new World(9);
    final List<Event> events = new ArrayList<>();
    final List<Throwable> failures = new ArrayList<>();
    final SimProcess site;
    final SimProcess node;

    Stage() {
        Duration ms = Duration.ofMillis(1);
        SimNetwork network = new SimNetwork(world, new Day.Network(ms, ms, ms, 0, 0, ms, ms), 1);
        SimMachine there = network.machine("site", 0, SimNetwork.ip(10, 0, 0, 1));
        SimMachine here = network.machine("node", 0, SimNetwork.ip(10, 0, 0, 2));
        site = there.boot(Process.unbounded("site"), failures::add);
        node = here.boot(Process.unbounded("node"), failures::add);
    }

    InetSocketAddress address(int port) {
        return new InetSocketAddress(SimNetwork.ip(10, 0, 0, 1), port);
    }

    static int nodeAt(InetSocketAddress address) {
        return address.getAddress().equals(SimNetwork.ip(10, 0, 0, 2)) ? NODE : Event.NONE;
    }

    void run(long ms) {
        world.runUntil(world.nanos() + ms * 1_000_000);
        if (!failures.isEmpty()) {
            throw new AssertionError(failures.get(0));
        }
    }

    long nowMs() {
        return world.nanos() / 1_000_000;
    }

    /** What was told of these kinds, as "KIND at value text", times in ms. */
    List<String> told(Event.Kind... kinds) {
        Set<Event.Kind> wanted = Set.of(kinds);
        return told(e -> wanted.contains(e.kind()));
    }

    List<String> told(Predicate<Event> which) {
        return events.stream().filter(which).map(e -> e.kind() + " at " + e.at() / 1_000_000 + " of " + e.request()
                + ": " + (e.value() > 1000 ? e.value() / 1_000_000 : e.value())
                + (e.text() == null ? "" : " " + e.text())).toList();
    }

    /** Opens a connection, which takes 2 ms. */
    Client connect(InetSocketAddress address) {
        return connect(node, address);
    }

    static Client connect(Loop loop, InetSocketAddress address) {
        Client client = new Client(loop);
        loop.connect(address, Duration.ofSeconds(1), client);
        return client;
    }

    /** A node's side of a connection, driven by hand. */
    static final class Client implements Loop.Connector {
        private final Loop loop;
        private final StringBuilder unsent = new StringBuilder();
        private Wire wire;
        final StringBuilder read = new StringBuilder();
        Throwable failure;
        boolean ended;

        private Client(Loop loop) {
            this.loop = loop;
        }

        @Override
        public Connection connected(EndPoint endPoint) {
            wire = new Wire(endPoint);
            return wire;
        }

        @Override
        public void failed(Throwable cause) {
            failure = cause;
            ended = true;
        }

        /** Sends the text, once the connection is open. */
        Client send(String text) {
            if (wire == null) {
                unsent.append(text);
            } else {
                wire.send(text);
            }
            return this;
        }

        void close() {
            wire.close();
        }

        /** The answers that have come whole since the last call: the status, and what else counts. */
        List<String> answers() {
            List<String> answers = new ArrayList<>();
            ByteBuffer bytes = StandardCharsets.ISO_8859_1.encode(read.toString());
            ResponseReader reader = new ResponseReader(1 << 20);
            while (bytes.hasRemaining() && reader.read(bytes) == ResponseReader.Progress.WHOLE) {
                String notRun = reader.field("X-Not-Processed") == null ? "" : " not run";
                String close = reader.keepsConnection() ? "" : " close";
                answers.add(reader.status() + notRun + close);
                reader.reset();
            }
            read.setLength(0);
            return answers;
        }

        private final class Wire extends LoopConnection {
            private Wire(EndPoint endPoint) {
                super(endPoint, loop);
            }

            @Override
            public void onOpen() {
                super.onOpen();
                send(unsent.toString());
            }

            private void send(String text) {
                if (!text.isEmpty()) {
                    write(() -> { }, StandardCharsets.ISO_8859_1.encode(text));
                }
            }

            @Override
            protected void onBytes(ByteBuffer bytes) {
                read.append(StandardCharsets.ISO_8859_1.decode(bytes));
            }

            @Override
            protected void onEnd() {
                close();
            }

            @Override
            protected void onOver() {
                ended = true;
            }
        }
    }
}
