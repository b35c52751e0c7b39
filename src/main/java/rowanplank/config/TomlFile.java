package rowanplank.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.tomlj.Toml;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;

/**
 * One TOML file being read. All that is wrong with it is gathered, what can't be parsed, values that don't fit and keys
 * that nobody knows alike, and told together: whoever wrote the file mends it once.
 *
 * <p>Use: {@link #parse}, then reads of {@link #root}, then {@link #finish}, and only then are the values used.
 */
public final class TomlFile {
    /** So many faults are told one by one; of more, how many there are. */
    public static final int MOST_TOLD = 100;
    private static final TomlPosition BEGINNING = TomlPosition.positionAt(1, 1);

    /** Something that is wrong; the key may be null. */
    private record Fault(TomlPosition position, String key, String what) { }

    private final String name;
    private final List<Fault> faults = new ArrayList<>();
    private final List<TomlSection> sections = new ArrayList<>();
    private final TomlSection root;
    private int untold;

    private TomlFile(String name, TomlParseResult result) {
        this.name = name;
        for (TomlParseError e : result.errors()) {
            fault(e.position(), null, e.getMessage().replaceAll("\\R", " "));
        }
        root = section(result, "", BEGINNING);
    }

    /** @param name what faults call the file; nothing is read from there */
    public static TomlFile parse(String name, String text) {
        return new TomlFile(name, Toml.parse(text));
    }

    public TomlSection root() {
        return root;
    }

    /** @throws ConfigException if anything is wrong: one line each, {@code file:line:column: key: what}, in order */
    public void finish() {
        for (TomlSection s : List.copyOf(sections)) {
            s.faultUnread();
        }
        if (faults.isEmpty()) {
            return;
        }
        faults.sort(Comparator.comparingInt((Fault f) -> f.position.line()).thenComparingInt(f -> f.position.column()));
        List<String> lines = new ArrayList<>();
        for (Fault f : faults) {
            lines.add(name + ":" + f.position.line() + ":" + f.position.column() + ": "
                    + (f.key == null ? "" : f.key + ": ") + f.what);
        }
        if (untold > 0) {
            lines.add(name + ": " + untold + " more faults");
        }
        throw new ConfigException(lines);
    }

    TomlSection section(org.tomlj.TomlTable table, String path, TomlPosition position) {
        TomlSection section = new TomlSection(this, table, path, position);
        sections.add(section);
        return section;
    }

    void fault(TomlPosition position, String key, String what) {
        if (faults.size() < MOST_TOLD) {
            faults.add(new Fault(position == null ? BEGINNING : position, key, what));
        } else {
            untold++;
        }
    }
}
