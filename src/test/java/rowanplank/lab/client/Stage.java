package rowanplank.lab.client;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.eclipse.jetty.io.EndPoint;
import rowanplank.lab.day.Day;
import rowanplank.lab.day.Day.RequestClass;
import rowanplank.lab.net.Process;
import rowanplank.lab.net.SimMachine;
import rowanplank.lab.net.SimNetwork;
import rowanplank.lab.net.SimProcess;
import rowanplank.lab.site.Works;
import rowanplank.lab.trace.Event;
import rowanplank.lab.trace.Event.Kind;
import rowanplank.lab.world.World;
import rowanplank.net.Loop;
import rowanplank.net.LoopConnection;

/** Virtual time, a network on which each way takes 1 ms, clients, and nodes that do as each test says. */
final class Stage {
    static final List<RequestClass> CLASSES = List.of(
            new RequestClass("page", 3, Duration.ofMillis(80), 0.3, Duration.ofMillis(500), Duration.ofSeconds(1), 2,
                    0.3, "repeatable"),
            new RequestClass("order", 1, Duration.ofMillis(200), 0.5, Duration.ofSeconds(1), Duration.ofSeconds(4), 6,
                    0.2, "once"));

    final World world = new World(3);
    final SimNetwork network;
    final SimProcess clients;
    final List<Event> events = new ArrayList<>();
    final Witness witness;
    final Works works = new Works(1, 0);
    final List<SimMachine> machines = new ArrayList<>();
    final List<Target> targets = new ArrayList<>();

    Stage() {
        Duration way = Duration.ofMillis(1);
        network = new SimNetwork(world, new Day.Network(way, way, way, 0, 0, way, way), 1);
        clients = boot(network.machine("clients", SimNetwork.CLIENTS, SimNetwork.ip(10, 9, 0, 1)));
        witness = new Witness(clients.clock(), World.BEGINNING, e -> {
            assertEquals(world.nanos(), e.at(), "told when it happens");
            events.add(e);
        });
    }

    static SimProcess boot(SimMachine machine) {
        return machine.boot(Process.unbounded(machine.name()), e -> {
            throw new AssertionError(e);
        });
    }

    /** A further machine that a front knows for a node; nothing runs there yet. */
    SimMachine machine() {
        int number = targets.size();
        SimMachine machine = network.machine("node" + number, 0, SimNetwork.ip(10, 1, 0, 1 + number));
        machines.add(machine);
        targets.add(new Target(number, 0, new InetSocketAddress(machine.address(), 7070)));
        return machine;
    }

    void runFor(long millis) {
        world.runUntil(world.nanos() + millis * 1_000_000);
    }

    /** What has been told since the last call, but for arrivals: kind, request (a retry: 0+1), node, and what more. */
    List<String> told() {
        List<String> lines = events.stream().filter(e -> e.kind() != Kind.ARRIVED).map(Stage::line).toList();
        events.clear();
        return lines;
    }

    private static String line(Event e) {
        String request = e.request() < 0 ? "" : " " + e.request() % Asking.RETRY_STEP
                + (e.request() < Asking.RETRY_STEP ? "" : "+" + e.request() / Asking.RETRY_STEP);
        String node = e.node() < 0 ? "" : " at " + e.node();
        String value = e.kind() == Kind.ANSWERED || e.kind() == Kind.CUT_SHORT ? " " + e.value() : "";
        String why = e.kind() == Kind.NOT_CONNECTED || e.kind() == Kind.CUT_SHORT ? ": " + e.text() : "";
        return e.kind() + request + node + value + why;
    }

    /** A node: counts connections from 0 and hands each request's first line to its script. */
    static final class Node {
        interface Script {
            void asked(Peer client, String request);
        }

        final List<String> requests = new ArrayList<>();
        final List<Peer> accepted = new ArrayList<>();
        boolean ready = true;
        final InetSocketAddress address;
        private final Loop loop;
        private final Script script;

        Node(Loop loop, InetSocketAddress address, Script script) {
            this.loop = loop;
            this.script = script;
            try {
                this.address = loop.listen(address, 100, Peer::new).address();
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        }

        final class Peer extends LoopConnection {
            final int number = accepted.size();
            private String unread = "";

            Peer(EndPoint endPoint) {
                super(endPoint, loop);
                accepted.add(this);
            }

            @Override
            protected void onBytes(ByteBuffer bytes) {
                unread += StandardCharsets.ISO_8859_1.decode(bytes);
                int end = unread.indexOf("\r\n\r\n");
                if (end >= 0) {
                    String request = unread;
                    unread = "";
                    if (request.startsWith("GET /up ")) {
                        answer(ready ? 200 : 503, "");
                    } else {
                        requests.add(number + " " + request);
                        script.asked(this, request);
                    }
                }
            }

            void say(String text) {
                write(() -> { }, ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1)));
            }

            void answer(int status, String fields) {
                say("HTTP/1.1 " + status + " So\r\n" + fields + "Content-Length: 2\r\n\r\nok");
            }

            @Override
            protected void onEnd() {
                close();
            }

            @Override
            protected void onOver() { }
        }
    }
}
