package rowanplank.exchange;

/** Accepts requests from the listeners of all protocols and applies the same decisions and rules to each of them. */
public interface RequestHandler {
    /**
     * Accepts a request. The final response may be given before this method returns.
     *
     * @return the exchange, which is to be told when the client disconnects
     */
    Exchange open(RequestContext context, Exchange.Client client);

    /**
     * Returns whether a request with this id is open or an attempt of it is still pending. A second request with the
     * same id could not be distinguished from it.
     */
    boolean isOpen(String id);
}
