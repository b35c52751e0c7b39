package routerfleet.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import routerfleet.wire.SessionRecord;
import routerfleet.wire.SessionView;

/**
 * The sessions of model servers as one control node knows them. Records from several nodes merge to the same result in
 * any order: the highest sequence number determines the details, and the latest phase wins. A session without a heartbeat
 * for {@value #MAX_MISSED_HEARTBEATS} heartbeat intervals is reported as not live, and removed {@value #RETENTION_S}
 * seconds later.
 *
 * <p>Limit: {@value #MAX_SESSIONS} sessions; further ones are rejected. Each change costs O(log sessions).
 */
final class SessionTable {
    static final int MAX_SESSIONS = 20_000;
    private static final double MAX_MISSED_HEARTBEATS = 3.2;
    private static final long RETENTION_S = 45;
    /** Differences within this range come from varying transit times of heartbeats, and do not mean another warm-up. */
    private static final long WARMUP_JITTER_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long WARMUP_SHORTENED_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** A session and what data nodes were notified of it. */
    private static final class Entry {
        private SessionRecord session;
        private long lastHeartbeatNanos;
        private boolean live = true;
        private long revision;
        /** Until when the server is cold, as last reported to data nodes. */
        private long reportedColdUntilNanos;

        Entry(SessionRecord session) {
            this.session = session;
        }
    }

    private final long silentAfterNanos;
    private final Map<String, Entry> sessions = new TreeMap<>();
    private final TreeMap<Long, String> byRevision = new TreeMap<>();
    private long revision;

    /** @param heartbeatMs interval of a server's heartbeats */
    SessionTable(long heartbeatMs) {
        silentAfterNanos = (long) (TimeUnit.MILLISECONDS.toNanos(heartbeatMs) * MAX_MISSED_HEARTBEATS);
    }

    /** Returns the revision of the last change that concerns data nodes. */
    long revision() {
        return revision;
    }

    /** Returns the record of a session; null if it is not known. */
    SessionRecord find(String uid) {
        Entry entry = sessions.get(uid);
        return entry == null ? null : entry.session;
    }

    /** Merges a record. @return whether data nodes have to be notified */
    boolean merge(SessionRecord received, long nowNanos) {
        Entry entry = sessions.get(received.uid());
        if (entry == null) {
            if (sessions.size() >= MAX_SESSIONS) {
                return false;
            }
            entry = new Entry(received);
            entry.lastHeartbeatNanos = nowNanos;
            entry.reportedColdUntilNanos = coldUntilNanos(received, nowNanos);
            sessions.put(received.uid(), entry);
            changed(received.uid(), entry);
            return true;
        }
        SessionRecord before = entry.session;
        boolean newer = received.sequence() > before.sequence();
        entry.session = newer ? received.notBefore(before.phase()) : before.notBefore(received.phase());
        boolean statusChanged = newer
                && (!entry.live || warmupDiffers(entry, coldUntilNanos(received, nowNanos), nowNanos));
        if (newer) {
            entry.lastHeartbeatNanos = nowNanos;
            entry.live = true;
        }
        if (!statusChanged && !entry.session.differsFrom(before)) {
            return false;
        }
        if (newer) {
            entry.reportedColdUntilNanos = coldUntilNanos(received, nowNanos);
        }
        changed(received.uid(), entry);
        return true;
    }

    private static long coldUntilNanos(SessionRecord received, long nowNanos) {
        return nowNanos + TimeUnit.MILLISECONDS.toNanos(Math.max(0, received.warmupLeftMs()));
    }

    /** Whether the server stays cold for longer than data nodes were notified, or is warm much earlier. */
    private static boolean warmupDiffers(Entry entry, long coldUntilNanos, long nowNanos) {
        boolean cold = coldUntilNanos - nowNanos > 0;
        boolean colder = cold && coldUntilNanos - entry.reportedColdUntilNanos > WARMUP_JITTER_NANOS;
        return colder || entry.reportedColdUntilNanos - coldUntilNanos > WARMUP_SHORTENED_NANOS;
    }

    /**
     * Marks sessions without recent heartbeats as not live, and removes old ones.
     *
     * @return whether data nodes have to be notified
     */
    boolean expire(long nowNanos) {
        long before = revision;
        for (Iterator<Map.Entry<String, Entry>> i = sessions.entrySet().iterator(); i.hasNext();) {
            Map.Entry<String, Entry> next = i.next();
            Entry entry = next.getValue();
            long silent = nowNanos - entry.lastHeartbeatNanos;
            if (silent > silentAfterNanos + TimeUnit.SECONDS.toNanos(RETENTION_S)) {
                byRevision.remove(entry.revision);
                i.remove();
            } else if (entry.live && silent > silentAfterNanos) {
                entry.live = false;
                changed(next.getKey(), entry);
            }
        }
        return revision != before;
    }

    private void changed(String uid, Entry entry) {
        byRevision.remove(entry.revision);
        entry.revision = ++revision;
        byRevision.put(entry.revision, uid);
    }

    /** Returns the sessions that have changed after a revision. */
    List<SessionView> changesAfter(long knownRevision) {
        List<SessionView> views = new ArrayList<>();
        for (String uid : byRevision.tailMap(knownRevision, false).values()) {
            Entry entry = sessions.get(uid);
            views.add(new SessionView(entry.session, entry.live));
        }
        return views;
    }

    /** Returns all records, for another control node. */
    List<SessionRecord> records() {
        Collection<Entry> all = sessions.values();
        List<SessionRecord> records = new ArrayList<>(all.size());
        all.forEach(entry -> records.add(entry.session));
        return records;
    }

    /**
     * Returns the records to store on disk: of servers that are ready and live, and of those that drain or have ended.
     */
    List<SessionRecord> recordsToSave() {
        List<SessionRecord> records = new ArrayList<>();
        for (Entry entry : sessions.values()) {
            if (entry.live || entry.session.phase() != SessionRecord.Phase.READY) {
                records.add(entry.session);
            }
        }
        return records;
    }

    /**
     * Returns a digest that is the same for tables with the same servers in the same phases, whatever their sequence
     * numbers.
     */
    long digest() {
        long digest = 0;
        for (Entry entry : sessions.values()) {
            SessionRecord session = entry.session;
            long hash = session.uid().hashCode() * 31L + session.phase().name().hashCode();
            digest += (hash ^ (hash >>> 15)) * 0x9E3779B97F4A7C15L;
        }
        return digest;
    }
}
