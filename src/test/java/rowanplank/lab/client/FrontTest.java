package rowanplank.lab.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rowanplank.lab.client.Stage.Node;
import rowanplank.lab.day.Day;
import rowanplank.lab.net.SimMachine;
import rowanplank.lab.net.SimProcess;
import rowanplank.lab.site.Ids;
import rowanplank.lab.site.Works;
import rowanplank.lab.trace.Event;
import rowanplank.lab.trace.Event.Kind;

/** All times are virtual; each way takes 1 ms. */
class FrontTest {
    private static final Node.Script SERVES = (client, request) -> client.answer(200, "");

    private final Stage stage = new Stage();
    private Front front;
    private long asked;

    private Node node(Node.Script script) {
        SimProcess process = Stage.boot(stage.machine());
        return new Node(process, stage.targets.get(stage.targets.size() - 1).address(), script);
    }

    /** Waits until all nodes are in use, and hears nothing of it. */
    private void begin(int connections) {
        Day.Clients clients = new Day.Clients(1, 0, Duration.ZERO, 0, 1, 0, connections, 0, Duration.ofMillis(300),
                Duration.ofMillis(500), 1, false);
        front = new Front(stage.clients, stage.witness, stage.targets, clients, Stage.CLASSES, stage.works,
                new Lives(), stage.world.random("notices"), Duration.ZERO);
        front.start();
        stage.runFor(10);
        stage.told();
    }

    private void ask(int... patiences) {
        for (int patience : patiences) {
            ask(0, patience, false, true, false);
        }
    }

    private void ask(int type, int patience, boolean heeds, boolean keeps, boolean once) {
        front.ask(new Arrival(asked++, stage.world.nanos(), 0, type, 1000, Duration.ofMillis(patience), heeds, keeps,
                once));
    }

    private String toldWithin(int millis) {
        stage.runFor(millis);
        return String.join(", ", stage.told());
    }

    private static List<String> connections(Node node) {
        return node.requests.stream().map(r -> r.substring(0, 1)).toList();
    }

