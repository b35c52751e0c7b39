package rowanplank.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.lang.reflect.Proxy;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import rowanplank.balancer.Balancer;
import rowanplank.balancer.BalancerApi.Events;
import rowanplank.balancer.BalancerApi.Lifecycle;
import rowanplank.balancer.BalancerApi.ListKind;
import rowanplank.balancer.BalancerApi.Outcome;
import rowanplank.balancer.BalancerApi.Server;
import rowanplank.config.SettingsReader;
import rowanplank.exchange.Response;
import rowanplank.exchange.Exchange;
import rowanplank.exchange.RequestContext;
import rowanplank.exchange.Transfer;
import rowanplank.exchange.AttemptSender;
import rowanplank.metrics.Counters.Count;
import rowanplank.metrics.Counters;
import rowanplank.metrics.RateLimitedLog;
import rowanplank.net.Clock;
import rowanplank.net.SelectorLoop;
import rowanplank.net.SystemClock;

@Timeout(60)
class DecisionDriverTest implements AttemptSender {
    private static final String SETTINGS = """
            {"classes": [{"name": "a", "aim_ms": 50, "deadline_ms": 200, "effect": "repeatable"}],
             "ceilings": {"most_tries": 6, "may_cancel": true, "retry_after": true, "max_retry_after_ms": 10}}""";

    private final Clock clock = new SystemClock();
    private final Counters counters = new Counters();
    private final BlockingQueue<Response> answers = new LinkedBlockingQueue<>();
    private final List<Long> tried = new ArrayList<>();
    private boolean stays;
    private final RateLimitedLog log = new RateLimitedLog(clock, RateLimitedLog.Sink.system());
    private final SelectorLoop loop = new SelectorLoop(clock, e -> log.warn("unexpected", e));
    private final DecisionDriver decisions =
            new DecisionDriver(SettingsReader.parse(SETTINGS), 1, loop, counters, log);

    @BeforeEach
    void start() throws Exception {
        loop.start();
        decisions.setSender(this);
    }

    @AfterEach
    void stop() throws Exception {
        loop.stop();
    }

    private Response ask(int classIndex) throws InterruptedException {
        loop.execute(() -> {
            Instant now = clock.now();
            decisions.updateServers(ListKind.FULL, List.of(server(1), server(2)));
            decisions.open(new RequestContext("id", classIndex, false, now, now.plusMillis(200),
                    new RequestContext.Payload("GET", "/a", List.of(), new byte[0])), answers::add);
        });
        return answers.take();
    }

    private static Server server(long id) {
        return new Server(id, 0, 0, Lifecycle.READY, 1, 0);
    }

    /** Each try fails within the module's own action, unless it is to stay out. */
    @Override
    public void send(Exchange.Attempt attempt) {
        tried.add(attempt.server());
        if (stays) {
            attempt.sendStarted();
        } else {
            attempt.end(Outcome.CONNECT_FAILED, null);
        }
    }

    @Override
    public void limitTime(Exchange.Attempt attempt, Duration left) { }

    @Override
    public void cancel(Exchange.Attempt attempt) {
        attempt.end(Outcome.CANCELLED, null);
    }

    @Override
    public void closeIdle(long peer) { }

    /** Guards against actions that call back: the module would see an outcome before its send had returned. */
    @Test
    void anOutcomeWithinASendWaitsUntilTheModuleIsDone() throws Exception {
        Response answer = ask(0);
        assertEquals(new Response.Rejected(Duration.ofMillis(10)), answer, "advice is cut to the site's bound");
        assertEquals(Set.of(1L, 2L), new TreeSet<>(tried));
        assertEquals(2, tried.size(), "each server once");
        assertEquals(0, counters.get(Count.INTERNAL_FAILURES));
    }

    /** The same, as the module sees it: it is never called from within one of its own events. */
    @Test
    void theModuleIsNeverCalledFromWithinItself() throws Exception {
        int[] depth = new int[1];
        boolean[] nested = new boolean[1];
        DecisionDriver watched = new DecisionDriver(SettingsReader.parse(SETTINGS), 1, loop, counters, log, (site, seed, actions) -> {
            Balancer module = new Balancer(site, seed, actions);
            return (Events) Proxy.newProxyInstance(Events.class.getClassLoader(), new Class<?>[] {Events.class},
                    (proxy, event, arguments) -> {
                        nested[0] |= depth[0]++ > 0;
                        try {
                            return event.invoke(module, arguments);
                        } finally {
                            depth[0]--;
                        }
                    });
        });
        loop.execute(() -> {
            watched.setSender(this);
            watched.updateServers(ListKind.FULL, List.of(server(1), server(2)));
            Instant now = clock.now();
            watched.open(new RequestContext("id", 0, false, now, now.plusMillis(200),
                    new RequestContext.Payload("GET", "/a", List.of(), new byte[0])), answers::add);
        });
        answers.take();
        assertFalse(nested[0]);
        assertEquals(2, tried.size());
    }

