package routerfleet.control;

/**
 * Limits of what a node stores of tallies.
 *
 * @param foldThreshold number of entries, with their uids, above which the oldest are folded into the base once all nodes
 * hold them
 * @param maxEntriesForAdds number of entries from which no more adds are accepted: while nodes are unreachable, entries
 * can't be folded
 * @param maxEntriesForMerges number of entries above which none are accepted from other nodes
 * @param maxTallies number of tallies from which callers can't create another
 * @param maxOrigins number of origins (one for each disk a node has had) from which no more are accepted
 */
record TallyLimits(int foldThreshold, int maxEntriesForAdds, int maxEntriesForMerges, int maxTallies, int maxOrigins) {
    /** An entry with a uid of 16 characters takes 124 to 145 bytes of memory and 23 on disk: 20 MB and 4 MB at most. */
    static final TallyLimits DEFAULT = new TallyLimits(49_152, 98_304, 163_840, 4_096, 1_024);
}
