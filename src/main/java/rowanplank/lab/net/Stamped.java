package rowanplank.lab.net;

/**
 * An end point that knows when the other side did what is seen here now. Rules count from what a node did, not from
 * when the network brought it. All times are nanoseconds since {@link rowanplank.lab.world.World#BEGINNING}.
 */
public interface Stamped {
    /** When the other side wrote the first byte that the last fill handed out. */
    long firstByteSentAt();

    /** When the other side wrote the last byte that the last fill handed out. */
    long lastByteSentAt();

    /** When the other side closed, ended its sending or was reset; of use once this side has seen that end. */
    long endSentAt();
}
