package rowanplank.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import rowanplank.lab.trace.Event;
import rowanplank.lab.trace.Event.Kind;
import rowanplank.lab.trace.TraceFile;
import rowanplank.lab.trace.TraceReader;

/** The demo as a process of its own, with two nodes as its children. */
class DemoCommandTest {
    private static final String DAY = "name = \"short\"\n[nodes]\ncount = 2\n[clients]\nrate = 100\n";
    private static final String KILL = "[[fault]]\nkind = \"node_killed\"\nnode = 1\nat = \"500ms\"\nlength = \"500ms\"\n";

    @TempDir
    Path folder;
    private Process demo;

    private BufferedReader start(String day) throws IOException {
        Path file = Files.writeString(folder.resolve("short.toml"), day);
        demo = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1", "-cp", System.getProperty("java.class.path"), "rowanplank.Main", "demo",
                "--day", file.toString(), "--out", folder.resolve("out").toString()).redirectErrorStream(true).start();
        return demo.inputReader();
    }

    @AfterEach
    void end() {
        List<ProcessHandle> all = demo.descendants().toList();
        demo.destroyForcibly();
        all.forEach(ProcessHandle::destroyForcibly);
    }

    private static List<String> until(BufferedReader out, String text) throws IOException {
        List<String> lines = new ArrayList<>();
        for (String line; (line = out.readLine()) != null;) {
            lines.add(line);
            if (line.contains(text)) {
                return lines;
            }
        }
        throw new AssertionError("never said: " + text + " but " + lines);
    }

    @Test
    void itTellsEachSecondAndLeavesItsFiguresAndNoProcess() throws Exception {
        BufferedReader out = start("length = \"2s\"\n" + DAY + KILL);
        List<String> lines = until(out, "configurations and logs: ");
        assertEquals(0, demo.waitFor());
        String all = String.join("\n", lines);
        assertTrue(all.contains("node n1 was killed") && all.contains("all nodes have ended"), all);
        JsonObject result = Json.parse(Files.readString(folder.resolve("out/result.json"))).asObject();
        assertEquals(2, result.get("seconds").asArray().size(), all);
        assertEquals(0, result.getInt("crashes", -1), all);
        assertTrue(result.get("service").asObject().getDouble("whole_day", 0) > 0.2, all);
        List<Kind> told = new ArrayList<>();
        try (TraceReader trace = TraceFile.read(folder.resolve("out/events.trace"))) {
            for (Event e; (e = trace.next()) != null;) {
                told.add(e.kind());
            }
        }
        assertTrue(told.containsAll(List.of(Kind.NODE_READY, Kind.DAY_BEGAN, Kind.TRY_RUNS, Kind.ANSWERED,
                Kind.NODE_KILLED, Kind.DAY_ENDED)));
        assertEquals(3, told.stream().filter(k -> k == Kind.NODE_STARTED).count());
    }

    /** A node that outlives the demo would keep its ports, and its memory, for ever. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void itsNodesEndWithItHoweverItEnds(boolean outright) throws Exception {
        BufferedReader out = start("length = \"60s\"\n" + DAY);
        until(out, "all is well");
        List<ProcessHandle> nodes = demo.children().toList();
        assertEquals(2, nodes.size());
        if (outright) {
            demo.destroyForcibly();
        } else {
            demo.toHandle().destroy(); // which leaves its output open
            until(out, "all nodes have ended");
        }
        assertTrue(demo.waitFor(30, TimeUnit.SECONDS));
        for (ProcessHandle node : nodes) {
            node.onExit().get(Duration.ofSeconds(30).toSeconds(), TimeUnit.SECONDS);
        }
    }
}
