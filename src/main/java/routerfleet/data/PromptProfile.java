package routerfleet.data;

/**
 * The properties of a request that the choice of a server depends on.
 *
 * @param requestClass the name of its route
 * @param prefix the shared prefix of its prompt
 * @param targetLatencyMs the route's target for the time to the first response, in milliseconds
 */
record PromptProfile(String requestClass, PromptPrefix prefix, long targetLatencyMs) {
    /** Processing a prompt of so many tokens delays concurrent short requests by more than they may wait. */
    private static final long LONG_PROMPT_TOKENS = 4_096;

    /** Whether processing the prompt may take a server so long that concurrent requests are delayed noticeably. */
    boolean isLong() {
        return prefix.isShared() || prefix.promptTokens() >= LONG_PROMPT_TOKENS;
    }
}
