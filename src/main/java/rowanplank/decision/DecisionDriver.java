package rowanplank.decision;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import rowanplank.balancer.Balancer;
import rowanplank.balancer.BalancerApi.Actions;
import rowanplank.balancer.BalancerApi.Effect;
import rowanplank.balancer.BalancerApi.Events;
import rowanplank.balancer.BalancerApi.ListKind;
import rowanplank.balancer.BalancerApi.Outcome;
import rowanplank.balancer.BalancerApi.Request;
import rowanplank.balancer.BalancerApi.RequestClass;
import rowanplank.balancer.BalancerApi.Server;
import rowanplank.balancer.BalancerApi.Settings;
import rowanplank.config.SiteSettings;
import rowanplank.exchange.Response;
import rowanplank.exchange.Exchange;
import rowanplank.exchange.RequestHandler;
import rowanplank.exchange.RequestObserver;
import rowanplank.exchange.RequestContext;
import rowanplank.exchange.AttemptSender;
import rowanplank.metrics.Counters.Count;
import rowanplank.metrics.Counters;
import rowanplank.metrics.RateLimitedLog;
import rowanplank.net.Clock;
import rowanplank.net.Loop;

/**
 * Connects the decision module to the event loop, the clients and the servers: reports events to it in their order,
 * never from within one of its own actions, and carries out the actions that it requests. All methods must be called
 * on the event loop's thread.
 */
public final class DecisionDriver implements RequestHandler, Exchange.Listener {
    /**
     * Retry-After advice of a stopping node. By then the load balancer in front has noticed that the node is leaving.
     */
    private static final Duration STOPPING_RETRY_AFTER = Duration.ofMillis(100);

    /** Creates a decision module. It allows others than {@link Balancer}, to be compared with it. */
    public interface ModuleFactory extends RequestObserver {
        /** Creates a module whose random choices follow from the seed. */
        Events create(Settings settings, long seed, Actions actions);
    }

    /** The attempt of an upload times out this long before the client does, so that the module can still respond. */
    private static final Duration UPLOAD_RESPONSE_MARGIN = Duration.ofMillis(20);

    /** A request that was reported to the module. */
    private static final class OpenRequest {
        final Exchange exchange;
        Loop.Timer deadlineTimer;
        int sends;
        /**
         * Attempts whose outcome was not reported to the module yet. Until then the module counts them as in flight.
         */
        int unreportedAttempts;
        /** Whether a large response is still being sent to the client. Until it ends, the request id stays in use. */
        boolean transferOpen;

        OpenRequest(Exchange exchange) {
            this.exchange = exchange;
        }
    }

    private final SiteSettings site;
    private final Loop loop;
    private final Clock clock;
    private final Counters counters;
    private final RateLimitedLog log;
    private final RequestObserver observer;
    private final Events balancer;
    /**
     * How long after its deadline a request gets a response from this class; half of the tolerance that the rules
     * allow.
     */
    private final Duration deadlineSlack;
    /**
     * By request number. In order of arrival, so that operations on all requests run in the same order in every
     * process.
     */
    private final Map<Long, OpenRequest> openRequests = new LinkedHashMap<>();
    /** The client ids of the open requests. */
    private final Set<String> openIds = new LinkedHashSet<>();
    private final Queue<Runnable> events = new ArrayDeque<>();
    private boolean delivering;
    /** Set once all open requests have been answered at a stop; nothing is sent to servers any more. */
    private boolean stopping;
    private AttemptSender sender;
    private ServerSlots slots = ServerSlots.NONE;
    private FleetLimits fleetLimits = FleetLimits.NONE;
    private long lastNumber;

    public DecisionDriver(SiteSettings site, long seed, Loop loop, Counters counters, RateLimitedLog log) {
        this(site, seed, loop, counters, log, Balancer::new);
    }

    public DecisionDriver(SiteSettings site, long seed, Loop loop, Counters counters, RateLimitedLog log,
            ModuleFactory factory) {
        this.site = site;
        this.loop = loop;
        clock = loop.clock();
        this.counters = counters;
        this.log = log;
        deadlineSlack = site.answerSlack().dividedBy(2);
        observer = factory;
        balancer = factory.create(site.module(), seed, new ModuleActions());
    }

