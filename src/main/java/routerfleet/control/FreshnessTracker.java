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
 * Knows a point in time on this node's steady clock up to which everything that was acknowledged by the configuration
 * shard is applied here. A leader has its leadership confirmed by a majority; a follower asks the leader for its commit
 * index (a read index, Ongaro's thesis, section 6.4) and waits until that is applied.
 */
class FreshnessTracker {
    private static final long WAIT_MS = 850;
    private static final long REFRESH_MS = 220;
    private static final int MOST_WAITING = 1_024;
    /** Those that ask within this time are answered by one round. */
    private static final long GATHER_MS = 3;

    private record Waiter(long sinceNanos, Runnable fresh, Runnable late) { }

    private final Scheduler scheduler;
    private final ReplicaGroup group;
    private final ControlPeers peers;
    private final Map<Long, Long> asked = new HashMap<>();
    private final Deque<Waiter> waiters = new ArrayDeque<>();
    private long lastId;
    private long freshNanos;
    private boolean everFresh;
    private boolean refreshPlanned;

    /** @param firstId drawn anew in each life of the process, so that an answer to an earlier one fits no question */
    FreshnessTracker(Scheduler scheduler, ReplicaGroup group, ControlPeers peers, long firstId) {
        this.scheduler = scheduler;
        lastId = firstId;
        this.group = group;
        this.peers = peers;
    }

    /** How much older than a point of this node's clock the fresh point is, in microseconds; negative for none so far. */
    long ageMicros(long atNanos) {
        return everFresh ? Math.max(0, TimeUnit.NANOSECONDS.toMicros(atNanos - freshNanos)) : -1;
    }

    /** Called regularly; seeks a newer point where the last one is no longer young. */
    void tick() {
        long now = scheduler.nanoTime();
        expire(now);
        if (!everFresh || now - freshNanos > TimeUnit.MILLISECONDS.toNanos(REFRESH_MS)) {
            refresh();
        }
    }

    /** Seeks a newer point at once. */
    void refresh() {
        long now = scheduler.nanoTime();
        if (group.isLeader()) {
            group.confirmLeadership(() -> freshSince(now), () -> { });
        } else if (group.leader() != null) {
            long id = ++lastId;
            asked.put(id, now);
            peers.send(ReplicaNames.ip(group.leader()), new PeerMessage.ReadIndexRequest(id));
        }
    }

    /** Runs one of the two: once all that is acknowledged before this call is applied here, or after a time. */
    void whenFresh(Runnable fresh, Runnable late) {
        if (waiters.size() >= MOST_WAITING) {
            late.run();
            return;
        }
        waiters.add(new Waiter(scheduler.nanoTime(), fresh, late));
        if (!refreshPlanned) {
            refreshPlanned = true;
            scheduler.schedule(this::refreshGathered, GATHER_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void refreshGathered() {
        refreshPlanned = false;
        refresh();
    }

    /** Answers another node's question, as a leader. */
    void answerReadIndex(PeerLink link, long id) {
        group.readIndex(index -> link.send(new PeerMessage.ReadIndexReply(id, index)));
    }

    void onReadIndexReply(PeerMessage.ReadIndexReply reply) {
        Long since = asked.remove(reply.id());
        if (since != null && reply.index() >= 0) {
            freshOnceApplied(reply.index(), since);
        }
    }

    /** All that was acknowledged at a point of this node's clock stands up to that entry. */
    void freshOnceApplied(long index, long sinceNanos) {
        group.whenApplied(index, () -> freshSince(sinceNanos));
    }

    /** All that was acknowledged up to a point of this node's clock is applied here. */
    final void freshSince(long nanos) {
        if (!everFresh || nanos - freshNanos > 0) {
            freshNanos = nanos;
            everFresh = true;
        }
        while (!waiters.isEmpty() && waiters.peek().sinceNanos() - freshNanos <= 0) {
            waiters.poll().fresh().run();
        }
    }

    private void expire(long now) {
        long since = now - TimeUnit.MILLISECONDS.toNanos(WAIT_MS);
        for (Iterator<Long> i = asked.values().iterator(); i.hasNext();) {
            if (i.next() - since < 0) {
                i.remove();
            }
        }
        while (!waiters.isEmpty() && waiters.peek().sinceNanos() - since < 0) {
            waiters.poll().late().run();
        }
    }
}
