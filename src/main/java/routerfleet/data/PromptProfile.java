package routerfleet.data;

/**
 * What the choice of a server knows of a request.
 *
 * @param requestClass the name of its route
 * @param prefix the shared part of its prompt
 * @param targetLatencyMs the time within which its first answer earns its full worth, in milliseconds
 */
record PromptProfile(String requestClass, PromptPrefix prefix, long targetLatencyMs) {
    /** A prompt of so many tokens takes an engine longer to read than a short request may wait behind it. */
    private static final long LONG_PROMPT_TOKENS = 4_096;

    /** Whether an engine may spend long on reading the prompt, and what runs beside it waits. */
    boolean isLong() {
        return prefix.isShared() || prefix.promptTokens() >= LONG_PROMPT_TOKENS;
    }
}