    /** Sets the limits that apply to the whole fleet. To be called before the first server list. */
    public void useFleetLimits(ServerSlots serverSlots, FleetLimits limits) {
        fleetLimits = limits;
        slots = serverSlots;
        slots.onSlotsAvailable(() -> deliver(() -> balancer.onServers(nowMs(), ListKind.DELTA, List.of())));
    }

    /** Sets the sender of attempts. To be called once, before the first request. */
    public void setSender(AttemptSender sender) {
        this.sender = sender;
    }

    /** Passes a server list to the module. */
    public void updateServers(ListKind kind, List<Server> servers) {
        if (kind != ListKind.FAILED) {
            slots.updateServers(servers, kind != ListKind.DELTA, site.module());
        }
        deliver(() -> balancer.onServers(nowMs(), kind, servers));
    }

    @Override
    public Exchange open(RequestContext context, Exchange.Client client) {
        long number = ++lastNumber;
        Exchange exchange = new Exchange(number, context, client, this);
        if (stopping) {
            counters.add(Count.REQUESTS_TAKEN);
            counters.add(Count.ANSWERS_REJECTED);
            exchange.respond(unservedResponse(exchange));
            return exchange;
        }
        OpenRequest open = new OpenRequest(exchange);
        openRequests.put(number, open);
        openIds.add(context.id());
        counters.add(Count.REQUESTS_TAKEN);
        open.deadlineTimer = loop.schedule(deadlineTimerDelay(context), () -> onOverdue(open));
        observer.requestAccepted(number, context);
        deliver(() -> balancer.onRequest(nowMs(), new Request(number, context.classIndex(), context.tenant(),
                context.key(), Clock.millis(context.deadline()), 0, context.clientRetry())));
        return exchange;
    }

    @Override
    public boolean isOpen(String id) {
        return openIds.contains(id);
    }

    private Duration deadlineTimerDelay(RequestContext context) {
        return Duration.between(clock.now(), context.deadline()).plus(deadlineSlack);
    }

    @Override
    public void uploadFinished(Exchange exchange) {
        OpenRequest open = openRequests.get(exchange.number());
        Duration left = Duration.between(clock.now(), exchange.deadline());
        open.deadlineTimer.cancel();
        open.deadlineTimer = loop.schedule(left.plus(deadlineSlack), () -> onOverdue(open));
        if (exchange.pendingAttempt() != null) {
            sender.limitTime(exchange.pendingAttempt(), left.minus(UPLOAD_RESPONSE_MARGIN));
        }
    }

    /** Fails a request that the module has left without a response past its deadline. */
    private void onOverdue(OpenRequest open) {
        if (!open.exchange.ended()) {
            counters.add(Count.ANSWERS_OVERDUE);
            log.warn("request " + open.exchange.context().id() + " was left unanswered by the module");
            abandon(open, new Response.Failed());
        }
    }

    /** Responds to all open requests and rejects new ones immediately, for a node that must stop now. */
    public void stop() {
        stopping = true;
        new ArrayList<>(openRequests.values()).forEach(r -> abandon(r, unservedResponse(r.exchange)));
    }

    /**
     * A rejection says that a retry is harmless. Where a request must not run twice and may have run, it is failed
     * instead.
     */
    private Response unservedResponse(Exchange exchange) {
        return requestClass(exchange).mayBeRejected(exchange.mayHaveRun())
                ? new Response.Rejected(site.retryAfter(STOPPING_RETRY_AFTER)) : new Response.Failed();
    }

    private RequestClass requestClass(Exchange exchange) {
        return site.module().classes().get(exchange.context().classIndex());
    }

    /**
     * Servers deduplicate a key for a limited time, and the connection of a retry may take long to establish. So the
     * first byte of a retry must be written within the deduplication window.
     */
    private Instant startDeadline(Exchange exchange) {
        RequestClass type = requestClass(exchange);
        return exchange.mayHaveRunSince() == null || type.effect() != Effect.BY_KEY ? exchange.deadline()
                : exchange.mayHaveRunSince().plus(Clock.span(type.retryWindowMs()));
    }

