package routerfleet.control;

/**
 * How much a node remembers of tallies.
 *
 * @param foldThreshold entries, with their uids, beyond which the oldest are folded into the base once all nodes hold them
 * @param maxEntriesForAdds entries beyond which no adds are taken: nodes that can't be reached keep them from being folded
 * @param maxEntriesForMerges entries beyond which none of other nodes are taken
 * @param maxTallies names of tallies beyond which no new one is taken from a caller
 * @param maxOrigins lives of disks beyond which none is added
 */
record TallyLimits(int foldThreshold, int maxEntriesForAdds, int maxEntriesForMerges, int maxTallies, int maxOrigins) {
    /** An entry with a uid of 16 characters takes 124 to 145 bytes of memory and 23 on disk: 20 MB and 4 MB at most. */
    static final TallyLimits DEFAULT = new TallyLimits(49_152, 98_304, 163_840, 4_096, 1_024);
}
