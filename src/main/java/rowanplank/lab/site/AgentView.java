package rowanplank.lab.site;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rowanplank.lab.site.Roster.Change;
import rowanplank.lab.site.Roster.Entry;
import rowanplank.lab.site.Roster.Phase;

/**
 * The list as an agent has been sent it so far: each server's last line, by its version. Of servers that are gone the
 * last {@value #MOST_GONE} are kept, to be told as changes. What is asked for costs O(lines told + log n).
 */
final class AgentView {
    static final int MOST_GONE = 1024;

    /** A line and when it was learned, in nanoseconds since the beginning. */
    record Line(long revision, Entry entry, long learnedAt) { }

    private final TreeMap<Long, Line> lines = new TreeMap<>();
    private final Map<String, Line> byName = new LinkedHashMap<>();
    private final Deque<Line> gone = new ArrayDeque<>();
    private long revision;
    /** Changes since an older version can't be told any more. */
    private long oldest;

    /** Changes come in the order of their versions. */
    void learn(Change change, long now) {
        Line line = new Line(change.revision(), change.entry(), now);
        revision = change.revision();
        Line before = byName.put(change.entry().name(), line);
        if (before != null) {
            lines.remove(before.revision);
        }
        lines.put(revision, line);
        if (change.entry().phase() == Phase.GONE) {
            gone.add(line);
            if (gone.size() > MOST_GONE) {
                forget(gone.poll());
            }
        }
    }

    private void forget(Line line) {
        if (byName.remove(line.entry.name(), line)) {
            lines.remove(line.revision);
            oldest = line.revision;
        }
    }

    long revision() {
        return revision;
    }

    /** All servers that are not gone. */
    List<Line> whole() {
        return lines.values().stream().filter(l -> l.entry.phase() != Phase.GONE).toList();
    }

    /** Whether all changes since this version can be told. */
    boolean reaches(long index) {
        return index >= oldest && index <= revision;
    }

    /** The lines that have changed since this version. */
    Collection<Line> since(long index) {
        return lines.tailMap(index, false).values();
    }
}
