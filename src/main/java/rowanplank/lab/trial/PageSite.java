package rowanplank.lab.trial;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntFunction;
import org.apache.commons.rng.UniformRandomProvider;
import rowanplank.config.HostList;
import rowanplank.lab.day.Day;
import rowanplank.lab.day.DayDraw;
import rowanplank.lab.day.DayEdit;
import rowanplank.lab.live.LiveSiteRun;
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
    private static final Duration LONGEST = Duration.ofHours(1);
    private static final String CLASS = "article";
    private static final int OK = 200;
    private static final int REJECTED = 503;

    private final Loop loop;
    private final Subject.Notes notes;
    private final LiveSiteRun site;
    /** By the number of a server's process: what the fleet calls its places. Used on the site's thread alone. */
    private final Map<Integer, String> names = new TreeMap<>();
    private final DoorCalls clients = new DoorCalls();
    private long asked;
    private long served;
    private long refused;
    private boolean closed;

    /** @param loop the trial's, on which all is told */
    PageSite(int nodes, int servers, long seed, Ports ports, Path folder, Loop loop, Subject.Notes notes) throws IOException {
        this.loop = loop;
        this.notes = notes;
        Day calm = DayDraw.named(DayDraw.Named.CALM, seed, nodes);
        Day day = DayEdit.withLength(DayEdit.withServers(calm, servers), LONGEST);
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

    /** Clients ask each node as often as its share says. @param shares of each node, a second; read before every request */
    void ask(IntFunction<InetSocketAddress> nodes, double[] shares, UniformRandomProvider chance) {
        for (int n = 0; n < shares.length; n++) {
            next(n, nodes, shares, chance);
        }
    }

    private void next(int node, IntFunction<InetSocketAddress> nodes, double[] shares, UniformRandomProvider chance) {
        double rate = Math.max(shares[node], 0.2);
        loop.schedule(Duration.ofNanos((long) (-Math.log(1 - chance.nextDouble()) / rate * 1e9)), () -> {
            if (!closed) {
                ask(nodes.apply(node));
                next(node, nodes, shares, chance);
            }
        });
    }

    private void ask(InetSocketAddress node) {
        clients.page(node, "/" + CLASS + "/" + ++asked, "trial-" + asked, DEADLINE, reply -> loop.execute(() -> {
            served += reply != null && reply.status() == OK ? 1 : 0;
            refused += reply != null && reply.status() == REJECTED ? 1 : 0;
        }));
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
