package routerfleet.settings;

/** A settings file that can't be used; the message is one line with file, line and key. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1;

    private SettingsException(String line) {
        super(line);
    }

    /** Something that is needed is not there. */
    public static SettingsException missing(String what, String problem) {
        return new SettingsException(what + ": " + problem);
    }

    SettingsException(String file, int line, String key, String problem) {
        super(file + ":" + line + ": " + key + ": " + problem);
    }
}
