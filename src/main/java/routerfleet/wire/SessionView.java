package routerfleet.wire;

/**
 * A session as one control node sees it.
 *
 * @param live whether its heartbeats arrive there
 */
public record SessionView(SessionRecord session, boolean live) { }
