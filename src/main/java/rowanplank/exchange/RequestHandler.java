package rowanplank.exchange;

/** Where a front brings its requests: the same decisions and rules for each of them. */
public interface RequestHandler {
    /**
     * Takes a request. Its answer may come before this returns.
     *
     * @return the exchange, to be told when the client leaves
     */
    Exchange open(RequestContext context, Exchange.Client client);

    /** Whether a request of this id is open, or a try of it still out: a second one could not be told from it. */
    boolean isOpen(String id);
}
