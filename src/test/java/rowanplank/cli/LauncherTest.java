package rowanplank.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.nio.file.attribute.PosixFilePermissions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** {@code bin/rowanplank} in a tree of its own, with stubs in place of Maven and Java. */
class LauncherTest {
    private static final String MAVEN = "echo built; touch \"$(dirname \"$3\")/target/rowanplank.jar\"";
    private static final String JAVA = "for last; do :; done; echo \"$$ in $PWD:\" \"$last\"";

    @TempDir
    Path folder;
    private Path tree;
    private Path jar;
    private Path elsewhere;

    @BeforeEach
    void grow() throws IOException {
        tree = Files.createDirectories(folder.resolve("a tree")).toRealPath();
        jar = tree.resolve("target/rowanplank.jar");
        elsewhere = Files.createDirectories(folder.resolve("elsewhere")).toRealPath();
        for (String folder : new String[] {"bin", "target", "src/main/java"}) {
            Files.createDirectories(tree.resolve(folder));
        }
        Files.copy(Path.of("bin/rowanplank"), tree.resolve("bin/rowanplank"));
        Files.writeString(tree.resolve("pom.xml"), "");
        Files.writeString(tree.resolve("src/main/java/A.java"), "");
        age(1);
        stub("mvn", MAVEN);
        stub("java", JAVA);
    }

    private void stub(String name, String script) throws IOException {
        Path file = Files.writeString(folder.resolve(name), "#!/bin/sh\n" + script + "\n");
        Files.setPosixFilePermissions(file, PosixFilePermissions.fromString("rwxr-xr-x"));
    }

    /** Makes all of the tree so many hours old. */
    private void age(int hours) throws IOException {
        try (var files = Files.walk(tree)) {
            for (Path p : (Iterable<Path>) files::iterator) {
                touch(p, hours);
            }
        }
    }

    private static void touch(Path file, int hoursAgo) throws IOException {
        Files.setLastModifiedTime(file, FileTime.fromMillis(System.currentTimeMillis() - hoursAgo * 3_600_000L));
    }

    /** @return what it wrote, its own process's number told as {@code itself} */
    private String run(Path script, int status) throws Exception {
        ProcessBuilder builder = new ProcessBuilder(script.toString(), "an argument").directory(elsewhere.toFile());
        builder.environment().put("PATH", folder + File.pathSeparator + System.getenv("PATH"));
        builder.environment().remove("JAVA_HOME");
        Path err = folder.resolve("err");
        Process process = builder.redirectError(err.toFile()).start();
        String out = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(status, process.waitFor(), () -> out);
        return out.replaceFirst("^" + process.pid() + " ", "itself ") + Files.readString(err);
    }

    private String ran() {
        return "itself in " + elsewhere + ": an argument\n";
    }

    private String builtAndRan() {
        return ran() + "rowanplank: building " + jar + "\nbuilt\n";
    }

    /** The process that was started is the program's own: else its signals would end at the shell. */
    @Test
    void itBuildsOnceAndBecomesTheProgramInTheCallersFolderAlsoThroughALink() throws Exception {
        Path link = Files.createSymbolicLink(elsewhere.resolve("link"), Path.of("../a tree/bin/rowanplank"));
        Path far = Files.createSymbolicLink(folder.resolve("far"), link);
        assertEquals(builtAndRan(), run(far, 0));
        assertEquals(ran(), run(tree.resolve("bin/rowanplank"), 0));
    }

    @Test
    void whatIsNewerThanTheJarIsBuilt() throws Exception {
        Path script = tree.resolve("bin/rowanplank");
        run(script, 0);
        for (String changed : new String[] {"pom.xml", "src/main/java/A.java", "src/main/java"}) {
            age(2);
            touch(jar, 1);
            assertEquals(ran(), run(script, 0));
            touch(tree.resolve(changed), 0);
            assertEquals(builtAndRan(), run(script, 0), changed);
        }
    }

    /** Guards against half a jar that would look new at the next start. */
    @Test
    void aBuildThatFailsStartsNothingAndLeavesNoJar() throws Exception {
        stub("mvn", MAVEN + "; exit 1");
        String said = run(tree.resolve("bin/rowanplank"), 1);
        assertTrue(said.endsWith("built\n") && Files.notExists(jar), said);
    }
}
