package rowanplank.exchange;

import java.util.function.UnaryOperator;

/**
 * Sees what the decision module is not told: of use to one that decides by more than outcomes. It is told before the
 * event that the same thing is to the module, and does nothing but remember. In service nobody looks.
 */
public interface RequestObserver {
    /** A request is taken under this number. */
    default void requestAccepted(long request, RequestContext context) { }

    /** An answer has come whole from a peer, whatever it says. @param field its field of a name, or null */
    default void responseReceived(long peer, UnaryOperator<String> field) { }
}
