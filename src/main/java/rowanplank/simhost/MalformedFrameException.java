package rowanplank.simhost;

/** The input is not what the wire allows; nothing after it can be trusted. */
final class MalformedFrameException extends RuntimeException {
    private static final long serialVersionUID = 1;

    MalformedFrameException(String message) {
        super(message);
    }
}
