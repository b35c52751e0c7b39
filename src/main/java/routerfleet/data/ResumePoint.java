package routerfleet.data;

/**
 * Where a server was asked to continue a stream, part of which has been forwarded from another server. Recognizes events
 * that the server repeats although they lie before this point. Gaps can't be recognized: ids rise by any step.
 */
final class ResumePoint {
    /** The beginning of a stream: nothing has been forwarded. */
    static final ResumePoint START = new ResumePoint(null);

    private final String lastEventId;
    private boolean repeating;
    private boolean passed;

    private ResumePoint(String lastEventId) {
        this.lastEventId = lastEventId;
        passed = lastEventId == null;
    }

    /** The point behind the event with this id. */
    static ResumePoint after(String lastEventId) {
        return new ResumePoint(lastEventId);
    }

    /** Whether this event has already been forwarded; to be called for each event of the server, in their order. */
    boolean isRepeated(StreamEvent event) {
        if (passed) {
            return false;
        }
        if (event.id() == null) {
            return repeating;
        }
        repeating = event.id().equals(lastEventId) || EventIdOrder.precedes(event.id(), lastEventId);
        passed = !repeating || event.id().equals(lastEventId);
        return repeating;
    }

    /** Whether the server has only sent events that lie before this point. */
    boolean isAhead() {
        return repeating && !passed;
    }
}
