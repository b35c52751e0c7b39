package rowanplank.config;

import java.util.List;

/** The configuration can't be used; the message says what is wrong with it, one line for each fault. */
public final class ConfigException extends RuntimeException {
    private static final long serialVersionUID = 1;

    public ConfigException(String message) {
        super(message);
    }

    /** @param faults of a file, each with its place */
    public ConfigException(List<String> faults) {
        super(String.join("\n", faults));
    }

    /** The message's lines. */
    public List<String> faults() {
        return getMessage().lines().toList();
    }
}
