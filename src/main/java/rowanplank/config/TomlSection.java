package rowanplank.config;

import java.math.BigDecimal;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * Typed reads of one table of a {@link TomlFile}. A key that is absent gives what the caller holds for usual; one
 * whose value does not fit is a fault of the file and gives the same, so that reading goes on to the next fault.
 * A key that was never read is unknown, and a fault.
 */
public final class TomlSection {
    /** So much of a value is quoted in a fault. */
    private static final int MOST_QUOTED = 40;

    private final TomlFile file;
    private final TomlTable table;
    private final String path;
    private final TomlPosition position;
    private final Set<String> read = new TreeSet<>();

    TomlSection(TomlFile file, TomlTable table, String path, TomlPosition position) {
        this.file = file;
        this.table = table;
        this.path = path;
        this.position = position;
    }

    /** Whether the key is there, whatever its value. */
    public boolean has(String key) {
        return table.contains(List.of(key));
    }

    /** The keys that are there, in no order of the file but always the same one. */
    public List<String> keys() {
        return List.copyOf(new TreeSet<>(table.keySet()));
    }

    /** A fault of the file unless the key is there. */
    public void require(String key) {
        if (!has(key)) {
            fault(key, "is missing");
        }
    }

    /** Something is wrong with this key, or with its absence. */
    public void fault(String key, String what) {
        read.add(key);
        TomlPosition at = has(key) ? table.inputPositionOf(List.of(key)) : position;
        file.fault(at, path + quoted(key), what);
    }

    public String text(String key, String otherwise) {
        return read(key, otherwise, "text", v -> v instanceof String s ? s : null);
    }

    public String oneOf(String key, List<String> allowed, String otherwise) {
        return read(key, otherwise, "one of " + String.join(", ", allowed),
                v -> v instanceof String s && allowed.contains(s) ? s : null);
    }

    public boolean flag(String key, boolean otherwise) {
        return read(key, otherwise, "true or false", v -> v instanceof Boolean b ? b : null);
    }

    public long whole(String key, long least, long most, long otherwise) {
        return read(key, otherwise, "a whole number from " + least + " to " + most,
                v -> v instanceof Long n && n >= least && n <= most ? n : null);
    }

    public int integer(String key, int least, int most, int otherwise) {
        return (int) whole(key, least, most, otherwise);
    }

    /** A whole number will do as well. */
    public double number(String key, double least, double most, double otherwise) {
        return read(key, otherwise, "a number from " + plain(least) + " to " + plain(most), v -> {
            Double number = v instanceof Double d ? d : v instanceof Long n ? Double.valueOf(n) : null;
            return number != null && number >= least && number <= most ? number : null;
        });
    }

    /** Text such as {@code "680ms"}; the units are those of {@link Units#duration}. */
    public Duration duration(String key, Duration least, Duration most, Duration otherwise) {
        return read(key, otherwise, "a time from \"" + Units.format(least) + "\" to \"" + Units.format(most) + "\"", v -> {
            Duration span = v instanceof String s ? Units.duration(s) : null;
            return span != null && span.compareTo(least) >= 0 && span.compareTo(most) <= 0 ? span : null;
        });
    }

    /** Text such as {@code "64KiB"}; the units are those of {@link Units#bytes}. */
    public long bytes(String key, long least, long most, long otherwise) {
        return read(key, otherwise, "a size from \"" + least + "B\" to \"" + most + "B\"", v -> {
            Long size = v instanceof String s ? Units.bytes(s) : null;
            return size != null && size >= least && size <= most ? size : null;
        });
    }

    /** Text such as {@code "127.0.0.1:7070"}. */
    public InetSocketAddress address(String key, InetSocketAddress otherwise) {
        return read(key, otherwise, "an address such as \"127.0.0.1:7070\"", v -> {
            try {
                return v instanceof String s ? Addresses.parse(s) : null;
            } catch (ConfigException e) {
                return null;
            }
        });
    }

    /** A list of text, in its order. */
    public List<String> texts(String key, List<String> otherwise) {
        return read(key, otherwise, "a list of text", v -> {
            List<String> texts = new ArrayList<>();
            for (Object o : v instanceof TomlArray a ? a.toList() : List.of(0)) {
                if (!(o instanceof String s)) {
                    return null;
                }
                texts.add(s);
            }
            return List.copyOf(texts);
        });
    }

    /** A table of this one; where it is absent, one in which all keys are. */
    public TomlSection section(String key) {
        TomlTable found = read(key, Toml.parse(""), "a table", v -> v instanceof TomlTable t ? t : null);
        return file.section(found, path + quoted(key) + ".",
                has(key) ? table.inputPositionOf(List.of(key)) : position);
    }

    /** The tables of an array, in the order of the file; none where it is absent. */
    public List<TomlSection> sections(String key) {
        return read(key, List.of(), "an array of tables", v -> {
            List<TomlSection> found = new ArrayList<>();
            TomlArray array = v instanceof TomlArray a ? a : null;
            for (int i = 0; array != null && i < array.size(); i++) {
                if (!(array.get(i) instanceof TomlTable t)) {
                    return null;
                }
                found.add(file.section(t, path + quoted(key) + "[" + i + "].", array.inputPositionOf(i)));
            }
            return array == null ? null : found;
        });
    }

    private <T> T read(String key, T otherwise, String expected, Function<Object, T> reader) {
        read.add(key);
        Object value = table.get(List.of(key));
        if (value == null) {
            return otherwise;
        }
        T fitting = reader.apply(value);
        if (fitting == null) {
            fault(key, "must be " + expected + ", not " + shown(value));
            return otherwise;
        }
        return fitting;
    }

    void faultUnread() {
        for (String key : table.keySet()) {
            if (!read.contains(key)) {
                fault(key, "unknown key");
            }
        }
    }

    private static String shown(Object value) {
        if (value instanceof TomlTable) {
            return "a table";
        }
        if (value instanceof TomlArray) {
            return "a list";
        }
        String text = Toml.tomlEscape(value.toString()).toString();
        String some = text.length() > MOST_QUOTED ? text.substring(0, MOST_QUOTED) + "..." : text;
        return value instanceof String ? "\"" + some + "\"" : some;
    }

    private static String quoted(String key) {
        return key.matches("[A-Za-z0-9_-]{1,60}") ? key : "\"" + Toml.tomlEscape(key.length() > MOST_QUOTED
                ? key.substring(0, MOST_QUOTED) : key) + "\"";
    }

    private static String plain(double number) {
        return BigDecimal.valueOf(number).stripTrailingZeros().toPlainString();
    }
}
