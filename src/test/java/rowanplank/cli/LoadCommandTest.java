package rowanplank.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.HistogramLogReader;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rowanplank.lab.day.DayFile;
import rowanplank.lab.live.LiveSiteRun;
import rowanplank.net.Ports;
import rowanplank.net.SystemClock;

/** The laboratory's load and site on real sockets, as its commands bring them. */
class LoadCommandTest {
    private static final String DAY = """
            name = "small"
            length = "60s"
            [nodes]
            count = 1
            [[class]]
            name = "article"
            work = "2ms"
            spread = 0.2
            aim = "1s"
            deadline = "5s"
            [[class]]
            name = "order"
            share = 0.2
            work = "2ms"
            aim = "1s"
            deadline = "5s"
            effect = "once"
            [clients]
            rate = 300
            """;

    @TempDir
    Path folder;

    /** Discovery, ten page servers, one node as a process of its own, and clients: all over loopback. */
    @Test
    void aRealNodeServesTheLoadFromTheSite() throws Exception {
        Path day = Files.writeString(folder.resolve("day.toml"), DAY);
        LiveSiteRun site = new LiveSiteRun(DayFile.read("day", DAY), new SystemClock(), e -> { });
        site.start(Ports.free(), folder);
        Map<String, String> environment = new LinkedHashMap<>();
        Files.readAllLines(folder.resolve("n0.env")).forEach(l -> environment.put(l.split("=")[0], l.split("=")[1]));
        Process node = start(environment);
        try {
            Path json = folder.resolve("load.json");
            Path hdr = folder.resolve("load.hdr");
            CliTest.Said said = CliTest.run("lab", "load", "--day", day.toString(), "--target",
                    environment.get("EDGE_LISTEN"), "--length", "2s", "--warm-up", "1s", "--quiet", "--json",
                    json.toString(), "--hdr", hdr.toString());
            assertEquals(0, said.status(), said::toString);
            JsonObject result = Json.parse(Files.readString(json)).asObject();
            assertEquals(0, result.getInt("open", -1));
            long served = 0;
            for (var c : result.get("classes").asArray()) {
                served += c.asObject().getLong("served", 0);
            }
            assertTrue(served > 400 && served >= 0.95 * result.getLong("asked", 0), said::out);
            assertTrue(said.out().contains("order") && said.out().contains("lateness"), said::out);
            assertTrue(recorded(hdr, "article") + recorded(hdr, "order") >= served);
        } finally {
            node.getOutputStream().close(); // its end, as that of the process that started it would be
            assertTrue(node.waitFor(20, TimeUnit.SECONDS));
            site.stop();
            assertTrue(site.await().get(0).contains("served"));
        }
    }

    private static Process start(Map<String, String> environment) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(NodeCommand.of(List.of("-XX:TieredStopAtLevel=1", "-Xmx64m")))
                .redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.DISCARD);
        builder.environment().putAll(environment);
        return builder.start();
    }

    private static long recorded(Path hdr, String tag) throws IOException {
        long count = 0;
        try (HistogramLogReader reader = new HistogramLogReader(hdr.toFile())) {
            while (reader.hasNext()) {
                var h = (org.HdrHistogram.Histogram) reader.nextIntervalHistogram();
                count += h != null && tag.equals(h.getTag()) ? h.getTotalCount() : 0;
            }
        }
        return count;
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "--rate 10|no target: name one by --target ADDRESS, or targets in the file",
        "--target localhost|--targets: no numeric address and port: localhost",
        "--rate 0 --target 127.0.0.1:1|--rate: must be a number from 0.1 to 1000000, not 0.0",
        "--length never --target 127.0.0.1:1|--length: must be a time from \"1s\" to \"3600s\", not \"never\"",
        "--connections 5 --ahead 6|--ahead: more than the connections that there may be, 5",
        "--path page|--path: must be a path without blanks"})
    void whatCantBeUsedIsOneLineAndStatusTwo(String options, String told) throws Exception {
        List<String> line = new ArrayList<>(List.of("lab", "load"));
        line.addAll(List.of(options.split(" ")));
        CliTest.Said said = CliTest.run(line.toArray(String[]::new));
        assertEquals(new CliTest.Said(2, "", "rowanplank: " + told + System.lineSeparator()), said);
    }

    @Test
    void faultsOfTheFileAreToldTogetherWithTheirPlaces() throws Exception {
        Path file = Files.writeString(folder.resolve("load.toml"), """
                targets = ["127.0.0.1:80"]
                speed = 3
                [[class]]
                share = -1
                name = "a b"
                """);
        CliTest.Said said = CliTest.run("lab", "load", file.toString());
        assertEquals(2, said.status());
        for (String fault : new String[] {"load.toml:2:1: speed: unknown key", "load.toml:4:1: class[0].share: must be a"
                + " number from 0 to 1000000", "load.toml:5:1: class[0].name: must be a name of a-z, 0-9 and -"}) {
            assertTrue(said.err().contains(fault), said::err);
        }
    }

    @Test
    void aTargetThatIsNotThereFailsWithItsAddress() throws Exception {
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        CliTest.Said said = CliTest.run("lab", "load", "--target", "127.0.0.1:" + port, "--check", "/up", "--ready",
                "300ms", "--quiet");
        assertEquals(1, said.status());
        assertTrue(said.err().startsWith("rowanplank: not ready within 300ms: 127.0.0.1:" + port), said::err);
    }

    @Test
    void aPortInUseIsSaid() throws Exception {
        Path day = Files.writeString(folder.resolve("day.toml"), DAY);
        try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            CliTest.Said said = CliTest.run("lab", "site", day.toString(), "--out", folder.toString(), "--port",
                    "" + taken.getLocalPort());
            assertEquals(new CliTest.Said(1, "", "rowanplank: port " + taken.getLocalPort() + " is in use"
                    + System.lineSeparator()), said);
        }
    }
}
