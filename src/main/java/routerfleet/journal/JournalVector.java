package routerfleet.journal;

import java.util.Collections;
import java.util.Map;
import java.util.Objects;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * How far a journal goes: of each origin, up to which number it holds all entries.
 *
 * @param upTo numbers from 1 on; an origin that is absent is one of which nothing is held
 */
public record JournalVector(SortedMap<Origin, Long> upTo) {
    /** Nothing is held. */
    public static final JournalVector EMPTY = new JournalVector(new TreeMap<>());

    public JournalVector {
        upTo = Collections.unmodifiableSortedMap(new TreeMap<>(upTo));
    }

    /** Up to which number an origin's entries are held; 0 for none. */
    public long of(Origin origin) {
        return upTo.getOrDefault(origin, 0L);
    }

    /** Whether all is held here that another vector names. */
    public boolean covers(JournalVector other) {
        for (Map.Entry<Origin, Long> theirs : other.upTo.entrySet()) {
            if (of(theirs.getKey()) < theirs.getValue()) {
                return false;
            }
        }
        return true;
    }

    // Written out: generated ones are linked at their first use, which takes a small machine tens of milliseconds.
    @Override
    public boolean equals(Object object) {
        return object instanceof JournalVector other && Objects.equals(upTo, other.upTo);
    }

    @Override
    public int hashCode() {
        return upTo.hashCode();
    }
}
