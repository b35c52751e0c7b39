package routerfleet.config;

/**
 * Why a configuration is not taken.
 *
 * @param kind which answer the operator gets
 * @param item the item at fault, as {@code routes[name]}; empty for the whole
 */
public record ConfigFault(Kind kind, String item, String problem) {
    /** The answers to an order that is not taken. */
    public enum Kind {
        /** It can't be read, or breaks a rule of configurations. */
        INVALID,
        /** It builds on another version than the current one. */
        CONFLICT,
        /** It is larger, or would make a configuration that is larger, than what can be kept. */
        TOO_LARGE
    }

    static ConfigFault invalid(String item, String problem) {
        return new ConfigFault(Kind.INVALID, item, problem);
    }

    static ConfigFault tooLarge(long bytes) {
        return new ConfigFault(Kind.TOO_LARGE, "", bytes + " bytes, and at most " + ConfigOrder.MOST_BODY_BYTES
                + " can be kept");
    }

    @Override
    public String toString() {
        return item.isEmpty() ? problem : item + ": " + problem;
    }
}
