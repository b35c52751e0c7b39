package rowanplank.lab.live;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import rowanplank.lab.day.Day;
import rowanplank.lab.run.Ground;
import rowanplank.lab.run.ServerMachine;
import rowanplank.lab.site.Roster.Entry;
import rowanplank.lab.trace.Event;
import rowanplank.lab.trace.Trace;
import rowanplank.lab.world.World;
import rowanplank.net.Loop;
import rowanplank.net.Ports;

/**
 * This machine's loopback and clock under a day.
 *
 * <p>On loopback all connections come from one address. So that a page server knows whose a connection is, as it does
 * on the platform, each has an address for each node, and discovery tells each node its own. The first stands for all
 * of them where a server's address is spoken of.
 */
final class LiveGround implements Ground {
    private static final int DIGITS = 3;

    private final Day day;
    private final Loop loop;
    private final LiveClock clock;
    private final Ports ports;
    private final Trace trace;
    private final World chance;
    private final Map<InetSocketAddress, List<InetSocketAddress>> addresses = new LinkedHashMap<>();
    private final Histogram lateness = new Histogram(DIGITS);
    private int accepting = Event.NONE;

    /** @param loop has this clock */
    LiveGround(Day day, Loop loop, LiveClock clock, Ports ports, Trace trace) {
        this.day = day;
        this.loop = loop;
        this.clock = clock;
        this.ports = ports;
        this.trace = trace;
        chance = new World(day.seed());
    }

    @Override
    public Day day() {
        return day;
    }

    @Override
    public long nanos() {
        return Duration.between(World.BEGINNING, clock.now()).toNanos();
    }

    @Override
    public Instant now() {
        return clock.machine().now();
    }

    @Override
    public void at(long nanos, Runnable task) {
        schedule(Duration.ofNanos(Math.max(0, nanos - nanos())), task);
    }

    /** As the loop does, and measures how late it comes to it. */
    Loop.Timer schedule(Duration delay, Runnable task) {
        long due = nanos() + Math.max(0, delay.toNanos());
        return loop.schedule(delay, () -> {
            lateness.recordValue(Math.max(0, nanos() - due) / 1000);
            task.run();
        });
    }

    /** How late timers came, in microseconds. */
    Histogram lateness() {
        return lateness;
    }

    @Override
    public UniformRandomProvider random(String name) {
        return chance.random(name);
    }

    @Override
    public Trace trace() {
        return trace;
    }

    Loop loop() {
        return loop;
    }

    /** An address at which nobody listens. @throws IllegalStateException if there is none */
    InetSocketAddress newAddress() {
        try {
            return ports.next();
        } catch (IOException e) {
            throw new NoPort(e);
        }
    }

    @Override
    public ServerMachine machine(String name, int hall, int number) {
        List<InetSocketAddress> own = new ArrayList<>();
        for (int i = 0; i < day.nodes().count(); i++) {
            own.add(newAddress());
        }
        addresses.put(own.get(0), own);
        return new LiveMachine(this, own.get(0));
    }

    /** All addresses of whoever listens at this one: a node's each, or the one. */
    List<InetSocketAddress> all(InetSocketAddress address) {
        return addresses.getOrDefault(address, List.of(address));
    }

    /** The line as a node is to be told it. */
    Entry as(Entry e, int node) {
        return new Entry(e.name(), all(e.address()).get(node), e.hall(), e.kind(), e.cell(), e.phase(), e.size(),
                e.upSince(), e.server());
    }

    /** A connection at the address of this number is being accepted. */
    void accepting(int number) {
        accepting = number;
    }

    @Override
    public int nodeAt(InetSocketAddress remote) {
        return accepting;
    }

    /** Within calls that can't say so otherwise. */
    static final class NoPort extends IllegalStateException {
        private static final long serialVersionUID = 1;

        NoPort(IOException cause) {
            super(cause);
        }
    }
}
