package rowanplank.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.tomlj.Toml;

/** The program as deploy/balancer.toml starts it, told of new configurations, good ones and bad ones. */
@Timeout(value = 40, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class HangupTest {
    private static final String JAR = "-jar target/rowanplank.jar";
    private static final String CONFIG = """
            {"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{"classes":[
             {"name":"article","aim_ms":200,"deadline_ms":400}]}}""";

    @TempDir
    Path folder;
    private Path config;
    private RunningNode node;

    @BeforeEach
    void write() throws IOException {
        config = Files.writeString(folder.resolve("config.json"), CONFIG);
    }

    @AfterEach
    void stop() throws Exception {
        node.close();
    }

    private static String run() throws IOException {
        return Toml.parse(Path.of("deploy/balancer.toml")).getString("run")
                .replace(JAR, "-cp \"$CLASSES\" rowanplank.Main");
    }

    private void start(String line) throws IOException {
        node = new RunningNode(List.of("/bin/sh", "-c", line), Map.of("EDGE_CONFIG", config.toString(), "TMPDIR",
                folder.toString(), "CLASSES", System.getProperty("java.class.path")));
        node.await(" listens at ");
    }

    private void hangUp() throws Exception {
        assertEquals(0, new ProcessBuilder("kill", "-HUP", Long.toString(node.process.pid())).start().waitFor());
    }

    /** Guards drains: a node that was started in the background, as nohup does, went on with the old discovery for good. */
    @Test
    void aNodeHearsHangupsAlsoWhereItsStarterIgnoresThem() throws Exception {
        start("trap '' HUP; " + run());
        hangUp();
        node.await("configuration read anew");
    }

    @Test
    void whereHangupsCannotBeHeardTheLogSaysSo() throws Exception {
        start("trap '' HUP; exec java -cp \"$CLASSES\" rowanplank.Main serve");
        node.await("SIGHUP is ignored");
    }

    /** Guards the process: values of two characters take some eighty bytes each, and the heap has 56 MB. */
    @Test
    void aFileFullOfValuesIsOneLineAndNotTheEndOfTheNode() throws Exception {
        start(run());
        Files.writeString(config, CONFIG.replace("}]}}", "}],\"zones\":[\n1" + ",1".repeat(1_000_000) + "]}}"));
        hangUp();
        String line = node.await(".*the new configuration can't be used, the old one stands: .*").group();
        assertTrue(line.contains("config.json: line 3: more than 150000 values"), line);
        Files.writeString(config, CONFIG);
        hangUp();
        node.await("configuration read anew");
    }
}
