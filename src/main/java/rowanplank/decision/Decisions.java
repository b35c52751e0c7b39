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
import rowanplank.exchange.Answer;
import rowanplank.exchange.Exchange;
import rowanplank.exchange.Exchanges;
import rowanplank.exchange.Onlooker;
import rowanplank.exchange.RequestContext;
import rowanplank.exchange.TrySender;
import rowanplank.metrics.Counters.Count;
import rowanplank.metrics.Counters;
import rowanplank.metrics.RateLimitedLog;
import rowanplank.net.Clock;
import rowanplank.net.Loop;

/**
 * Drives the decision module: tells it what happens, in order and never from within one of its own actions, and
 * carries out what it asks for. Everything here runs on the event loop's thread.
 */
public final class Decisions implements Exchanges, Exchange.Listener {
    /** When a client of a node that stops may ask another one: as soon as its front has seen it go. */
    private static final Duration RETRY_ELSEWHERE = Duration.ofMillis(100);

    /** Makes a decision module: another one can stand in for {@link Balancer}, to be measured against it. */
    public interface Module extends Onlooker {
        Events create(Settings settings, long seed, Actions actions);
    }

    /** An upload's answer is given up so long before its client does: the module still has to answer. */
    private static final Duration LAST_ANSWER = Duration.ofMillis(20);

    /** A request that the module knows of. */
    private static final class Entry {
        final Exchange exchange;
        Loop.Timer guard;
        int sends;
        /** Tries whose outcome the module has not heard; until it has, it holds their place at the peer taken. */
        int untold;
        /** Whether a large answer is still on its way to the client: until then its id stays taken. */
        boolean transferring;

        Entry(Exchange exchange) {
            this.exchange = exchange;
        }
    }

    private final SiteSettings site;
    private final Loop loop;
    private final Clock clock;
    private final Counters counters;
    private final RateLimitedLog log;
    private final Onlooker onlooker;
    private final Events balancer;
    /** So long past its deadline a request is answered here: well inside of what the rules grant. */
    private final Duration guardSlack;
    /** In the order of their taking: what is done to all of them is the same in every process. */
    private final Map<Long, Entry> entries = new LinkedHashMap<>();
    /** The clients' names of the entries' requests. */
    private final Set<String> ids = new LinkedHashSet<>();
    private final Queue<Runnable> events = new ArrayDeque<>();
    private boolean delivering;
    /** All that was open has been answered: nothing is sent on any more. */
    private boolean stopping;
    private TrySender sender;
    private Places places = Places.NONE;
    private Bounds bounds = Bounds.NONE;
    private long requests;

    public Decisions(SiteSettings site, long seed, Loop loop, Counters counters, RateLimitedLog log) {
        this(site, seed, loop, counters, log, Balancer::new);
    }

    public Decisions(SiteSettings site, long seed, Loop loop, Counters counters, RateLimitedLog log, Module module) {
        this.site = site;
        this.loop = loop;
        clock = loop.clock();
        this.counters = counters;
        this.log = log;
        guardSlack = site.answerSlack().dividedBy(2);
        onlooker = module;
        balancer = module.create(site.module(), seed, new ModuleActions());
    }

    /** To be called before the first list of peers, where tries at them are bounded for the whole fleet. */
    public void bound(Places bound, Bounds more) {
        bounds = more;
        places = bound;
        places.usable(() -> deliver(() -> balancer.onServers(nowMs(), ListKind.DELTA, List.of())));
    }

    /** To be called once, before the first request. */
    public void sendThrough(TrySender sender) {
        this.sender = sender;
    }

    /** Tells the module of the peers. */
    public void servers(ListKind kind, List<Server> servers) {
        if (kind != ListKind.FAILED) {
            places.servers(servers, kind != ListKind.DELTA, site.module());
        }
        deliver(() -> balancer.onServers(nowMs(), kind, servers));
    }

    @Override
    public Exchange open(RequestContext context, Exchange.Client client) {
        long number = ++requests;
        Exchange exchange = new Exchange(number, context, client, this);
        if (stopping) {
            counters.add(Count.REQUESTS_TAKEN);
            counters.add(Count.ANSWERS_REJECTED);
            exchange.answer(unserved(exchange));
            return exchange;
        }
        Entry entry = new Entry(exchange);
        entries.put(number, entry);
        ids.add(context.id());
        counters.add(Count.REQUESTS_TAKEN);
        entry.guard = loop.schedule(untilOverdue(context), () -> overdue(entry));
        onlooker.taken(number, context);
        deliver(() -> balancer.onRequest(nowMs(), new Request(number, context.classIndex(), context.tenant(),
                context.key(), Clock.millis(context.deadline()), 0, context.repeat())));
        return exchange;
    }

