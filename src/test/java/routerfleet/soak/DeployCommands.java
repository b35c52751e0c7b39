package routerfleet.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;

/** The commands that start a node of each role. */
final class DeployCommands {
    private static final Path DEPLOY_FILE = Path.of("deploy/system.toml");
    private static final Path JAR = Path.of("target/rowanplank.jar");
    private static final Path ARCHIVE = Path.of("target/rowanplank.jsa");
    private static final long MAX_BUILD_S = 120;
    private static final List<String> ROLES = List.of("control-plane", "data-plane");

    private final Map<String, List<String>> commands;

    private DeployCommands(Map<String, List<String>> commands) {
        this.commands = commands;
    }

    /** Java with the classes of this process, and with no archive of loaded classes. */
    static DeployCommands ofClassPath() {
        return ofClassPath(System.getProperty("java.class.path"));
    }

    /** The same with the classes of another build. @param classPath its jar */
    static DeployCommands ofClassPath(String classPath) {
        List<String> java = List.of(java(), "-Xmx96m", "-Xss256k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1",
                "-Xshare:auto", "-Djava.net.preferIPv4Stack=true", "-cp", classPath,
                "rowanplank.Main");
        return new DeployCommands(Map.of(ROLES.get(0), append(java, ROLES.get(0)), ROLES.get(1),
                append(java, ROLES.get(1))));
    }

    /**
     * The commands of the deploy file, each bound to some of the machine's processors. The jar must have been built; the
     * archive of loaded classes is made as the deploy file has it, if it is missing or older than the jar.
     *
     * @param controlProcessors those of control nodes, in the form of {@code taskset -c}; empty for all
     * @param dataProcessors those of data nodes
     */
    static DeployCommands ofDeployFile(String controlProcessors, String dataProcessors)
            throws IOException, InterruptedException {
        TomlParseResult deploy = Toml.parse(DEPLOY_FILE);
        makeArchive(deploy.getString("build"));
        return new DeployCommands(Map.of(
                ROLES.get(0), bound(controlProcessors, deploy.getString("roles.control-plane.run")),
                ROLES.get(1), bound(dataProcessors, deploy.getString("roles.data-plane.run"))));
    }

    private static void makeArchive(String build) throws IOException, InterruptedException {
        if (!Files.exists(JAR)) {
            throw new IOException(JAR + " is missing: build it first, mvn -B -ntp -q -DskipTests package");
        }
        if (Files.exists(ARCHIVE)
                && Files.getLastModifiedTime(ARCHIVE).compareTo(Files.getLastModifiedTime(JAR)) > 0) {
            return;
        }
        Files.deleteIfExists(ARCHIVE);
        String command = build.substring(build.indexOf("&&") + 2).strip();
        Process process = new ProcessBuilder(javaCommand(command)).redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD).start();
        if (!process.waitFor(MAX_BUILD_S, TimeUnit.SECONDS) || process.exitValue() != 0 || !Files.exists(ARCHIVE)) {
            process.destroyForcibly();
            throw new IOException("no archive of loaded classes was made by: " + command);
        }
    }

    private static List<String> bound(String processors, String command) {
        List<String> all = new ArrayList<>();
        if (!processors.isEmpty()) {
            all.addAll(List.of("taskset", "-c", processors));
        }
        all.addAll(javaCommand(command));
        return all;
    }

    private static List<String> javaCommand(String command) {
        List<String> words = new ArrayList<>(List.of(command.split(" ")));
        words.set(0, java());
        return words;
    }

    private static String java() {
        return Path.of(System.getProperty("java.home"), "bin", "java").toString();
    }

    private static List<String> append(List<String> words, String word) {
        List<String> all = new ArrayList<>(words);
        all.add(word);
        return all;
    }

    /** The command of a role, word by word. */
    List<String> of(String role) {
        return commands.get(role);
    }
}
