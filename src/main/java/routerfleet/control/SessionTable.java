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
 * any order: the highest sequence gives the details, the latest phase stays. A session that is silent for
 * {@value #SILENT_BEATS} heartbeats is told as not live, and forgotten {@value #KEEP_S} seconds after.
 *
 * <p>Bound: {@value #MAX_SESSIONS} sessions; more are not taken. Each change costs O(log sessions).
 */
final class SessionTable {
    static final int MAX_SESSIONS = 20_000;
    private static final double SILENT_BEATS = 3.2;
    private static final long KEEP_S = 45;
    /** Heartbeats that take more or less time on their way do not tell of another warm-up. */
    private static final long WARMUP_JITTER_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long WARMER_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private static final class Entry {
        private SessionRecord session;
        private long heardAtNanos;
        private boolean live = true;
        private long revision;
        /** Until when data nodes were told that it is cold. */
        private long toldColdUntilNanos;

        Entry(SessionRecord session) {
            this.session = session;
        }
    }

    private final long silentAfterNanos;
    private final Map<String, Entry> sessions = new TreeMap<>();
    private final TreeMap<Long, String> byRevision = new TreeMap<>();
    private long revision;

    /** @param heartbeatMs how often a server sends its heartbeat */
    SessionTable(long heartbeatMs) {
        silentAfterNanos = (long) (TimeUnit.MILLISECONDS.toNanos(heartbeatMs) * SILENT_BEATS);
    }

    /** Of the last change that data nodes have to hear of. */
    long revision() {
        return revision;
    }

    SessionRecord find(String uid) {
        Entry entry = sessions.get(uid);
        return entry == null ? null : entry.session;
    }

    /** Takes a record in. @return whether data nodes have to hear of it */
    boolean merge(SessionRecord told, long nowNanos) {
        Entry entry = sessions.get(told.uid());
        if (entry == null) {
            if (sessions.size() >= MAX_SESSIONS) {
                return false;
            }
            entry = new Entry(told);
            entry.heardAtNanos = nowNanos;
            entry.toldColdUntilNanos = coldUntilNanos(told, nowNanos);
            sessions.put(told.uid(), entry);
            changed(told.uid(), entry);
            return true;
        }
        SessionRecord before = entry.session;
        boolean newer = told.sequence() > before.sequence();
        entry.session = newer ? told.notBefore(before.phase()) : before.notBefore(told.phase());
        boolean heard = newer && (!entry.live || warmupDiffers(entry, coldUntilNanos(told, nowNanos), nowNanos));
        if (newer) {
            entry.heardAtNanos = nowNanos;
            entry.live = true;
        }
        if (!heard && !entry.session.differsFrom(before)) {
            return false;
        }
        if (newer) {
            entry.toldColdUntilNanos = coldUntilNanos(told, nowNanos);
        }
        changed(told.uid(), entry);
        return true;
    }

    private static long coldUntilNanos(SessionRecord told, long nowNanos) {
        return nowNanos + TimeUnit.MILLISECONDS.toNanos(Math.max(0, told.warmupLeftMs()));
    }

    /** Whether it is cold for longer than data nodes were told, or warm much sooner. */
    private static boolean warmupDiffers(Entry entry, long coldUntilNanos, long nowNanos) {
        boolean cold = coldUntilNanos - nowNanos > 0;
        boolean colder = cold && coldUntilNanos - entry.toldColdUntilNanos > WARMUP_JITTER_NANOS;
        return colder || entry.toldColdUntilNanos - coldUntilNanos > WARMER_NANOS;
    }

    /** Finds sessions that have fallen silent, and forgets old ones. @return whether data nodes have to hear of it */
    boolean expire(long nowNanos) {
        long before = revision;
        for (Iterator<Map.Entry<String, Entry>> i = sessions.entrySet().iterator(); i.hasNext();) {
            Map.Entry<String, Entry> next = i.next();
            Entry entry = next.getValue();
            long silent = nowNanos - entry.heardAtNanos;
            if (silent > silentAfterNanos + TimeUnit.SECONDS.toNanos(KEEP_S)) {
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

    /** What has changed after that revision. */
    List<SessionView> changesAfter(long known) {
        List<SessionView> views = new ArrayList<>();
        for (String uid : byRevision.tailMap(known, false).values()) {
            Entry entry = sessions.get(uid);
            views.add(new SessionView(entry.session, entry.live));
        }
        return views;
    }

    /** All records, for another control node. */
    List<SessionRecord> records() {
        Collection<Entry> all = sessions.values();
        List<SessionRecord> records = new ArrayList<>(all.size());
        all.forEach(entry -> records.add(entry.session));
        return records;
    }

    /** Records of servers that are ready and have not fallen silent, and of those that drain or are gone. */
    List<SessionRecord> recordsToSave() {
        List<SessionRecord> records = new ArrayList<>();
        for (Entry entry : sessions.values()) {
            if (entry.live || entry.session.phase() != SessionRecord.Phase.READY) {
                records.add(entry.session);
            }
        }
        return records;
    }

    /** The same for tables with the same servers at the same phases; sequences do not count. */
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