    private void abandon(OpenRequest open, Response response) {
        long number = open.exchange.number();
        if (respond(open, response)) {
            deliver(() -> balancer.onClientLeft(nowMs(), number));
        }
    }

    /** Returns how many requests are open. */
    public int openCount() {
        return openRequests.size();
    }

    /** For the module the attempt ends here, since a server is judged by the time to its first bytes. */
    @Override
    public void responseStarted(Exchange.Attempt attempt, Response.Streamed streamed, Instant at) {
        counters.add(counterOf(Outcome.OK));
        counters.add(Count.TRANSFERS);
        slots.release(attempt.server(), true);
        double latency = Clock.millis(Duration.between(attempt.startedAt(), at));
        deliver(() -> {
            Exchange exchange = attempt.exchange();
            OpenRequest open = openRequests.get(exchange.number());
            open.transferOpen = true;
            if (!respond(open, streamed)) {
                streamed.body().abandon();
            } else if (!requestClass(exchange).streaming()) {
                sender.expectCompletion(attempt, Duration.between(clock.now(), exchange.deadline()));
            }
            open.unreportedAttempts--;
            balancer.onOutcome(nowMs(), exchange.number(), attempt.number(), Outcome.OK, latency, exchange.ended());
            removeIfFinished(open);
        });
    }

    private void transferEnded(Exchange.Attempt attempt, Outcome outcome) {
        if (outcome != Outcome.OK) {
            counters.add(Count.TRANSFERS_BROKEN);
        }
        OpenRequest open = openRequests.get(attempt.exchange().number());
        if (open != null) {
            open.transferOpen = false;
            removeIfFinished(open);
        }
    }

    @Override
    public void attemptEnded(Exchange.Attempt attempt, Outcome outcome, Response.Served served) {
        if (attempt.hasResponseStarted()) {
            deliver(() -> transferEnded(attempt, outcome));
            return;
        }
        counters.add(counterOf(outcome));
        slots.release(attempt.server(), outcome != Outcome.TIMEOUT && outcome != Outcome.CANCELLED);
        double latency = Clock.millis(Duration.between(attempt.startedAt(), clock.now()));
        deliver(() -> {
            Exchange exchange = attempt.exchange();
            OpenRequest open = openRequests.get(exchange.number());
            if (outcome == Outcome.OK) {
                respond(open, served);
            } else if (!exchange.context().payload().isReplayable()) {
                // Part of the body has been forwarded and is not kept, so it cannot be sent again.
                respond(open, unservedResponse(exchange));
            }
            open.unreportedAttempts--;
            balancer.onOutcome(nowMs(), exchange.number(), attempt.number(), outcome, latency, exchange.ended());
            removeIfFinished(open);
        });
    }

    private static Count counterOf(Outcome outcome) {
        return switch (outcome) {
            case OK -> Count.TRIES_OK;
            case ERROR -> Count.TRIES_ERROR;
            case FULL -> Count.TRIES_FULL;
            case TIMEOUT -> Count.TRIES_TIMEOUT;
            case CONNECT_FAILED -> Count.TRIES_CONNECT_FAILED;
            case RESET -> Count.TRIES_RESET;
            case CANCELLED -> Count.TRIES_CANCELLED;
            case MOOT -> Count.TRIES_MOOT;
        };
    }

    @Override
    public void clientLeft(Exchange exchange) {
        counters.add(Count.CLIENTS_DEPARTED);
        deliver(() -> {
            cancelUnsent(exchange);
            balancer.onClientLeft(nowMs(), exchange.number());
            OpenRequest open = openRequests.get(exchange.number());
            if (open != null) {
                removeIfFinished(open);
            }
        });
    }

    /**
     * Cancels an attempt whose connection is not established yet and whose response is not wanted any more. This
     * needs no permission from the settings, since the server has not received anything.
     */
    private void cancelUnsent(Exchange exchange) {
        Exchange.Attempt attempt = exchange.pendingAttempt();
        if (attempt != null && !attempt.hasSendStarted()) {
            sender.cancel(attempt);
        }
    }

    private boolean respond(OpenRequest open, Response response) {
        boolean first = open.exchange.respond(response);
        if (first) {
            cancelUnsent(open.exchange);
            counters.add(response instanceof Response.Served || response instanceof Response.Streamed
                    ? Count.ANSWERS_SERVED
                    : response instanceof Response.Rejected ? Count.ANSWERS_REJECTED : Count.ANSWERS_FAILED);
        }
        removeIfFinished(open);
        return first;
    }

