package routerfleet.control;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import routerfleet.wire.PeerLink;
import routerfleet.wire.PeerMessage;
import routerfleet.wire.Scheduler;

/**
 * Tracks how up to date this replica is, as needed for linearizable reads: the latest point in time, on this node's
 * monotonic clock, such that everything acknowledged before it is applied here. A leader has its leadership confirmed by a
 * majority; a follower requests the leader's commit index (the read index of Ongaro's thesis, section 6.4) and waits until
 * that entry is applied.
 */
class FreshnessTracker {
    private static final long WAIT_TIMEOUT_MS = 850;
    private static final long REFRESH_AFTER_MS = 220;
    private static final int MAX_WAITING = 1_024;
    /** Reads that arrive within this time share one confirmation round. */
    private static final long BATCH_DELAY_MS = 3;

    private record Waiter(long sinceNanos, Runnable onFresh, Runnable onTimeout) { }

    private final Scheduler scheduler;
    private final ReplicaGroup group;
    private final ControlPeers peers;
    /** When each read index request to the leader was sent, by its id. */
    private final Map<Long, Long> pendingRequests = new HashMap<>();
    private final Deque<Waiter> waiters = new ArrayDeque<>();
    private long lastId;
    /** The fresh point: everything acknowledged before this time is applied here. */
    private long freshNanos;
    private boolean hasFreshPoint;
    private boolean refreshScheduled;

    /** @param firstId random for each start of the process, so that a reply to a previous process matches no request */
    FreshnessTracker(Scheduler scheduler, ReplicaGroup group, ControlPeers peers, long firstId) {
        this.scheduler = scheduler;
        lastId = firstId;
        this.group = group;
        this.peers = peers;
    }

    /** The age of the fresh point at a time of this node's clock, in microseconds; negative if there is none yet. */
    long ageMicros(long atNanos) {
        return hasFreshPoint ? Math.max(0, TimeUnit.NANOSECONDS.toMicros(atNanos - freshNanos)) : -1;
    }

    /** Called regularly: expires waiters and requests a newer point if the last one is older than the refresh interval. */
    void tick() {
        long now = scheduler.nanoTime();
        expire(now);
        if (!hasFreshPoint || now - freshNanos > TimeUnit.MILLISECONDS.toNanos(REFRESH_AFTER_MS)) {
            refresh();
        }
    }

    /** Requests a newer fresh point at once. */
    void refresh() {
        long now = scheduler.nanoTime();
        if (group.isLeader()) {
            group.confirmLeadership(() -> freshSince(now), () -> { });
        } else if (group.leader() != null) {
            long id = ++lastId;
            pendingRequests.put(id, now);
            peers.send(ReplicaNames.ip(group.leader()), new PeerMessage.ReadIndexRequest(id));
        }
    }

    /**
     * Runs one of the two callbacks: the first once everything acknowledged before this call is applied here, the second if
     * that takes longer than {@value #WAIT_TIMEOUT_MS} ms or too many reads are waiting.
     */
    void whenFresh(Runnable onFresh, Runnable onTimeout) {
        if (waiters.size() >= MAX_WAITING) {
            onTimeout.run();
            return;
        }
        waiters.add(new Waiter(scheduler.nanoTime(), onFresh, onTimeout));
        if (!refreshScheduled) {
            refreshScheduled = true;
            scheduler.schedule(this::refreshBatch, BATCH_DELAY_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void refreshBatch() {
        refreshScheduled = false;
        refresh();
    }

    /** Replies to another node's read index request, as leader. */
    void answerReadIndex(PeerLink link, long id) {
        group.readIndex(index -> link.send(new PeerMessage.ReadIndexReply(id, index)));
    }

    /** Handles the leader's reply; replies to expired or unknown requests are ignored. */
    void onReadIndexReply(PeerMessage.ReadIndexReply reply) {
        Long since = pendingRequests.remove(reply.id());
        if (since != null && reply.index() >= 0) {
            freshOnceApplied(reply.index(), since);
        }
    }

    /** Moves the fresh point forward once the entry is applied: it covers everything acknowledged before that time. */
    void freshOnceApplied(long index, long sinceNanos) {
        group.whenApplied(index, () -> freshSince(sinceNanos));
    }

    /** Records that everything acknowledged before a time of this node's clock is applied here, and runs the waiters. */
    final void freshSince(long nanos) {
        if (!hasFreshPoint || nanos - freshNanos > 0) {
            freshNanos = nanos;
            hasFreshPoint = true;
        }
        while (!waiters.isEmpty() && waiters.peek().sinceNanos() - freshNanos <= 0) {
            waiters.poll().onFresh().run();
        }
    }

    private void expire(long now) {
        long since = now - TimeUnit.MILLISECONDS.toNanos(WAIT_TIMEOUT_MS);
        for (Iterator<Long> i = pendingRequests.values().iterator(); i.hasNext();) {
            if (i.next() - since < 0) {
                i.remove();
            }
        }
        while (!waiters.isEmpty() && waiters.peek().sinceNanos() - since < 0) {
            waiters.poll().onTimeout().run();
        }
    }
}
