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

/** Tests of {@link DecisionDriver}, with this class as the sender of attempts. */
@Timeout(60)
class DecisionDriverTest implements AttemptSender {
    private static final String SETTINGS = """
            {"classes": [{"name": "a", "aim_ms": 50, "deadline_ms": 200, "effect": "repeatable"}],
             "ceilings": {"most_tries": 6, "may_cancel": true, "retry_after": true, "max_retry_after_ms": 10}}""";

    private final Clock clock = new SystemClock();
    private final Counters counters = new Counters();
    private final BlockingQueue<Response> responses = new LinkedBlockingQueue<>();
    private final List<Long> attemptedServers = new ArrayList<>();
    private boolean staysPending;
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

    private Response respondTo(int classIndex) throws InterruptedException {
        loop.execute(() -> {
            Instant now = clock.now();
            decisions.updateServers(ListKind.FULL, List.of(server(1), server(2)));
            decisions.open(new RequestContext("id", classIndex, false, now, now.plusMillis(200),
                    new RequestContext.Payload("GET", "/a", List.of(), new byte[0])), responses::add);
        });
        return responses.take();
    }

    private static Server server(long id) {
        return new Server(id, 0, 0, Lifecycle.READY, 1, 0);
    }

    /** Each attempt fails within the module's own action, unless it is to stay pending. */
    @Override
    public void send(Exchange.Attempt attempt) {
        attemptedServers.add(attempt.server());
        if (staysPending) {
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
    public void closeIdle(long server) { }

    /**
     * An outcome within an action must wait until the module returns; otherwise the module would see it before its
     * send action has returned.
     */
    @Test
    void anOutcomeWithinASendWaitsUntilTheModuleIsDone() throws Exception {
        Response response = respondTo(0);
        assertEquals(new Response.Rejected(Duration.ofMillis(10)), response, "advice is limited to the site's maximum");
        assertEquals(Set.of(1L, 2L), new TreeSet<>(attemptedServers));
        assertEquals(2, attemptedServers.size(), "each server once");
        assertEquals(0, counters.get(Count.INTERNAL_FAILURES));
    }

    /** The module must never be called from within one of its own events. */
    @Test
    void theModuleIsNeverCalledFromWithinItself() throws Exception {
        int[] depth = new int[1];
        boolean[] nested = new boolean[1];
        DecisionDriver driver = new DecisionDriver(SettingsReader.parse(SETTINGS), 1, loop, counters, log,
                (site, seed, actions) -> {
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
            driver.setSender(this);
            driver.updateServers(ListKind.FULL, List.of(server(1), server(2)));
            Instant now = clock.now();
            driver.open(new RequestContext("id", 0, false, now, now.plusMillis(200),
                    new RequestContext.Payload("GET", "/a", List.of(), new byte[0])), responses::add);
        });
        responses.take();
        assertFalse(nested[0]);
        assertEquals(2, attemptedServers.size());
    }

    /**
     * The module considers a server silent from which it receives nothing, so it must be told that a body is still
     * being sent, and only then.
     */
    @Test
    void theModuleLearnsOfABodyThatIsStillBeingSentAndOnlyThen() throws Exception {
        List<String> events = new ArrayList<>();
        DecisionDriver driver = new DecisionDriver(SettingsReader.parse(SETTINGS), 1, loop, counters, log,
                (site, seed, actions) -> {
            Balancer module = new Balancer(site, seed, actions);
            return (Events) Proxy.newProxyInstance(Events.class.getClassLoader(), new Class<?>[] {Events.class},
                    (proxy, event, arguments) -> {
                        events.add(event.getName());
                        return event.invoke(module, arguments);
                    });
        });
        List<String> reported = loop.call(() -> {
            staysPending = true;
            driver.setSender(this);
            driver.updateServers(ListKind.FULL, List.of(server(1), server(2)));
            open(driver, "held", null);
            open(driver, "comes", new Transfer(new Transfer.BufferBudget(), null));
            Transfer received = new Transfer(new Transfer.BufferBudget(), null);
            received.end();
            open(driver, "has come", received);
            return List.copyOf(events); // still on the loop's thread, before the module's own timers
        });
        assertEquals(List.of("onServers", "onRequest", "onRequest", "onStreamStarted", "onRequest"), reported);
    }

    private void open(DecisionDriver at, String id, Transfer rest) {
        Instant now = clock.now();
        at.open(new RequestContext(id, 0, false, now, now.plusSeconds(20),
                new RequestContext.Payload("POST", "/a", List.of(), new byte[9], rest == null ? null
                        : new RequestContext.Upload(-1, Duration.ofSeconds(1), rest))), responses::add);
    }

    /**
     * When a client disconnects, its attempt is cancelled, and the module must still get the outcome; otherwise the
     * slot would stay taken.
     */
    @Test
    void theOutcomeOfAnAttemptWhoseClientLeftIsReported() throws Exception {
        BlockingQueue<Integer> open = new LinkedBlockingQueue<>();
        loop.execute(() -> {
            staysPending = true;
            Instant now = clock.now();
            decisions.updateServers(ListKind.FULL, List.of(server(1), server(2)));
            for (int i = 0; i < 100; i++) {
                decisions.open(new RequestContext("id" + i, 0, false, now, now.plusSeconds(20),
                        new RequestContext.Payload("GET", "/a", List.of(), new byte[0])), responses::add).clientLeft();
            }
            open.add(decisions.openCount());
        });
        assertEquals(0, open.take());
        assertEquals(100, attemptedServers.size(), "there is a free slot for each, as all before it have ended");
    }

    /** Runs must be repeatable, so all open requests must not be ended in the order of a hash table. */
    @Test
    void openRequestsAreRejectedInTheOrderOfTheirArrival() throws Exception {
        BlockingQueue<List<String>> rejected = new LinkedBlockingQueue<>();
        loop.execute(() -> {
            List<String> order = new ArrayList<>();
            List<Exchange> first = open(0, 10, order); // uses up numbers, so that later ones wrap around in a table
            first.forEach(Exchange::clientLeft);
            open(10, 22, order);
            decisions.stop();
            rejected.add(order);
        });
        assertEquals(IntStream.range(10, 22).mapToObj(i -> "id" + i).toList(), rejected.take());
    }

    /**
     * At a stop, a request that must run only once and whose attempt may have run must not be rejected, since its
     * client could send it again.
     */
    @Test
    void atAStopARequestIsRejectedOnlyWhereARetryIsHarmless() throws Exception {
        String settings = SETTINGS.replace("}],", "}, {\"name\": \"b\", \"aim_ms\": 50, \"deadline_ms\": 200, "
                + "\"effect\": \"once\"}],");
        DecisionDriver stopping = new DecisionDriver(SettingsReader.parse(settings), 1, loop, counters, log);
        Map<String, Response> responsesById = loop.call(() -> {
            Map<String, Response> byId = new TreeMap<>();
            staysPending = true;
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
        Response rejected = new Response.Rejected(Duration.ofMillis(10));
        assertEquals(Map.of("held", new Response.Failed(), "unsafe and held", new Response.Failed(), "unsafe and sent",
                new Response.Failed(), "safe and sent", rejected, "comes after", rejected), responsesById);
        assertEquals(4, attemptedServers.size(), "requests after the stop are not sent");
        assertEquals(0, counters.get(Count.INTERNAL_FAILURES));
    }

    private void openAt(DecisionDriver at, String id, int classIndex, Map<String, Response> responsesById) {
        Instant now = clock.now();
        at.open(new RequestContext(id, classIndex, false, now, now.plusSeconds(20),
                new RequestContext.Payload("POST", "/a", List.of(), new byte[0])), a -> responsesById.put(id, a));
    }

    private List<Exchange> open(int from, int to, List<String> responsesById) {
        Instant now = clock.now();
        return IntStream.range(from, to).mapToObj(i -> "id" + i)
                .map(id -> decisions.open(new RequestContext(id, 0, false, now, now.plusSeconds(20),
                        new RequestContext.Payload("GET", "/a", List.of(), new byte[0])), a -> responsesById.add(id)))
                .toList();
    }

    /** If the module throws at an unknown class and never responds, the request must fail at its deadline. */
    @Test
    void aRequestThatTheModuleLeavesUnansweredIsFailedAtItsDeadline() throws Exception {
        assertInstanceOf(Response.Failed.class, respondTo(9));
        assertEquals(1, counters.get(Count.ANSWERS_OVERDUE));
        assertEquals(0, responses.size());
    }
}
