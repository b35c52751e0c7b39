package routerfleet.data;

import routerfleet.wire.HashMix;

/**
 * The shared part of a prompt that decides where its request is best read.
 *
 * @param hash the same for requests that share the part; 0 where nothing worth finding again is shared
 * @param tokens length of what is shared
 * @param promptTokens length of the whole prompt, as far as it is told
 */
record PromptPrefix(long hash, long tokens, long promptTokens) {
    static final PromptPrefix NONE = new PromptPrefix(0, 0, 0);

    /** Shorter parts are read anew faster than a server is chosen for them. */
    private static final long MIN_SHARED_TOKENS = 512;

    /**
     * Reads a list of ID:TOKENS. The last part belongs to the request itself; of the others the chain up to the longest
     * one counts.
     */
    static PromptPrefix parse(String header) {
        if (header == null) {
            return NONE;
        }
        String[] parts = header.split(",");
        long prefixHash = 0;
        long tokens = 0;
        long longest = 0;
        long longestHash = 0;
        long sharedTokens = 0;
        for (int i = 0; i < parts.length; i++) {
            int colon = parts[i].indexOf(':');
            if (colon < 0) {
                return NONE;
            }
            long length = parseTokens(parts[i].substring(colon + 1));
            tokens += length;
            prefixHash = HashMix.mix(prefixHash * 31 + parts[i].substring(0, colon).strip().hashCode());
            if (i < parts.length - 1 && length >= longest) {
                longest = length;
                longestHash = prefixHash | 1;
                sharedTokens = tokens;
            }
        }
        return sharedTokens >= MIN_SHARED_TOKENS ? new PromptPrefix(longestHash, sharedTokens, tokens) : new PromptPrefix(0, 0, tokens);
    }

    /** Whether it shares a part that is worth finding again. */
    boolean isShared() {
        return hash != 0;
    }

    private static long parseTokens(String text) {
        try {
            return Math.max(0, Long.parseLong(text.strip()));
        } catch (NumberFormatException e) {
            return 0;
        }
    }
}
