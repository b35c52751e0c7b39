package rowanplank.lab.client;

import java.time.Duration;

/**
 * A client wants something: all that is drawn of it beforehand, whatever becomes of it.
 *
 * @param number counts arrivals from 0
 * @param at nanoseconds since the beginning
 * @param hall where the client stands
 * @param requestClass the place of its class among the day's
 * @param work what it asks of a server: nanoseconds of a core of speed 1
 * @param patience how long after {@code at} the client gives up by itself
 * @param heeds whether it asks again after a reject that says when
 * @param keepsConnection whether the connection is kept for the hall's next request; else the client closes it with
 *        the answer
 * @param askOnce whether the client keeps the connection to itself after the answer and never uses it again
 */
public record Arrival(long number, long at, int hall, int requestClass, long work, Duration patience, boolean heeds,
        boolean keepsConnection, boolean askOnce) {
    /** The same so many nanoseconds later, and with a number so much higher. */
    public Arrival moved(long later, long higher) {
        return new Arrival(number + higher, at + later, hall, requestClass, work, patience, heeds, keepsConnection,
                askOnce);
    }
}
