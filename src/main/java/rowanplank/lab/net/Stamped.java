package rowanplank.lab.net;

/**
 * An end point that knows when what it hands out was sent, in nanoseconds since the beginning of the world: what a
 * checker needs and a socket does not tell.
 */
public interface Stamped {
    /** No such thing has happened. */
    long NEVER = -1;

    /** When the other side wrote the first byte that the last fill handed out; {@link #NEVER} before that. */
    long firstByteSentAt();

    /** When the other side wrote the last byte that the last fill handed out; {@link #NEVER} before that. */
    long lastByteSentAt();

    /**
     * When the other side ended its sending, closed, or died, if word of it has come; else {@link #NEVER}. Word may
     * come before all bytes have been read.
     */
    long endSentAt();

    /** Whether the other side's process has read all that was written here, and had before it ended its sending. */
    boolean allRead();
}
