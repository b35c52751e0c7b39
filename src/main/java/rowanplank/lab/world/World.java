package rowanplank.lab.world;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import net.openhft.hashing.LongHashFunction;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import rowanplank.net.Clock;

/**
 * Virtual time: what is to happen, in order, and chance from one seed. A world is one thread's; nothing in it waits,
 * and time passes only from one entry to the next.
 *
 * <p>Order: entries run by their time and, at one instant, in the order in which they were entered. An entry made at
 * the present instant runs after all that were there for it.
 */
public final class World {
    /** When every world begins: far from zero, as a machine's clock is. */
    public static final Instant BEGINNING = Instant.parse("2026-01-01T00:00:00Z");

    private final long seed;
    private final Agenda agenda = new Agenda();
    private long now;

    public World(long seed) {
        this.seed = seed;
    }

    /** Nanoseconds since the beginning. */
    public long nanos() {
        return now;
    }

    public Instant now() {
        return BEGINNING.plusNanos(now);
    }

    public Clock clock() {
        return this::now;
    }

    /** @param nanos when, since the beginning; what is past counts as now */
    public Agenda.Entry at(long nanos, Runnable task) {
        return agenda.add(Math.max(now, nanos), task);
    }

    public Agenda.Entry after(Duration delay, Runnable task) {
        return at(now + Math.max(0, delay.toNanos()), task);
    }

    /**
     * A source of chance of its own for each name: what one part draws moves nothing that another does, so that two
     * policies on one seed meet the same traffic.
     */
    public UniformRandomProvider random(String name) {
        long own = LongHashFunction.xx(seed).hashBytes(name.getBytes(StandardCharsets.UTF_8));
        return RandomSource.XO_SHI_RO_256_PP.create(own);
    }

    /** Runs the next entry. @return false if there is none */
    public boolean step() {
        Agenda.Entry next = agenda.poll();
        if (next == null) {
            return false;
        }
        now = next.at();
        next.task().run();
        return true;
    }

    /** Runs all entries up to this time, which is the time then. */
    public void runUntil(long nanos) {
        while (agenda.first() != null && agenda.first().at() <= nanos) {
            step();
        }
        now = Math.max(now, nanos);
    }

    /** How many entries are still to come. */
    public int pending() {
        return agenda.size();
    }
}
