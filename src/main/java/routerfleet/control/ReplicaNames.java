package routerfleet.control;

/**
 * Names of replicas: the node's address, a slash, and the incarnation number of its disk in hexadecimal. A node that has
 * lost its disk returns as a new replica, so that it cannot vote twice in a term or count as a holder of entries that it
 * has lost.
 */
final class ReplicaNames {
    private static final char SEPARATOR = '/';
    private static final String INITIAL_INCARNATION = "0";
    private static final int HEXADECIMAL = 16;

    private ReplicaNames() { }

    /** The name of a node's replica at the first start of the whole system. */
    static String initial(String ip) {
        return ip + SEPARATOR + INITIAL_INCARNATION;
    }

    /** The name of a replica that starts on an empty disk later. @param incarnation a random incarnation number */
    static String replacement(String ip, long incarnation) {
        return ip + SEPARATOR + Long.toHexString(incarnation | 1L << 62);
    }

    /** The incarnation number in a replica's name, which identifies the disk that the node had. */
    static long incarnation(String replica) {
        return Long.parseUnsignedLong(replica.substring(replica.indexOf(SEPARATOR) + 1), HEXADECIMAL);
    }

    /** The IP address of a replica's node. */
    static String ip(String replica) {
        return replica.substring(0, replica.indexOf(SEPARATOR));
    }
}