    @Override
    public boolean isOpen(String id) {
        return ids.contains(id);
    }

    private Duration untilOverdue(RequestContext context) {
        return Duration.between(clock.now(), context.deadline()).plus(guardSlack);
    }

    @Override
    public void uploaded(Exchange exchange) {
        Entry entry = entries.get(exchange.number());
        Duration left = Duration.between(clock.now(), exchange.deadline());
        entry.guard.cancel();
        entry.guard = loop.schedule(left.plus(guardSlack), () -> overdue(entry));
        if (exchange.outstanding() != null) {
            sender.limit(exchange.outstanding(), left.minus(LAST_ANSWER));
        }
    }

    /** Guards the deadline should the module let it pass: an answer is owed whatever it does. */
    private void overdue(Entry entry) {
        if (!entry.exchange.ended()) {
            counters.add(Count.ANSWERS_OVERDUE);
            log.warn("request " + entry.exchange.context().id() + " was left unanswered by the module");
            abandon(entry, new Answer.Failed());
        }
    }

    /** Answers all that is open, and refuses at once whatever still comes, for a node that must stop now. */
    public void answerAll() {
        stopping = true;
        new ArrayList<>(entries.values()).forEach(e -> abandon(e, unserved(e.exchange)));
    }

    /** A refusal says that asking again does no harm: it would, where what may have run must not run twice. */
    private Answer unserved(Exchange exchange) {
        return type(exchange).mayBeRefused(exchange.mayHaveRun()) ? new Answer.Rejected(site.retryAfter(RETRY_ELSEWHERE)) : new Answer.Failed();
    }

    private RequestClass type(Exchange exchange) {
        return site.module().classes().get(exchange.context().classIndex());
    }

    /** Servers drop repeats for so long only, and a repeat's connection may take its time to come up. */
    private Instant startBy(Exchange exchange) {
        RequestClass type = type(exchange);
        return exchange.mayHaveRunSince() == null || type.effect() != Effect.BY_KEY ? exchange.deadline()
                : exchange.mayHaveRunSince().plus(Clock.span(type.repeatWithinMs()));
    }

    private void abandon(Entry entry, Answer answer) {
        long number = entry.exchange.number();
        if (conclude(entry, answer)) {
            deliver(() -> balancer.onDeparture(nowMs(), number));
        }
    }

    public int openCount() {
        return entries.size();
    }

    /** To the module, the request ends here: what a server can do is measured by its first bytes. */
    @Override
    public void tryBegun(Exchange.Try attempt, Answer.Begun begun, Instant at) {
        counters.add(counted(Outcome.OK));
        counters.add(Count.TRANSFERS);
        places.end(attempt.peer(), true);
        double latency = Clock.millis(Duration.between(attempt.started(), at));
        deliver(() -> {
            Exchange exchange = attempt.exchange();
            Entry entry = entries.get(exchange.number());
            entry.transferring = true;
            if (!conclude(entry, begun)) {
                begun.body().abandon();
            } else if (!type(exchange).streaming()) {
                sender.expectEnd(attempt, Duration.between(clock.now(), exchange.deadline()));
            }
            entry.untold--;
            balancer.onOutcome(nowMs(), exchange.number(), attempt.number(), Outcome.OK, latency, exchange.ended());
            forget(entry);
        });
    }

    private void transferEnded(Exchange.Try attempt, Outcome outcome) {
        if (outcome != Outcome.OK) {
            counters.add(Count.TRANSFERS_BROKEN);
        }
        Entry entry = entries.get(attempt.exchange().number());
        if (entry != null) {
            entry.transferring = false;
            forget(entry);
        }
    }

