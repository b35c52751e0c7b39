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
 * Drives the decision module: tells it what happens, in order and never from within one of its own actions, and
 * carries out what it asks for. Everything here runs on the event loop's thread.
 */
public final class DecisionDriver implements RequestHandler, Exchange.Listener {
    /** When a client of a node that stops may ask another one: as soon as its front has seen it go. */
    private static final Duration STOPPING_RETRY_AFTER = Duration.ofMillis(100);

    /** Makes a decision module: another one can stand in for {@link Balancer}, to be measured against it. */
    public interface ModuleFactory extends RequestObserver {
        Events create(Settings settings, long seed, Actions actions);
    }

    /** An upload's answer is given up so long before its client does: the module still has to answer. */
    private static final Duration UPLOAD_RESPONSE_MARGIN = Duration.ofMillis(20);

    /** A request that the module knows of. */
    private static final class OpenRequest {
        final Exchange exchange;
        Loop.Timer guard;
        int sends;
        /** Tries whose outcome the module has not heard; until it has, it holds their place at the peer taken. */
        int untold;
        /** Whether a large answer is still on its way to the client: until then its id stays taken. */
        boolean transferring;

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
    /** So long past its deadline a request is answered here: well inside of what the rules grant. */
    private final Duration deadlineSlack;
    /** In the order of their taking: what is done to all of them is the same in every process. */
    private final Map<Long, OpenRequest> openRequests = new LinkedHashMap<>();
    /** The clients' names of the entries' requests. */
    private final Set<String> openIds = new LinkedHashSet<>();
    private final Queue<Runnable> events = new ArrayDeque<>();
    private boolean delivering;
    /** All that was open has been answered: nothing is sent on any more. */
    private boolean stopping;
    private AttemptSender sender;
    private ServerSlots slots = ServerSlots.NONE;
    private FleetLimits fleetLimits = FleetLimits.NONE;
    private long lastNumber;

    public DecisionDriver(SiteSettings site, long seed, Loop loop, Counters counters, RateLimitedLog log) {
        this(site, seed, loop, counters, log, Balancer::new);
    }

    public DecisionDriver(SiteSettings site, long seed, Loop loop, Counters counters, RateLimitedLog log, ModuleFactory module) {
        this.site = site;
        this.loop = loop;
        clock = loop.clock();
        this.counters = counters;
        this.log = log;
        deadlineSlack = site.answerSlack().dividedBy(2);
        observer = module;
        balancer = module.create(site.module(), seed, new ModuleActions());
    }

    /** To be called before the first list of peers, where tries at them are bounded for the whole fleet. */
    public void useFleetLimits(ServerSlots bound, FleetLimits more) {
        fleetLimits = more;
        slots = bound;
        slots.onSlotsAvailable(() -> deliver(() -> balancer.onServers(nowMs(), ListKind.DELTA, List.of())));
    }

    /** To be called once, before the first request. */
    public void setSender(AttemptSender sender) {
        this.sender = sender;
    }

    /** Tells the module of the peers. */
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
        OpenRequest entry = new OpenRequest(exchange);
        openRequests.put(number, entry);
        openIds.add(context.id());
        counters.add(Count.REQUESTS_TAKEN);
        entry.guard = loop.schedule(deadlineTimerDelay(context), () -> onOverdue(entry));
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
        OpenRequest entry = openRequests.get(exchange.number());
        Duration left = Duration.between(clock.now(), exchange.deadline());
        entry.guard.cancel();
        entry.guard = loop.schedule(left.plus(deadlineSlack), () -> onOverdue(entry));
        if (exchange.pendingAttempt() != null) {
            sender.limitTime(exchange.pendingAttempt(), left.minus(UPLOAD_RESPONSE_MARGIN));
        }
    }

    /** Guards the deadline should the module let it pass: an answer is owed whatever it does. */
    private void onOverdue(OpenRequest entry) {
        if (!entry.exchange.ended()) {
            counters.add(Count.ANSWERS_OVERDUE);
            log.warn("request " + entry.exchange.context().id() + " was left unanswered by the module");
            abandon(entry, new Response.Failed());
        }
    }

    /** Answers all that is open, and refuses at once whatever still comes, for a node that must stop now. */
    public void stop() {
        stopping = true;
        new ArrayList<>(openRequests.values()).forEach(e -> abandon(e, unservedResponse(e.exchange)));
    }

    /** A refusal says that asking again does no harm: it would, where what may have run must not run twice. */
    private Response unservedResponse(Exchange exchange) {
        return requestClass(exchange).mayBeRejected(exchange.mayHaveRun()) ? new Response.Rejected(site.retryAfter(STOPPING_RETRY_AFTER)) : new Response.Failed();
    }

    private RequestClass requestClass(Exchange exchange) {
        return site.module().classes().get(exchange.context().classIndex());
    }

    /** Servers drop repeats for so long only, and a repeat's connection may take its time to come up. */
    private Instant startDeadline(Exchange exchange) {
        RequestClass type = requestClass(exchange);
        return exchange.mayHaveRunSince() == null || type.effect() != Effect.BY_KEY ? exchange.deadline()
                : exchange.mayHaveRunSince().plus(Clock.span(type.retryWindowMs()));
    }

    private void abandon(OpenRequest entry, Response answer) {
        long number = entry.exchange.number();
        if (respond(entry, answer)) {
            deliver(() -> balancer.onClientLeft(nowMs(), number));
        }
    }

