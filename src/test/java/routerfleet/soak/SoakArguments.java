package routerfleet.soak;

import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import routerfleet.demo.EventNumbering;

/**
 * The arguments of a soak of signals that is run by hand.
 *
 * @param folder for settings, disks and logs
 * @param seeds how many, from the first one on
 */
record SoakArguments(Path folder, long firstSeed, long seeds, ShutdownSoak.Size size, ServerTrouble trouble,
        DeployCommands commands) {
    static final String USAGE = "usage: shutdown-soak FOLDER FIRST_SEED SEEDS [CONTROL DATA SERVERS CLIENTS SECONDS "
            + "[NUMBERING|ALL [JAR]]]; the jar is that of another build; a numbering is one of "
            + Arrays.toString(EventNumbering.values());
    private static final int REQUIRED = 3;
    private static final int WITH_SIZE = 8;
    private static final int WITH_NUMBERING = 9;
    private static final int WITH_JAR = 10;

    /** @throws IllegalArgumentException if they can't be used */
    static SoakArguments parse(List<String> words) {
        if (words.size() != REQUIRED && (words.size() < WITH_SIZE || words.size() > WITH_JAR)) {
            throw new IllegalArgumentException(words.size() + " arguments");
        }
        List<String> size = words.subList(REQUIRED, Math.min(words.size(), WITH_SIZE));
        String numbering = words.size() < WITH_NUMBERING ? "ALL" : words.get(WITH_NUMBERING - 1);
        return new SoakArguments(Path.of(words.get(0)), Long.parseLong(words.get(1)), Long.parseLong(words.get(2)),
                size.isEmpty() ? ShutdownSoak.Size.SMALL : ShutdownSoak.Size.of(size),
                numbering.equals("ALL") ? ServerTrouble.ALL
                        : ServerTrouble.ALL.numbered(EventNumbering.valueOf(numbering)),
                words.size() < WITH_JAR ? DeployCommands.ofClassPath()
                        : DeployCommands.ofClassPath(words.get(WITH_JAR - 1)));
    }
}
