package rowanplank.lab.trial;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntFunction;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import rowanplank.config.HostList;
import rowanplank.lab.client.Arrival;
import rowanplank.lab.client.Front;
import rowanplank.lab.client.Lives;
import rowanplank.lab.client.Target;
import rowanplank.lab.client.Witness;
import rowanplank.lab.client.Wording;
import rowanplank.lab.day.Day;
import rowanplank.lab.day.Day.RequestClass;
import rowanplank.lab.day.DayDraw;
import rowanplank.lab.day.DayEdit;
import rowanplank.lab.live.LiveSiteRun;
import rowanplank.lab.site.Ids;
import rowanplank.lab.trace.Event;
import rowanplank.lab.trial.judge.Event.Kind;
import rowanplank.net.DoorCalls;
import rowanplank.net.Loop;
import rowanplank.net.Ports;
import rowanplank.net.SystemClock;

/**
 * What nodes of a trial carry requests between: page servers and discovery on loopback, on a thread of their own, and
 * clients, each of whom asks one node once and gives up at the deadline. A try is told of from when its first byte came to
 * a server to when that server has answered it or has seen its connection end.
 */
final class PageSite {
    static final Duration DEADLINE = Duration.ofMillis(800);
    /** Of clients behind a front. */
    private static final Duration PATIENCE = Duration.ofMillis(1500);
    /** An answer that comes so late shows that the node gave one. */
    private static final Duration LAST_WORD = Duration.ofSeconds(2);
    private static final Duration LONGEST = Duration.ofHours(1);
    /** A share that has changed counts from so much later on at the latest. */
    private static final Duration STEP = Duration.ofMillis(250);
    private static final String CLASS = "article";
    private static final int OK = 200;
    private static final int REJECTED = 503;

    private final Loop loop;
    private final Subject.Notes notes;
    private final LiveSiteRun site;
    private final Day day;
    private Front front;
    /** By the number of a server's process: what the fleet calls its places. Used on the site's thread alone. */
    private final Map<Integer, String> names = new TreeMap<>();
    private final DoorCalls clients = new DoorCalls();
    private final Histogram micros = new Histogram(3);
    private long pages;
    private int rounds;
    private long asked;
    private long served;
    private long refused;
    private boolean closed;

