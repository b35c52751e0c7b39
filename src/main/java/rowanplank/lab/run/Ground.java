package rowanplank.lab.run;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import org.apache.commons.rng.UniformRandomProvider;
import rowanplank.lab.day.Day;
import rowanplank.lab.trace.Event;
import rowanplank.lab.trace.Event.Kind;
import rowanplank.lab.trace.Trace;

/**
 * What a day's servers and faults stand on: time, chance and machines. There are two: a {@link Stage} in virtual time,
 * and this machine's own loopback in real time ({@link rowanplank.lab.live}). All calls are on one thread.
 */
public interface Ground {
    Day day();

    /** Nanoseconds since the beginning of the world. */
    long nanos();

    /** The time by the nodes' clocks: when a server started is told to them in it. */
    Instant now();

    /** @param nanos when, since the beginning of the world; what is past counts as now */
    void at(long nanos, Runnable task);

    default void after(Duration delay, Runnable task) {
        at(nanos() + Math.max(0, delay.toNanos()), task);
    }

    /** A source of chance of its own for each name, from the day's seed. */
    UniformRandomProvider random(String name);

    Trace trace();

    default void tell(Kind kind, int node, long value, String text) {
        trace().tell(nanos(), kind, node, Event.NONE, Event.NONE, value, text);
    }

    /** A new machine for page servers, with an address of its own. @param number counts all that there ever were */
    ServerMachine machine(String name, int hall, int number);

    /** Which node the connection that comes now is of; {@link Event#NONE} if of none. */
    int nodeAt(InetSocketAddress remote);

    /** The hall of the node or server of this number: they follow each other in turn. */
    default int hall(int number) {
        return number % day().halls().size();
    }
}