    /**
     * Removes a request once it has ended and all outcomes were reported. An attempt may have ended while its outcome
     * still waits to be reported, as when a client disconnects and the module cancels its attempt; removing the
     * request earlier would lose the outcome, and the module would count the attempt as in flight for good.
     */
    private void removeIfFinished(OpenRequest open) {
        if (open.exchange.ended()) {
            open.deadlineTimer.cancel();
            if (open.unreportedAttempts == 0 && !open.transferOpen) {
                openRequests.remove(open.exchange.number());
                openIds.remove(open.exchange.context().id());
            }
        }
    }

    private double nowMs() {
        return Clock.millis(clock.now());
    }

    /**
     * Delivers an event to the module. Events that occur while the module is running, mostly from its own actions,
     * wait until it returns.
     */
    private void deliver(Runnable event) {
        events.add(event);
        if (delivering) {
            return;
        }
        delivering = true;
        try {
            for (Runnable next; (next = events.poll()) != null;) {
                try {
                    next.run();
                } catch (RuntimeException e) {
                    counters.add(Count.INTERNAL_FAILURES);
                    log.warn("the decision module failed", e);
                }
            }
        } finally {
            delivering = false;
        }
    }

    private double worth(OpenRequest open) {
        return requestClass(open.exchange).worth();
    }

    private final class ModuleActions implements Actions {
        @Override
        public void send(long request, long server, double timeoutMs) {
            OpenRequest open = openRequests.get(request);
            if (open == null) {
                return;
            }
            int number = open.sends++;
            Instant now = clock.now();
            boolean allowed = open.exchange.isResponseWanted() && number < site.module().limits().maxAttempts()
                    && open.exchange.context().payload().isReplayable()
                    && (number == 0 || fleetLimits.tryAcquireRetry()) && slots.tryAcquire(server, worth(open));
            Exchange.Attempt attempt = allowed ? open.exchange.beginAttempt(number, server, now,
                    now.plus(Clock.span(timeoutMs)), startDeadline(open.exchange)) : null;
            if (allowed && attempt == null) {
                slots.release(server, true);
            }
            if (attempt == null) {
                deliver(() -> balancer.onOutcome(nowMs(), request, number, Outcome.MOOT, 0, open.exchange.ended()));
                return;
            }
            counters.add(Count.TRIES_SENT);
            if (number == 0) {
                fleetLimits.recordFirstAttempt();
            }
            open.unreportedAttempts++;
            if (open.exchange.context().payload().isUploading()) {
                deliver(() -> balancer.onStreamStarted(nowMs(), request, number));
            }
            sender.send(attempt);
        }

        @Override
        public void reject(long request, double retryAfterMs) {
            respond(request, new Response.Rejected(site.retryAfter(Clock.span(retryAfterMs))));
        }

        @Override
        public void fail(long request) {
            respond(request, new Response.Failed());
        }

        private void respond(long request, Response response) {
            OpenRequest open = openRequests.get(request);
            if (open != null) {
                DecisionDriver.this.respond(open, response);
            }
        }

        @Override
        public void cancel(long request, int number) {
            OpenRequest open = openRequests.get(request);
            Exchange.Attempt attempt = open == null ? null : open.exchange.pendingAttempt();
            if (attempt != null && attempt.number() == number) {
                sender.cancel(attempt);
            }
        }

        @Override
        public void timer(double delayMs, long token) {
            loop.schedule(Clock.span(delayMs), () -> deliver(() -> balancer.onTimer(nowMs(), token)));
        }

        @Override
        public double slotLimit(long server) {
            return slots.limit(server);
        }

        @Override
        public boolean mayRetry() {
            return fleetLimits.mayRetry();
        }

        @Override
        public void watchServers() {
            // nothing to do: the node watches discovery from its start on, at every site
        }

        @Override
        public void closeIdle(long server) {
            if (sender != null) {
                sender.closeIdle(server);
            }
        }

        @Override
        public void log(String line) {
            log.info(line);
        }
    }
}
