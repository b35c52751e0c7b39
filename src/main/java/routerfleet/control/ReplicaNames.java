package routerfleet.control;

/**
 * Names of replicas: the address of the node, a slash, and the number of its disk's first start. A node that has lost
 * its disk comes back as another replica, so that it cannot vote a second time or forget what it has stored.
 */
final class ReplicaNames {
    private static final char SEPARATOR = '/';
    private static final String FOUNDER = "0";
    private static final int HEXADECIMAL = 16;

    private ReplicaNames() { }

    /** The replica on the disk that a node has as the whole system starts for the first time. */
    static String initial(String ip) {
        return ip + SEPARATOR + FOUNDER;
    }

    /** A replica on a disk that comes to be empty later. */
    static String replacement(String ip, long number) {
        return ip + SEPARATOR + Long.toHexString(number | 1L << 62);
    }

    /** The number of a replica: it names one life of its node's disk. */
    static long incarnation(String replica) {
        return Long.parseUnsignedLong(replica.substring(replica.indexOf(SEPARATOR) + 1), HEXADECIMAL);
    }

    /** The address of a replica's node. */
    static String ip(String replica) {
        return replica.substring(0, replica.indexOf(SEPARATOR));
    }
}
