package rowanplank.config;

/** The configuration can't be used; the message says in one line what is wrong with it. */
public final class ConfigException extends RuntimeException {
    private static final long serialVersionUID = 1;

    public ConfigException(String message) {
        super(message);
    }
}
