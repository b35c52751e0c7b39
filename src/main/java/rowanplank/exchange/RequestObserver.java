package rowanplank.exchange;

import java.util.function.UnaryOperator;

/**
 * Observes details of requests and responses that the decision module does not receive, for alternative decision
 * modules that use more than outcomes. Each method is called before the corresponding event of the decision module
 * and must only record what it is given. The default module ignores them.
 */
public interface RequestObserver {
    /** A request was accepted under this number. */
    default void requestAccepted(long request, RequestContext context) { }

    /**
     * A complete response has arrived from a server, whatever its status.
     *
     * @param field returns the value of the response's header field of a given name, or null
     */
    default void responseReceived(long server, UnaryOperator<String> field) { }
}
