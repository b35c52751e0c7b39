package rowanplank.lab.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import rowanplank.lab.client.Stage.Node;
import rowanplank.lab.day.Day;
import rowanplank.lab.day.Day.RequestClass;
import rowanplank.lab.site.Works;
import rowanplank.lab.trace.Event;
import rowanplank.lab.trace.Event.Kind;
import rowanplank.lab.world.World;
import rowanplank.net.Loop;
import rowanplank.net.SelectorLoop;
import rowanplank.net.SystemClock;

class ClientsTest {
    private static final Duration LENGTH = Duration.ofMillis(300);
    private static final Day.Clients FIGURES = new Day.Clients(2000, 0.3, Duration.ofMillis(50), 0.2, 0.8, 0.5, 10, 0,
            Duration.ofSeconds(1), Duration.ofSeconds(2), 0.9, false);

    /** Real time may stand still for a while. */
    private static final List<RequestClass> PATIENT = List.of(new RequestClass("page", 1, Duration.ofMillis(1), 0,
            Duration.ofSeconds(1), Duration.ofMinutes(1), 1, 0, "repeatable"));

    private final World world = new World(5);

    private Arrivals arrivals(List<RequestClass> classes) {
        return new Arrivals(FIGURES, classes, 2, LENGTH, world::random);
    }

    private static List<Long> numbers(List<Event> events, Kind kind) {
        return events.stream().filter(e -> e.kind() == kind).map(Event::request).toList();
    }

    /** Everybody comes at the time that was drawn, though the nodes answer nobody. */
    @Test
    void bringsArrivalsAtTheirTimeWhateverBecomesOfThem() {
        Stage stage = new Stage();
        Node node = new Node(Stage.boot(stage.machine()), stage.targets.get(0).address(), (c, r) -> { });
        Clients clients = clients(stage.clients, stage.witness, stage.targets, Stage.CLASSES);
        clients.start();
        stage.runFor(5000);
        assertTrue(clients.atRest());
        List<Long> times = new ArrayList<>();
        arrivals(Stage.CLASSES).forEachRemaining(a -> times.add(a.at()));
        assertEquals(times, stage.events.stream().filter(e -> e.kind() == Kind.ARRIVED).map(Event::at).toList());
        int ends = numbers(stage.events, Kind.GAVE_UP).size() + numbers(stage.events, Kind.NOT_CONNECTED).size();
        assertEquals(times.size(), ends);
        int out = 0;
        int most = 0;
        for (Event e : stage.events) {
            out += e.kind() == Kind.ASKED ? 1 : e.kind() == Kind.GAVE_UP ? -1 : 0;
            most = Math.max(most, out);
        }
        assertEquals(20, most, "10 connections a front");
        assertTrue(node.accepted.stream().allMatch(Node.Peer::isOver), "who gives up closes");
    }

    /** The same clients on the machine's own sockets and clock. */
    @Test
    void runsOnRealSockets() throws Exception {
        List<Throwable> failures = new ArrayList<>();
        SelectorLoop loop = new SelectorLoop(new SystemClock(), failures::add);
        List<Event> events = new ArrayList<>();
        CountDownLatch atRest = new CountDownLatch(1);
        loop.start();
        try {
            loop.execute(() -> {
                Node node = new Node(loop, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        (c, r) -> c.answer(200, ""));
                List<Target> targets = List.of(new Target(0, 0, node.address));
                Witness witness = new Witness(loop.clock(), loop.clock().now(), events::add);
                Clients clients = clients(loop, witness, targets, PATIENT);
                clients.start();
                awaitRest(loop, clients, atRest);
            });
            assertTrue(atRest.await(30, TimeUnit.SECONDS));
        } finally {
            loop.stop();
        }
        assertEquals(List.of(), failures);
        long count = numbers(events, Kind.ARRIVED).size();
        assertTrue(count > 300);
        assertEquals(count, numbers(events, Kind.ANSWERED).stream().distinct().count());
        assertTrue(events.stream().filter(e -> e.kind() == Kind.ANSWERED).allMatch(e -> e.value() == 200));
    }

    /** The one node stands in hall 0; those of hall 1 have none of their own. */
    private Clients clients(Loop loop, Witness witness, List<Target> targets, List<RequestClass> classes) {
        List<Front> fronts = IntStream.range(0, 2).mapToObj(hall -> new Front(loop, witness, Target.of(hall, targets),
                FIGURES, classes, new Works(1, 0), new Lives(), world.random("notices"), Duration.ZERO)).toList();
        return new Clients(loop, witness, arrivals(classes), fronts);
    }

    private static void awaitRest(SelectorLoop loop, Clients clients, CountDownLatch atRest) {
        if (clients.atRest()) {
            clients.close();
            atRest.countDown();
        } else {
            loop.schedule(Duration.ofMillis(5), () -> awaitRest(loop, clients, atRest));
        }
    }
}
