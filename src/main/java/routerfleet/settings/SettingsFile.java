package routerfleet.settings;

import java.io.IOException;
import java.io.StringReader;
import java.util.Properties;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The fields of a settings file by their keys, each read as what it is to be. A field without a value counts as absent.
 *
 * <p>The format is that of {@link Properties}. Binding the file to records by Jackson took a sixth of a process's start.
 */
final class SettingsFile {
    private final String file;
    private final String text;
    private final Properties fields = new Properties();

    /** @throws SettingsException if the text is not of the format */
    SettingsFile(String file, String text) throws SettingsException {
        this.file = file;
        this.text = text;
        try {
            fields.load(new StringReader(text));
        } catch (IOException | IllegalArgumentException e) {
            throw fault("file", "malformed: " + e.getMessage());
        }
    }

    /** The value of a field; null where it is absent. */
    String text(String key) {
        String value = fields.getProperty(key);
        return value == null || value.isBlank() ? null : value.strip();
    }

    /** The value of a field that has to be there. */
    String required(String key) throws SettingsException {
        String value = text(key);
        if (value == null) {
            throw fault(key, "is missing");
        }
        return value;
    }

    /** A whole number; null where the field is absent. */
    Long number(String key) throws SettingsException {
        Double value = fraction(key);
        return value == null ? null : (Long) Math.round(value);
    }

    /** A number; null where the field is absent. */
    Double fraction(String key) throws SettingsException {
        String value = text(key);
        if (value == null) {
            return null;
        }
        double number;
        try {
            number = Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw fault(key, "'" + value + "' is no number");
        }
        if (!Double.isFinite(number) || number < 0) {
            throw fault(key, "'" + value + "' is no finite number from 0 on");
        }
        return number;
    }

    /** What follows the prefix in the keys that begin with it. */
    Set<String> namesUnder(String prefix) {
        return fields.stringPropertyNames().stream()
                .filter(key -> key.startsWith(prefix))
                .map(key -> key.substring(prefix.length()))
                .collect(Collectors.toUnmodifiableSet());
    }

    /** True or false; null where the field is absent. */
    Boolean flag(String key) throws SettingsException {
        String value = text(key);
        if (value == null) {
            return null;
        }
        if (!value.equals("true") && !value.equals("false")) {
            throw fault(key, "'" + value + "' is neither true nor false");
        }
        return Boolean.valueOf(value);
    }

    /** What is wrong with a field, as one line with file, line and key. */
    SettingsException fault(String key, String problem) {
        return new SettingsException(file, lineOf(key), key, problem.lines().findFirst().orElse(""));
    }

    /** The last line with the key, whose value counts; 0 where there is none. */
    private int lineOf(String key) {
        int found = 0;
        int number = 0;
        for (String line : text.lines().toList()) {
            number++;
            if (line.split("[=:\\s]", 2)[0].equals(key)) {
                found = number;
            }
        }
        return found;
    }
}
