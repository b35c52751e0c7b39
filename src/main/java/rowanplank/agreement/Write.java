package rowanplank.agreement;

import java.util.List;

/** What is to be on disk before anyone is told of it. */
public sealed interface Write {
    /** How much it takes on disk, about. */
    long bytes();

    /** @param vote null for nobody */
    record Vote(long term, String vote) implements Write {
        @Override
        public long bytes() {
            return Entry.OVERHEAD;
        }
    }

    /** These stand from the first one's index on, in place of whatever stood there and behind. Never empty. */
    record Entries(List<Entry> entries) implements Write {
        @Override
        public long bytes() {
            return entries.stream().mapToLong(Entry::bytes).sum();
        }
    }

    /** This snapshot and what is behind it, in place of all that was written before. */
    record FullState(PersistentState saved) implements Write {
        @Override
        public long bytes() {
            return saved.snapshot().data().length + saved.entries().stream().mapToLong(Entry::bytes).sum();
        }
    }
}
