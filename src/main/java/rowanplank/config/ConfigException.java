package rowanplank.config;

import java.util.List;

/** The configuration can't be used; the message says what is wrong with it, one line for each fault. */
public final class ConfigException extends RuntimeException {
    private static final long serialVersionUID = 1;

    public ConfigException(String message) {
        super(message);
    }

    /** @param faults one line each */
    public ConfigException(List<String> faults) {
        super(String.join("\n", faults));
    }

    /** What is wrong, one line for each fault. */
    public List<String> faults() {
        return getMessage().lines().toList();
    }
}
