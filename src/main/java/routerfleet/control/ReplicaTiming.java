package routerfleet.control;

import java.time.Duration;
import rowanplank.agreement.RaftNode;

/** The timeouts and limits of the configuration shard's replica group. */
final class ReplicaTiming {
    private static final Duration ELECTION_TIMEOUT = Duration.ofMillis(400);
    /** Shorter than later timeouts: all machines may start at once, and nothing is served until there is a leader. */
    private static final Duration FIRST_ELECTION_TIMEOUT = Duration.ofMillis(100);
    /** A leader that has just been elected does most of its work for the first time. */
    private static final Duration NEW_LEADER_TIMEOUT = Duration.ofMillis(1_500);
    private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(100);
    private static final int MAX_MESSAGE_BYTES = 256 << 10;
    private static final int MAX_UNCOMMITTED_ENTRIES = 512;

    private ReplicaTiming() { }

    /**
     * Returns the settings of a replica's Raft node.
     *
     * @param self name of the replica
     * @param seed of its random timeouts
     */
    static RaftNode.Settings settings(String self, long seed) {
        return new RaftNode.Settings(self, ELECTION_TIMEOUT, FIRST_ELECTION_TIMEOUT, NEW_LEADER_TIMEOUT,
                HEARTBEAT_INTERVAL, MAX_MESSAGE_BYTES, MAX_UNCOMMITTED_ENTRIES, RaftNode.Transport.CONNECTIONS, seed);
    }
}