    /** Each end that a node can give to the first request on a connection; ~ ends a line, ! the connection. */
    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "HTTP/1.1 200 OK~Content-Length: 2~~ok | ANSWERED 0 at 0 200",
        "HTTP/1.1 502 No~Content-Length: 0~~   | ANSWERED 0 at 0 502",
        "!                                     | CUT_SHORT 0 at 0 0: ended",
        "HTTP/1.1 200 OK~Content-Length: 3~~ok!| CUT_SHORT 0 at 0 1: ended half-way",
        "HTTP/1.1 OK~                          | CUT_SHORT 0 at 0 1: no status line",
        "''                                    | GAVE_UP 0 at 0",
        "HTTP/1.1 204 So~~HTTP/1.1 204 So~~    | ANSWERED 0 at 0 204, ANSWERED 0 at 0 0"})
    void tellsWhatBecameOfARequest(String answer, String end) {
        Node node = node((client, request) -> {
            client.say(answer.replace("~", "\r\n").replace("!", ""));
            if (answer.endsWith("!")) {
                client.close();
            }
        });
        begin(1);
        ask(100);
        assertEquals("ASKED 0 at 0, " + end, toldWithin(200));
        assertEquals(0, front.open());
        boolean whole = end.matches("ANSWERED 0 at 0 \\d+");
        assertEquals(!whole, node.accepted.get(1).isOver(), "nothing else keeps its connection");
    }

    @Test
    void writesWhatPageServersAreTold() {
        Node node = node(SERVES);
        begin(1);
        ask(250);
        ask(1, 4000, false, true, false);
        stage.runFor(50);
        assertEquals("1 GET /page/page?n=0 HTTP/1.1\r\nHost: pages.lab\r\nX-Request-ID: " + Ids.text(0)
                + "\r\nX-Timeout: 248000u\r\n\r\n", node.requests.get(0));
        assertEquals("1 POST /order/page?n=1 HTTP/1.1\r\nHost: pages.lab\r\nX-Request-ID: " + Ids.text(1)
                + "\r\nX-Timeout: 3996000u\r\nContent-Length: 3\r\n\r\nn=1", node.requests.get(1));
        assertTrue(stage.works.isForm(1, Works.form("POST", "/order/page?n=1", "n=1".getBytes())));
    }

    @Test
    void keepsConnectionsUsesTheNewestAndWaitsAtTheBound() {
        Node node = node(SERVES);
        begin(2);
        ask(100, 100, 100); // the third waits until the first is answered
        stage.runFor(20);
        ask(100);
        stage.runFor(20);
        assertEquals(List.of("1", "2", "1", "1"), connections(node), "the one that came to rest last");
        assertEquals(3, node.accepted.size(), "two, and the check");
    }

    @Test
    void givesUpForThoseWhoseTimeIsUpWhereverTheyAre() {
        node((c, r) -> { });
        begin(1);
        ask(50, 30, 100);
        assertEquals("ASKED 0 at 0, NOT_CONNECTED 1: none was free, GAVE_UP 0 at 0, ASKED 2 at 0, GAVE_UP 2 at 0",
                toldWithin(200));
    }

    @Test
    void goesRoundTheNodesThatAreReady() {
        List<Node> nodes = List.of(node(SERVES), node(SERVES), node(SERVES));
        nodes.get(2).ready = false;
        begin(3);
        ask(100, 100, 100, 100);
        stage.runFor(20);
        assertEquals(List.of(2, 2, 0), nodes.stream().map(n -> n.requests.size()).toList());
        stage.told();
        nodes.get(2).ready = true;
        assertEquals("NODE_READY at 2", toldWithin(200));
        ask(100, 100, 100);
        stage.runFor(20);
        assertEquals(1, nodes.get(2).requests.size());
    }

    /** The connection is closed as the next request is on its way: nothing is lost, once. */
    @Test
    void sendsAnewWhatTheNodeHadNotRead() {
        Node node = node((c, r) -> {
            if (!r.contains("n=2")) {
                c.answer(200, "");
            }
        });
        begin(1);
        ask(100);
        assertEquals("ASKED 0 at 0, ANSWERED 0 at 0 200", toldWithin(10));
        node.accepted.get(1).close();
        ask(100); // word of the end is 1 ms away
        assertEquals("ASKED 1 at 0, SENT_ANEW 1 at 0, ASKED 1 at 0, ANSWERED 1 at 0 200", toldWithin(20));
        assertEquals(List.of("1", "2"), connections(node));

        ask(100); // again on a kept one, but this time the node has read it
        stage.runFor(5);
        node.accepted.get(2).close();
        assertEquals("ASKED 2 at 0, CUT_SHORT 2 at 0 0: ended", toldWithin(20));
    }

    @Test
    void asksAgainWhenToldAndWhileThereIsTime() {
        node((c, r) -> c.answer(503, "Retry-After: 0.05\r\n"));
        begin(1);
        ask(0, 100, true, true, false);
        assertEquals("ASKED 0 at 0, ANSWERED 0 at 0 503, ASKED_AGAIN 0+1, ASKED 0+1 at 0, ANSWERED 0+1 at 0 503",
                toldWithin(200));
        ask(100);
        assertEquals("ASKED 1 at 0, ANSWERED 1 at 0 503", toldWithin(200), "not everybody heeds");
        assertEquals(0, front.open());
    }

    @Test
    void keepsOrClosesConnectionsAsItsClientsDo() {
        Node node = node(SERVES);
        begin(2);
        ask(0, 100, false, false, false);
        stage.runFor(10);
        assertTrue(node.accepted.get(1).isOver(), "closed with the answer");
        ask(0, 100, false, true, true);
        stage.runFor(10);
        ask(100);
        stage.runFor(10);
        ask(100, 20);
        stage.runFor(100);
        assertEquals(List.of("1", "2", "3", "3", "3"), connections(node), "who asks once keeps his, and it counts");
        node.accepted.get(2).close();
        stage.runFor(10);
        ask(100, 100);
        stage.runFor(10);
        assertEquals(5, node.accepted.size(), "its place is free again");
        front.close();
        stage.runFor(10);
        assertEquals(0, stage.clients.openConnections() + stage.clients.pendingTimers());
    }

    @Test
    void noticesADeadNodeLateAndItsReturnAtOnce() {
        node(SERVES);
        SimMachine machine = stage.machine();
        SimProcess process = Stage.boot(machine);
        new Node(process, stage.targets.get(1).address(), (c, r) -> { });
        begin(5);
        ask(100, 100);
        stage.runFor(10);
        stage.told();
        process.kill();
        long death = stage.world.nanos();
        assertEquals("CUT_SHORT 1 at 1 0: ended", toldWithin(10));
        while (stage.world.nanos() < death + 1_000_000_000) {
            ask(20);
            stage.runFor(10);
        }
        List<Long> failures = stage.events.stream().filter(e -> e.kind() == Kind.NOT_CONNECTED).map(Event::at).toList();
        long last = failures.get(failures.size() - 1) - death;
        assertTrue(last > 270_000_000 && last < 515_000_000, "noticed after 300 to 500 ms: " + last);
        assertEquals(last / 20_000_000, failures.size(), 2, "every other one until then");
        stage.told();
        new Node(Stage.boot(machine), stage.targets.get(1).address(), SERVES);
        stage.runFor(110);
        ask(100, 100);
        assertTrue(toldWithin(10).contains("at 1 200"));
    }

    /** Open connections to a machine that has vanished are silent, and new ones do not come up. */
    @Test
    void leavesAMachineThatHasVanished() {
        node(SERVES);
        begin(1);
        ask(100);
        stage.runFor(10);
        stage.told();
        stage.machines.get(0).vanish();
        ask(100);
        assertEquals("ASKED 1 at 0, GAVE_UP 1 at 0", toldWithin(110));
        ask(100);
        assertEquals("NOT_CONNECTED 2 at 0: not up in time", toldWithin(710));
        ask(100);
        assertEquals("NOT_CONNECTED 3: none was free", toldWithin(110));
        stage.machines.get(0).appear();
        stage.runFor(2000);
        ask(100);
        assertEquals("ASKED 4 at 0, ANSWERED 4 at 0 200", toldWithin(110));
    }
}