    /** @param loop the trial's, on which all is told */
    PageSite(int nodes, int servers, long seed, Ports ports, Path folder, Loop loop, Subject.Notes notes) throws IOException {
        this.loop = loop;
        this.notes = notes;
        Day calm = DayDraw.named(DayDraw.Named.CALM, seed, nodes);
        day = DayEdit.withLength(DayEdit.withServers(calm, servers), LONGEST);
        site = new LiveSiteRun(day, new SystemClock(), this::happened);
        try {
            site.start(ports, Files.createDirectories(folder));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    InetSocketAddress discovery(int node) {
        return site.discovery(node);
    }

    /** On the site's thread. */
    private void happened(Event e) {
        switch (e.kind()) {
            case SERVER_STARTED -> names.put(e.server(),
                    "place/" + Long.toUnsignedString(HostList.number(e.text()), Character.MAX_RADIX));
            case TRY_BEGAN -> tell(Kind.BEGIN, e);
            case TRY_ANSWERED, TRY_WITHDRAWN -> tell(Kind.END, e);
            case TRY_LOST -> {
                if (!"silent".equals(e.text())) {
                    tell(Kind.END, e);
                }
            }
            default -> { }
        }
    }

    private void tell(Kind kind, Event e) {
        if (e.node() >= 0 && e.request() >= 0) {
            notes.tell(kind, TrialPlan.name(e.node()), names.get(e.server()), 1, e.request(), "");
        }
    }

    /**
     * Clients whose front asks the nodes whether they are up, and goes on asking, and spreads requests over those that are;
     * each request is told of from its sending to its answer.
     *
     * @param rate requests a second, in all
     */
    void serveBehindFront(IntFunction<InetSocketAddress> nodes, int count, double rate, UniformRandomProvider chance) {
        Instant beginning = loop.clock().now();
        List<Target> targets = new ArrayList<>();
        for (int n = 0; n < count; n++) {
            targets.add(new Target(n, 0, nodes.apply(n)));
        }
        front = new Front(loop, new Witness(loop.clock(), beginning, this::seen), targets, day.clients(), day.classes(),
                new Asked(day.classes()), new Lives(), chance, LAST_WORD, Front.Manner.WATCHING);
        front.start();
        arrive(beginning, rate, chance);
    }

    private void arrive(Instant beginning, double rate, UniformRandomProvider chance) {
        loop.schedule(Duration.ofNanos((long) (-Math.log(1 - chance.nextDouble()) / rate * 1e9)), () -> {
            if (!closed) {
                long at = Duration.between(beginning, loop.clock().now()).toNanos();
                front.ask(new Arrival(asked++, at, 0, 0, 0, PATIENCE, false, chance.nextInt(4) > 0, false));
                arrive(beginning, rate, chance);
            }
        });
    }

    /** What the front tells. */
    private void seen(Event e) {
        String node = e.node() >= 0 ? TrialPlan.name(e.node()) : "";
        switch (e.kind()) {
            case ASKED -> notes.tell(Kind.REQUEST, node, "", 0, e.request(), "");
            case ANSWERED -> {
                served += e.value() == OK ? 1 : 0;
                refused += e.value() == REJECTED ? 1 : 0;
                notes.tell(Kind.ANSWER, node, "", e.value(), e.request(), "");
            }
            case CUT_SHORT, GAVE_UP, NOT_CONNECTED, SENT_ANEW -> notes.tell(Kind.UNANSWERED, node, "", 0, e.request(),
                    e.kind().name().toLowerCase(Locale.ROOT) + (e.text() == null ? "" : " " + e.text()));
            default -> { }
        }
    }

    /** Page servers take whatever has an id for a request. */
    private record Asked(List<RequestClass> classes) implements Wording {
        @Override
        public void enter(int requestClass, long number, long work) { }

        @Override
        public String message(int requestClass, long number, String fields) {
            return "GET /" + CLASS + "/page?n=" + number + " HTTP/1.1\r\nHost: pages.lab\r\nX-Request-ID: " + Ids.text(number)
                    + "\r\n" + fields + "\r\n";
        }
    }

    /** Clients ask each node as often as its share says. @param shares of each node, a second; read before every request */
    void ask(IntFunction<InetSocketAddress> nodes, double[] shares, UniformRandomProvider chance) {
        for (int n = 0; n < shares.length; n++) {
            next(n, nodes, shares, chance);
        }
    }

    /** Who waits does not know for how long it has: so after a step it is drawn anew, by the share as it is then. */
    private void next(int node, IntFunction<InetSocketAddress> nodes, double[] shares, UniformRandomProvider chance) {
        double rate = Math.max(shares[node], 0.2);
        Duration drawn = Duration.ofNanos((long) (-Math.log(1 - chance.nextDouble()) / rate * 1e9));
        boolean asks = drawn.compareTo(STEP) <= 0;
        loop.schedule(asks ? drawn : STEP, () -> {
            if (!closed) {
                if (asks) {
                    ask(nodes.apply(node));
                }
                next(node, nodes, shares, chance);
            }
        });
    }

    private void ask(InetSocketAddress node) {
        Instant from = loop.clock().now();
        int round = rounds;
        asked++;
        clients.page(node, "/" + CLASS + "/" + ++pages, "trial-" + pages, DEADLINE, reply -> {
            long took = Duration.between(from, loop.clock().now()).toNanos() / 1000;
            loop.execute(() -> answered(round, reply, took));
        });
    }

    private void answered(int round, DoorCalls.Reply reply, long took) {
        if (reply == null || round != rounds) {
            return;
        }
        if (reply.status() == OK) {
            served++;
            micros.recordValue(took);
        }
        refused += reply.status() == REJECTED ? 1 : 0;
    }

    /** What was asked until now does not count. */
    void countAnew() {
        rounds++;
        asked = 0;
        served = 0;
        refused = 0;
        micros.reset();
    }

    /** What was served took so long at the most, of so many in a hundred, in microseconds. */
    long micros(double percent) {
        return micros.getValueAtPercentile(percent);
    }

    long asked() {
        return asked;
    }

    long served() {
        return served;
    }

    long refused() {
        return refused;
    }

    void close() {
        closed = true;
        site.stop();
        try {
            site.await();
        } catch (IOException e) {
            // it ends with the trial
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
