package routerfleet.wire;

/** Mixing of hashes, alike at all nodes and in all builds. */
public final class HashMix {
    private static final long PRIME = 0x100000001B3L;
    private static final long OFFSET = 0xCBF29CE484222325L;

    private HashMix() { }

    /** Spreads a hash over all bits (the finaliser of SplitMix64, Steele et al. 2014). */
    public static long mix(long value) {
        long z = (value ^ (value >>> 30)) * 0xBF58476D1CE4E5B9L;
        z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
        return z ^ (z >>> 31);
    }

    /** Hash of a text (FNV-1a over its characters, mixed). */
    public static long of(String text) {
        long hash = OFFSET;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * PRIME;
        }
        return mix(hash);
    }
}
