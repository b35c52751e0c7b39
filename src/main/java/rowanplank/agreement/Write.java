package rowanplank.agreement;

import java.util.List;

/** A write that must be durable before any message reveals it. */
public sealed interface Write {
    /** The approximate size on disk in bytes. */
    long bytes();

    /**
     * The term and the vote in it.
     *
     * @param vote the candidate; null if none
     */
    record Vote(long term, String vote) implements Write {
        @Override
        public long bytes() {
            return Entry.OVERHEAD;
        }
    }

    /** Entries that replace everything from the index of the first one on. Never empty. */
    record Entries(List<Entry> entries) implements Write {
        @Override
        public long bytes() {
            return entries.stream().mapToLong(Entry::bytes).sum();
        }
    }

    /** The complete state, which replaces everything written before. */
    record FullState(PersistentState saved) implements Write {
        @Override
        public long bytes() {
            return saved.snapshot().data().length + saved.entries().stream().mapToLong(Entry::bytes).sum();
        }
    }
}
