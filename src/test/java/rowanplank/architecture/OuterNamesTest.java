package rowanplank.architecture;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Checks that the names which leave the process are still in the code: keys of settings and JSON, flags, paths, headers,
 * metrics and file names, and the components of stored records and constants of enums that are written by name or order.
 * The names come from lists that are checked in, not from the code.
 */
class OuterNamesTest {
    private static final Path SOURCES = Path.of("src/main/java");
    private static final Pattern COMMENT_OR_LITERAL = Pattern.compile("/\\*.*?\\*/|//[^\\n]*|'(?:[^'\\\\\\n]|\\\\.)+'"
            + "|(\"\"\".*?\"\"\")|(\"(?:[^\"\\\\\\n]|\\\\.)*\")", Pattern.DOTALL);

    /** Each line of the list is the name of a package and a name that a string literal of it contains. */
    @Test
    void literalsKeepTheOuterNames() throws IOException {
        assertEquals(List.of(), missing("strings.txt"));
    }

    /** Each line of the list is the name of a package and a part of a log line or message that the operators' pages quote. */
    @Test
    void literalsKeepTheMessagesThatOperatorsKnow() throws IOException {
        assertEquals(List.of(), missing("messages.txt"));
    }

    private static List<String> missing(String list) throws IOException {
        Map<String, String> literals = new HashMap<>();
        List<String> missing = new ArrayList<>();
        for (String line : list(list)) {
            String[] entry = line.split(" ", 2);
            String text = literals.computeIfAbsent(entry[0], OuterNamesTest::literalsOf);
            if (!Pattern.compile("(?<![\\w-])" + Pattern.quote(entry[1]) + "(?![\\w-])").matcher(text).find()
                    && !text.contains("\n" + entry[1] + "\n")) {
                missing.add(line);
            }
        }
        return missing;
    }

    /** Each line of the list is a record with its components, or an enum with its constants, in their order. */
    @Test
    void typesKeepTheOuterNames() throws IOException, ClassNotFoundException {
        for (String line : list("types.txt")) {
            String[] entry = line.split("[ :]+", 3);
            assertEquals(entry[2], String.join(", ", names(type(entry[1]))), entry[1]);
        }
    }

    private static List<String> names(Class<?> type) {
        if (type.isRecord()) {
            return Arrays.stream(type.getRecordComponents()).map(c -> c.getName()).collect(Collectors.toList());
        }
        return Arrays.stream(type.getEnumConstants()).map(c -> ((Enum<?>) c).name()).collect(Collectors.toList());
    }

    /** Finds a type by its canonical name: types begin with a capital letter, packages do not. */
    private static Class<?> type(String name) throws ClassNotFoundException {
        return Class.forName(name.replaceAll("(?<=\\.[A-Z]\\w{0,80})\\.", "\\$"));
    }

    private static List<String> list(String name) throws IOException {
        try (InputStream in = OuterNamesTest.class.getResourceAsStream("/outer-names/" + name)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8).lines().collect(Collectors.toList());
        }
    }

    private static String literalsOf(String packageName) {
        StringBuilder text = new StringBuilder("\n");
        try (Stream<Path> files = Files.list(SOURCES.resolve(packageName.replace('.', '/')))) {
            for (Path file : files.filter(f -> f.toString().endsWith(".java")).collect(Collectors.toList())) {
                COMMENT_OR_LITERAL.matcher(Files.readString(file)).results()
                        .map(m -> m.group(1) == null ? m.group(2) : m.group(1)).filter(literal -> literal != null)
                        .forEach(literal -> text.append(unescaped(content(literal))).append('\n'));
            }
        } catch (IOException e) {
            throw new IllegalStateException("cannot read the sources of " + packageName, e);
        }
        return text.toString();
    }

    private static String content(String literal) {
        int quote = literal.startsWith("\"\"\"") ? 3 : 1;
        return literal.substring(quote, literal.length() - quote);
    }

    private static String unescaped(String literal) {
        return literal.replace("\\\"", "\"").replace("\\n", "\n").replace("\\r", "\r").replace("\\t", "\t");
    }
}