    /** The module takes a server for silent that it hears nothing of; it has to know that a body is still on its way. */
    @Test
    void theModuleHearsOfABodyThatIsStillComingAndOnlyOfSuch() throws Exception {
        List<String> events = new ArrayList<>();
        DecisionDriver told = new DecisionDriver(SettingsReader.parse(SETTINGS), 1, loop, counters, log, (site, seed, actions) -> {
            Balancer module = new Balancer(site, seed, actions);
            return (Events) Proxy.newProxyInstance(Events.class.getClassLoader(), new Class<?>[] {Events.class},
                    (proxy, event, arguments) -> {
                        events.add(event.getName());
                        return event.invoke(module, arguments);
                    });
        });
        List<String> heard = loop.call(() -> {
            stays = true;
            told.setSender(this);
            told.updateServers(ListKind.FULL, List.of(server(1), server(2)));
            open(told, "held", null);
            open(told, "comes", new Transfer(new Transfer.BufferBudget(), null));
            Transfer whole = new Transfer(new Transfer.BufferBudget(), null);
            whole.end();
            open(told, "has come", whole);
            return List.copyOf(events); // on the loop's thread: the module's own timers come later
        });
        assertEquals(List.of("onServers", "onRequest", "onRequest", "onStreamStarted", "onRequest"), heard);
    }

    private void open(DecisionDriver at, String id, Transfer rest) {
        Instant now = clock.now();
        at.open(new RequestContext(id, 0, false, now, now.plusSeconds(20),
                new RequestContext.Payload("POST", "/a", List.of(), new byte[9], rest == null ? null
                        : new RequestContext.Upload(-1, Duration.ofSeconds(1), rest))), answers::add);
    }

    /** Guards against places that stay taken: a client leaves, its try is withdrawn, and the module must hear of it. */
    @Test
    void theOutcomeOfATryWhoseClientLeftIsTold() throws Exception {
        BlockingQueue<Integer> open = new LinkedBlockingQueue<>();
        loop.execute(() -> {
            stays = true;
            Instant now = clock.now();
            decisions.updateServers(ListKind.FULL, List.of(server(1), server(2)));
            for (int i = 0; i < 100; i++) {
                decisions.open(new RequestContext("id" + i, 0, false, now, now.plusSeconds(20),
                        new RequestContext.Payload("GET", "/a", List.of(), new byte[0])), answers::add).clientLeft();
            }
            open.add(decisions.openCount());
        });
        assertEquals(0, open.take());
        assertEquals(100, tried.size(), "there is room for each, as all before it have ended");
    }

    /** Guards runs that are to repeat: what ends all that is open must not do so in the order of a hash. */
    @Test
    void whatIsOpenIsRejectedInTheOrderInWhichItWasTaken() throws Exception {
        BlockingQueue<List<String>> rejected = new LinkedBlockingQueue<>();
        loop.execute(() -> {
            List<String> order = new ArrayList<>();
            List<Exchange> first = open(0, 10, order); // numbers that have gone by: later ones wrap round in a table
            first.forEach(Exchange::clientLeft);
            open(10, 22, order);
            decisions.stop();
            rejected.add(order);
        });
        assertEquals(IntStream.range(10, 22).mapToObj(i -> "id" + i).toList(), rejected.take());
    }

    /** Guards unsafe requests at a stop: one whose attempt may have run must not be told that it may be sent again. */
    @Test
    void atAStopARequestIsRefusedOnlyWhereARepeatIsHarmless() throws Exception {
        String settings = SETTINGS.replace("}],", "}, {\"name\": \"b\", \"aim_ms\": 50, \"deadline_ms\": 200, "
                + "\"effect\": \"once\"}],");
        DecisionDriver stopping = new DecisionDriver(SettingsReader.parse(settings), 1, loop, counters, log);
        Map<String, Response> answered = loop.call(() -> {
            Map<String, Response> byId = new TreeMap<>();
            stays = true;
            stopping.setSender(this);
            openAt(stopping, "held", 1, byId);
            stopping.updateServers(ListKind.FULL, List.of(server(1), server(2)));
            stopping.updateServers(ListKind.FULL, List.of());
            openAt(stopping, "unsafe and held", 1, byId);
            stopping.updateServers(ListKind.FULL, List.of(server(3)));
            openAt(stopping, "unsafe and sent", 1, byId);
            openAt(stopping, "safe and sent", 0, byId);
            stopping.stop();
            openAt(stopping, "comes after", 1, byId);
            return byId;
        });
        Response refused = new Response.Rejected(Duration.ofMillis(10));
        assertEquals(Map.of("held", new Response.Failed(), "unsafe and held", new Response.Failed(), "unsafe and sent",
                new Response.Failed(), "safe and sent", refused, "comes after", refused), answered);
        assertEquals(4, tried.size(), "what comes after is not sent on");
        assertEquals(0, counters.get(Count.INTERNAL_FAILURES));
    }

    private void openAt(DecisionDriver at, String id, int classIndex, Map<String, Response> answered) {
        Instant now = clock.now();
        at.open(new RequestContext(id, classIndex, false, now, now.plusSeconds(20),
                new RequestContext.Payload("POST", "/a", List.of(), new byte[0])), a -> answered.put(id, a));
    }

    private List<Exchange> open(int from, int to, List<String> answered) {
        Instant now = clock.now();
        return IntStream.range(from, to).mapToObj(i -> "id" + i)
                .map(id -> decisions.open(new RequestContext(id, 0, false, now, now.plusSeconds(20),
                        new RequestContext.Payload("GET", "/a", List.of(), new byte[0])), a -> answered.add(id)))
                .toList();
    }

    /** Guards the deadline: the module throws at a class it does not know, and says nothing more of the request. */
    @Test
    void aRequestThatTheModuleLeavesUnansweredIsFailedAtItsDeadline() throws Exception {
        assertInstanceOf(Response.Failed.class, ask(9));
        assertEquals(1, counters.get(Count.ANSWERS_OVERDUE));
        assertEquals(0, answers.size());
    }
}
