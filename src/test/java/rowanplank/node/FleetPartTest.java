package rowanplank.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import rowanplank.fleet.wire.VoterFileCodec;
import rowanplank.net.DirectoryFiles;

/** Real processes: what a node with a part in a fleet has of the machine, and one without has not. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class FleetPartTest {
    private static final String NODE = """
            [node]
            name = "n1"
            admin = "127.0.0.1:0"
            [[front]]
            listen = "127.0.0.1:0"
            discovery = "127.0.0.1:1"
            [[class]]
            name = "article"
            """;

    @TempDir
    Path folder;

    private RunningNode start(String file, String text) throws IOException {
        List<String> command = new ArrayList<>(RunningNode.serve());
        command.addAll(List.of("--config", Files.writeString(folder.resolve(file), text).toString()));
        return new RunningNode(command, Map.of());
    }

    private String fleet() {
        return "[fleet]\nname = \"press\"\nlisten = \"127.0.0.1:0\"\n[fleet.voters]\nn1 = \"127.0.0.1:1\"\n[state]\ndir = \""
                + folder.resolve("state") + "\"\n";
    }

    /** How many sockets of a kind a process has, as the system tells. @param state in which they are; any where it is empty */
    private static long sockets(Process of, String kind, String state) throws IOException {
        TreeSet<String> own = new TreeSet<>();
        try (Stream<Path> opened = Files.list(Path.of("/proc", Long.toString(of.pid()), "fd"))) {
            for (Path p : opened.toList()) {
                String to = Files.exists(p) || Files.isSymbolicLink(p) ? Files.readSymbolicLink(p).toString() : "";
                own.add(to.startsWith("socket:[") ? to.substring(8, to.length() - 1) : "");
            }
        }
        long found = 0;
        for (String table : List.of(kind, kind + "6")) {
            found += Files.readAllLines(Path.of("/proc/net", table)).stream().map(l -> l.strip().split(" +"))
                    .filter(l -> l.length > 9 && own.contains(l[9]) && (state.isEmpty() || l[3].equals(state))).count();
        }
        return found;
    }

    private static long writers(Process of) throws IOException {
        long found = 0;
        try (Stream<Path> threads = Files.list(Path.of("/proc", Long.toString(of.pid()), "task"))) {
            for (Path t : threads.toList()) {
                found += Files.readString(t.resolve("comm")).strip().equals("state") ? 1 : 0;
            }
        }
        return found;
    }

    /** Guards nodes of the operators that want none of it: no socket, no thread, no file. */
    @Test
    void withoutFleetThereIsNothingOfIt() throws Exception {
        try (RunningNode node = start("n1.toml", NODE)) {
            node.await(RunningNode.LISTENS);
            assertEquals(0, sockets(node.process, "udp", ""));
            assertEquals(2, sockets(node.process, "tcp", "0A"), "clients and operators");
            assertEquals(0, writers(node.process));
            assertEquals(List.of("n1.toml"), List.of(folder.toFile().list()));
        }
    }

    /** Guards a voter's word: a second process on its state, started by mistake, ends with one line, and the first goes on. */
    @Test
    void aStateThatIsInUseIsRefused() throws Exception {
        new DirectoryFiles().create(folder.resolve("state").toString(), VoterFileCodec.create("press", "n1", List.of("n1")).bytes());
        try (RunningNode node = start("n1.toml", NODE + fleet())) {
            node.await(RunningNode.LISTENS);
            assertEquals(1, sockets(node.process, "udp", ""));
            assertEquals(1, writers(node.process));
            try (RunningNode second = start("second.toml", NODE + fleet())) {
                second.await("state is in use by another process");
                assertTrue(second.process.waitFor(10, TimeUnit.SECONDS));
                assertEquals(1, second.process.exitValue());
            }
            assertTrue(node.process.isAlive());
        }
    }
}
