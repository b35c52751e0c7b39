package rowanplank.lab.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.apache.commons.rng.UniformRandomProvider;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import rowanplank.config.SettingsReader;
import rowanplank.exchange.Response;
import rowanplank.exchange.Exchange;
import rowanplank.exchange.RequestHandler;
import rowanplank.exchange.RequestContext;
import rowanplank.exchange.Transfer;
import rowanplank.intake.http.Intake;
import rowanplank.lifecycle.LifecycleTest;
import rowanplank.lab.client.BadClients.Measures;
import rowanplank.lab.client.Stage.Node;
import rowanplank.lab.net.SimProcess;
import rowanplank.lab.site.Ids;
import rowanplank.lab.trace.Event;
import rowanplank.lab.trace.Event.Kind;
import rowanplank.metrics.Counters;

/** All times are virtual. */
class BadClientsTest {
    private static final String SETTINGS = """
            {"classes":[{"name":"page","effect":"repeatable","deadline_ms":1000,"aim_ms":500,"work_ms":80},
            {"name":"order","effect":"once","deadline_ms":4000,"aim_ms":1000,"work_ms":200}],"zones":["a"]}""";
    private static final Measures FEW = new Measures(1 << 20, 300, 10, 20, Duration.ofSeconds(10));

    private final Stage stage = new Stage();
    private final UniformRandomProvider chance = stage.world.random("kinds");
    private final SimProcess node = Stage.boot(stage.machine());
    private final BadClients bad = new BadClients(stage.clients, stage.witness, stage.targets, Stage.CLASSES,
            stage.works, FEW, stage.world::random);

    private void start(BadKind kind, int times) {
        for (int i = 0; i < times; i++) {
            bad.start(kind, stage.targets.get(0), chance);
        }
    }

    private List<Event> told(Kind kind) {
        return stage.events.stream().filter(e -> e.kind() == kind).toList();
    }

    /** The node's intake, and behind it somebody who serves each request after 100 ms. */
    private final class Served implements RequestHandler {
        final Set<String> open = new TreeSet<>();
        final List<String> taken = new ArrayList<>();

        void begin() throws IOException {
            Intake intake = new Intake(SettingsReader.parse(SETTINGS), this, 200, 100, node, new Counters(),
                    LifecycleTest.serving(), new Transfer.BufferBudget(), 1 << 16);
            intake.start();
            intake.listen(stage.targets.get(0).address());
        }

        @Override
        public Exchange open(RequestContext context, Exchange.Client client) {
            taken.add(context.id());
            open.add(context.id());
            node.schedule(Duration.ofMillis(100), () -> {
                open.remove(context.id());
                client.respond(new Response.Served(List.of(), new byte[10]));
            });
            return new Exchange(0, context, client, new Exchange.Listener() {
                @Override
                public void attemptEnded(Exchange.Attempt attempt, rowanplank.balancer.BalancerApi.Outcome outcome,
                        Response.Served served) { }

                @Override
                public void clientLeft(Exchange exchange) { }
            });
        }

        @Override
        public boolean isOpen(String id) {
            return open.contains(id);
        }
    }

    /** What the node owes: an error or a close in time, and nothing served. It shows that each kind is what it says. */
    @ParameterizedTest
    @EnumSource(BadKind.class)
    void isTurnedAwayByTheNode(BadKind kind) throws IOException {
        Served served = new Served();
        served.begin();
        start(kind, 20);
        stage.runFor(12_000);
        List<Event> began = told(Kind.BAD_BEGAN);
        assertEquals(List.of(), told(Kind.BAD_SERVED));
        assertTrue(began.size() >= 20 && began.stream().allMatch(e -> e.text().equals(kind.name())), kind::name);
        for (Event e : began) {
            Event end = told(Kind.BAD_ENDED).stream().filter(b -> b.request() == e.request()).findFirst().orElseThrow();
            assertTrue(end.at() - e.at() <= 3_000_000_000L && end.value() >= 0, kind + " " + e + " " + end);
        }
        boolean sound = kind == BadKind.PIPELINED || kind == BadKind.OTHERS_ID;
        assertEquals(sound, !served.taken.isEmpty(), "only these send what may be taken");
        assertTrue(served.taken.stream().allMatch(id -> stage.works.knows(Ids.number(id))));
        if (kind == BadKind.OTHERS_ID) {
            assertTrue(told(Kind.BAD_ENDED).stream().allMatch(e -> e.value() == 409), "the id was open");
        }
        assertTrue(bad.atRest(), "none is left");
    }

    /** A node that serves whatever it is sent, or keeps all waiting, is told of. */
    @Test
    void tellsOfANodeThatServesThemAndOfOneThatOwes() {
        new Node(node, stage.targets.get(0).address(), (c, r) -> c.answer(200, ""));
        for (BadKind kind : List.of(BadKind.UNKNOWN_CLASS, BadKind.ODD_DEADLINE, BadKind.NO_ID, BadKind.TWO_LENGTHS,
                BadKind.NEGATIVE_LENGTH, BadKind.REPEATED, BadKind.PIPELINED, BadKind.SILENT)) {
            start(kind, 1);
        }
        stage.runFor(11_000);
        Set<Long> began = told(Kind.BAD_BEGAN).stream().map(Event::request).collect(Collectors.toSet());
        assertEquals(8, began.size());
        Set<Long> served = told(Kind.BAD_SERVED).stream().map(Event::request).collect(Collectors.toSet());
        assertEquals(6, served.size(), "all but those that may be served, and the silent");
        assertTrue(told(Kind.BAD_ENDED).stream().allMatch(e -> e.value() == -1 && e.at() > 9_000_000_000L));
        assertEquals(8, told(Kind.BAD_ENDED).size());
    }

    /** What has been answered is open no more: with its id one may be served. */
    @ParameterizedTest
    @CsvSource({"0, 0, ''", "100, 0, BAD_BEGAN BAD_SERVED", "23, 5, BAD_BEGAN"})
    void isServedWithAnothersIdOnlyWhileThatIsOpen(int victim, int thief, String told) {
        new Node(node, stage.targets.get(0).address(), (c, r) -> node.schedule(
                Duration.ofMillis(c.number == 0 ? victim : thief), () -> c.answer(200, "")));
        start(BadKind.OTHERS_ID, 1);
        stage.runFor(1000);
        assertEquals(told, stage.events.stream().map(e -> e.kind().name()).collect(Collectors.joining(" ")));
    }

    @Test
    void beginsAtItsRate() throws IOException {
        new Served().begin();
        bad.begin(Duration.ofSeconds(1), Duration.ofSeconds(20), 30);
        bad.beginSilent(Duration.ofSeconds(5), Duration.ofSeconds(20), 50);
        stage.runFor(40_000);
        List<Event> began = told(Kind.BAD_BEGAN);
        long silent = began.stream().filter(e -> e.text().equals("SILENT")).count();
        long repeated = began.stream().filter(e -> e.text().equals("REPEATED")).count();
        assertEquals(1000 + 600 / 15, silent, 5 * Math.sqrt(10 * 1000));
        assertEquals(600 * 13 / 15.0, began.size() - silent - repeated, 5 * Math.sqrt(600));
        assertEquals(BadKind.values().length, began.stream().map(Event::text).distinct().count());
        assertTrue(began.get(0).at() > 1_000_000_000L && bad.atRest());
    }
}
