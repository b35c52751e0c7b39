package rowanplank.lab.site;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import rowanplank.config.Addresses;

/**
 * The true list of page servers. Each change is a version; whoever follows the list is told of it at once, with the
 * time from which discovery knows of it: the same span after each change, so that the order is kept. No I/O. Its
 * followers are on one thread.
 */
public final class Roster {
    /** What discovery says of a server; the order is that of the values in events. */
    public enum Phase {
        GONE, READY, DRAINING;

        String text() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /**
     * A line of the list.
     *
     * @param name the same at every node and in every life
     * @param hall where it stands, by its name
     * @param kind its machine's kind, by its name
     * @param cell the small set of servers that it belongs to
     * @param size in relation to others
     * @param upSince its last start, Unix milliseconds; 0 for long ago
     * @param server the number of this life of it; {@link rowanplank.lab.trace.Event#NONE} if none ever ran
     */
    public record Entry(String name, InetSocketAddress address, String hall, String kind, int cell, Phase phase,
            double size, long upSince, int server) {
        public Entry with(Phase other) {
            return new Entry(name, address, hall, kind, cell, other, size, upSince, server);
        }

        /** As the platform's protocol writes it. */
        JsonObject json() {
            return Json.object().add("id", name).add("host_port", Addresses.format(address)).add("locality", hall)
                    .add("flavor", kind).add("cell", cell).add("phase", phase.text()).add("size", size)
                    .add("up_since_ms", upSince);
        }
    }

    /**
     * A version of the list.
     *
     * @param knownAt when discovery knows of it, in nanoseconds since the beginning
     */
    public record Change(long revision, long knownAt, Entry entry) { }

    /** Who follows the list. */
    public interface Follower {
        void changed(Change change);
    }

    private final long notices;
    private final Map<String, Change> last = new LinkedHashMap<>();
    private final List<Follower> followers = new ArrayList<>();
    private long revision;

    /** @param notices how long after a change discovery knows of it */
    public Roster(Duration notices) {
        this.notices = notices.toNanos();
    }

    /** A server that discovery has known for long. */
    public void known(Entry entry) {
        put(Long.MIN_VALUE, entry);
    }

    /** A server came up, drains or is gone, at this time in nanoseconds since the beginning. */
    public void change(long now, Entry entry) {
        put(now + notices, entry);
    }

    private void put(long knownAt, Entry entry) {
        Change change = new Change(++revision, knownAt, entry);
        last.remove(entry.name()); // so that the order is that of the versions
        if (entry.phase() != Phase.GONE) {
            last.put(entry.name(), change);
        }
        followers.forEach(f -> f.changed(change));
    }

    /** Tells all that is on the list, and from now on each change. */
    public void follow(Follower follower) {
        last.values().forEach(follower::changed);
        followers.add(follower);
    }

    /** The servers that are not gone. */
    public List<Entry> entries() {
        return last.values().stream().map(Change::entry).toList();
    }

    /** How many changes there were. */
    public long revision() {
        return revision;
    }
}