    public int openCount() {
        return openRequests.size();
    }

    /** To the module, the request ends here: what a server can do is measured by its first bytes. */
    @Override
    public void responseStarted(Exchange.Attempt attempt, Response.Streamed begun, Instant at) {
        counters.add(counterOf(Outcome.OK));
        counters.add(Count.TRANSFERS);
        slots.release(attempt.server(), true);
        double latency = Clock.millis(Duration.between(attempt.startedAt(), at));
        deliver(() -> {
            Exchange exchange = attempt.exchange();
            OpenRequest entry = openRequests.get(exchange.number());
            entry.transferring = true;
            if (!respond(entry, begun)) {
                begun.body().abandon();
            } else if (!requestClass(exchange).streaming()) {
                sender.expectCompletion(attempt, Duration.between(clock.now(), exchange.deadline()));
            }
            entry.untold--;
            balancer.onOutcome(nowMs(), exchange.number(), attempt.number(), Outcome.OK, latency, exchange.ended());
            removeIfFinished(entry);
        });
    }

    private void transferEnded(Exchange.Attempt attempt, Outcome outcome) {
        if (outcome != Outcome.OK) {
            counters.add(Count.TRANSFERS_BROKEN);
        }
        OpenRequest entry = openRequests.get(attempt.exchange().number());
        if (entry != null) {
            entry.transferring = false;
            removeIfFinished(entry);
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
            OpenRequest entry = openRequests.get(exchange.number());
            if (outcome == Outcome.OK) {
                respond(entry, served);
            } else if (!exchange.context().payload().isReplayable()) {
                respond(entry, unservedResponse(exchange)); // what has gone on of its body can't be sent again
            }
            entry.untold--;
            balancer.onOutcome(nowMs(), exchange.number(), attempt.number(), outcome, latency, exchange.ended());
            removeIfFinished(entry);
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
            OpenRequest entry = openRequests.get(exchange.number());
            if (entry != null) {
                removeIfFinished(entry);
            }
        });
    }

    /** Nobody waits any more for a try whose connection has not come up; no module has to allow that it is given up. */
    private void cancelUnsent(Exchange exchange) {
        Exchange.Attempt attempt = exchange.pendingAttempt();
        if (attempt != null && !attempt.hasSendStarted()) {
            sender.cancel(attempt);
        }
    }

    private boolean respond(OpenRequest entry, Response answer) {
        boolean first = entry.exchange.respond(answer);
        if (first) {
            cancelUnsent(entry.exchange);
            counters.add(answer instanceof Response.Served || answer instanceof Response.Streamed ? Count.ANSWERS_SERVED
                    : answer instanceof Response.Rejected ? Count.ANSWERS_REJECTED : Count.ANSWERS_FAILED);
        }
        removeIfFinished(entry);
        return first;
    }

    /**
     * Guards against places at peers that are never given back: a try may have ended while its outcome still waits to
     * be told, as when a client leaves and the module withdraws its try.
     */
    private void removeIfFinished(OpenRequest entry) {
        if (entry.exchange.ended()) {
            entry.guard.cancel();
            if (entry.untold == 0 && !entry.transferring) {
                openRequests.remove(entry.exchange.number());
                openIds.remove(entry.exchange.context().id());
            }
        }
    }

    private double nowMs() {
        return Clock.millis(clock.now());
    }

    /** Events that come up while the module is at work, from its own actions above all, wait until it is done. */
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

    private double worth(OpenRequest entry) {
        return requestClass(entry.exchange).worth();
    }

    private final class ModuleActions implements Actions {
        @Override
        public void send(long request, long server, double timeoutMs) {
            OpenRequest entry = openRequests.get(request);
            if (entry == null) {
                return;
            }
            int number = entry.sends++;
            Instant now = clock.now();
            boolean begun = entry.exchange.isResponseWanted() && number < site.module().limits().maxAttempts()
                    && entry.exchange.context().payload().isReplayable()
                    && (number == 0 || fleetLimits.tryAcquireRetry()) && slots.tryAcquire(server, worth(entry));
            Exchange.Attempt attempt = begun ? entry.exchange.beginAttempt(number, server, now, now.plus(Clock.span(timeoutMs)),
                    startDeadline(entry.exchange)) : null;
            if (begun && attempt == null) {
                slots.release(server, true);
            }
            if (attempt == null) {
                deliver(() -> balancer.onOutcome(nowMs(), request, number, Outcome.MOOT, 0, entry.exchange.ended()));
                return;
            }
            counters.add(Count.TRIES_SENT);
            if (number == 0) {
                fleetLimits.recordFirstAttempt();
            }
            entry.untold++;
            if (entry.exchange.context().payload().isUploading()) {
                deliver(() -> balancer.onStreamStarted(nowMs(), request, number));
            }
            sender.send(attempt);
        }

        @Override
        public void reject(long request, double retryAfterMs) {
            answer(request, new Response.Rejected(site.retryAfter(Clock.span(retryAfterMs))));
        }

        @Override
        public void fail(long request) {
            answer(request, new Response.Failed());
        }

        private void answer(long request, Response answer) {
            OpenRequest entry = openRequests.get(request);
            if (entry != null) {
                respond(entry, answer);
            }
        }

        @Override
        public void cancel(long request, int number) {
            OpenRequest entry = openRequests.get(request);
            Exchange.Attempt attempt = entry == null ? null : entry.exchange.pendingAttempt();
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
            // the node watches discovery from its start on, at every site
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
