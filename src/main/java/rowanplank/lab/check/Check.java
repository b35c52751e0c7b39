package rowanplank.lab.check;

import rowanplank.lab.trace.Event;

/** One rule. It sees events when the {@link Picture} has them already. */
interface Check {
    /** @param request the one that the event is about, with this event; null if none is known */
    default void see(Event event, Request request) { }

    /** All that can matter to the request has come. */
    default void settled(Request request) { }

    /** The day has ended, and all requests have settled. */
    default void ended(Event dayEnded) { }
}
