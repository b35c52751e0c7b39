package routerfleet.data;

import routerfleet.wire.HashMix;

/**
 * The prefix that a prompt shares with others. A server that has it in its prompt cache need not process it again.
 *
 * @param hash the same for requests that share the prefix; 0 if there is none that is worth caching
 * @param tokens length of the shared prefix
 * @param promptTokens length of the whole prompt; 0 if it is not known
 */
record PromptPrefix(long hash, long tokens, long promptTokens) {
    static final PromptPrefix NONE = new PromptPrefix(0, 0, 0);

    /** Processing a shorter prefix again costs less than restricting the choice of a server. */
    private static final long MIN_SHARED_TOKENS = 512;

    /**
     * Parses a {@code Rowanplank-Prompt-Prefix} header: a comma-separated list of ID:TOKENS, one for each part of the
     * prompt. The last part belongs to this request alone. The shared prefix extends from the first part to the longest of
     * the others, both included.
     *
     * @param header may be null
     * @return {@link #NONE} if the header is missing or malformed
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
        return sharedTokens >= MIN_SHARED_TOKENS ? new PromptPrefix(longestHash, sharedTokens, tokens)
                : new PromptPrefix(0, 0, tokens);
    }

    /** Whether there is a shared prefix that is worth caching. */
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