    @Override
    public void tryEnded(Exchange.Try attempt, Outcome outcome, Answer.Served served) {
        if (attempt.begun()) {
            deliver(() -> transferEnded(attempt, outcome));
            return;
        }
        counters.add(counted(outcome));
        places.end(attempt.peer(), outcome != Outcome.TIMEOUT && outcome != Outcome.CANCELLED);
        double latency = Clock.millis(Duration.between(attempt.started(), clock.now()));
        deliver(() -> {
            Exchange exchange = attempt.exchange();
            Entry entry = entries.get(exchange.number());
            if (outcome == Outcome.OK) {
                conclude(entry, served);
            } else if (!exchange.context().payload().isWhole()) {
                conclude(entry, unserved(exchange)); // what has gone on of its body can't be sent again
            }
            entry.untold--;
            balancer.onOutcome(nowMs(), exchange.number(), attempt.number(), outcome, latency, exchange.ended());
            forget(entry);
        });
    }

    private static Count counted(Outcome outcome) {
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
    public void departed(Exchange exchange) {
        counters.add(Count.CLIENTS_DEPARTED);
        deliver(() -> {
            giveUpUnsent(exchange);
            balancer.onDeparture(nowMs(), exchange.number());
            Entry entry = entries.get(exchange.number());
            if (entry != null) {
                forget(entry);
            }
        });
    }

    /** Nobody waits any more for a try whose connection has not come up; no module has to allow that it is given up. */
    private void giveUpUnsent(Exchange exchange) {
        Exchange.Try attempt = exchange.outstanding();
        if (attempt != null && !attempt.hasGoneOut()) {
            sender.cancel(attempt);
        }
    }

    private boolean conclude(Entry entry, Answer answer) {
        boolean first = entry.exchange.answer(answer);
        if (first) {
            giveUpUnsent(entry.exchange);
            counters.add(answer instanceof Answer.Served || answer instanceof Answer.Begun ? Count.ANSWERS_SERVED
                    : answer instanceof Answer.Rejected ? Count.ANSWERS_REJECTED : Count.ANSWERS_FAILED);
        }
        forget(entry);
        return first;
    }

    /**
     * Guards against places at peers that are never given back: a try may have ended while its outcome still waits to
     * be told, as when a client leaves and the module withdraws its try.
     */
    private void forget(Entry entry) {
        if (entry.exchange.ended()) {
            entry.guard.cancel();
            if (entry.untold == 0 && !entry.transferring) {
                entries.remove(entry.exchange.number());
                ids.remove(entry.exchange.context().id());
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

    private double worth(Entry entry) {
        return type(entry.exchange).worth();
    }

    private final class ModuleActions implements Actions {
        @Override
        public void send(long request, long server, double timeoutMs) {
            Entry entry = entries.get(request);
            if (entry == null) {
                return;
            }
            int number = entry.sends++;
            Instant now = clock.now();
            boolean begun = entry.exchange.isWanted() && number < site.module().limits().maxAttempts()
                    && entry.exchange.context().payload().isWhole()
                    && (number == 0 || bounds.tryAgain()) && places.begin(server, worth(entry));
            Exchange.Try attempt = begun ? entry.exchange.begin(number, server, now, now.plus(Clock.span(timeoutMs)),
                    startBy(entry.exchange)) : null;
            if (begun && attempt == null) {
                places.end(server, true);
            }
            if (attempt == null) {
                deliver(() -> balancer.onOutcome(nowMs(), request, number, Outcome.MOOT, 0, entry.exchange.ended()));
                return;
            }
            counters.add(Count.TRIES_SENT);
            if (number == 0) {
                bounds.firstTry();
            }
            entry.untold++;
            if (entry.exchange.context().payload().isComing()) {
                deliver(() -> balancer.onStreamStarted(nowMs(), request, number));
            }
            sender.send(attempt);
        }

        @Override
        public void refuse(long request, double retryAfterMs) {
            answer(request, new Answer.Rejected(site.retryAfter(Clock.span(retryAfterMs))));
        }

        @Override
        public void fail(long request) {
            answer(request, new Answer.Failed());
        }

        private void answer(long request, Answer answer) {
            Entry entry = entries.get(request);
            if (entry != null) {
                conclude(entry, answer);
            }
        }

        @Override
        public void cancel(long request, int number) {
            Entry entry = entries.get(request);
            Exchange.Try attempt = entry == null ? null : entry.exchange.outstanding();
            if (attempt != null && attempt.number() == number) {
                sender.cancel(attempt);
            }
        }

        @Override
        public void timer(double delayMs, long token) {
            loop.schedule(Clock.span(delayMs), () -> deliver(() -> balancer.onTimer(nowMs(), token)));
        }

        @Override
        public double places(long server) {
            return places.at(server);
        }

        @Override
        public boolean mayTryAgain() {
            return bounds.mayTryAgain();
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
