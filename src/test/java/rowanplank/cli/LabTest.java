package rowanplank.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.eclipsesource.json.Json;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import rowanplank.lab.trace.TraceFile;
import rowanplank.lab.trace.TraceReader;

@Timeout(120)
class LabTest {
    private static final String SHORT = "length = \"2s\"\nclients = {rate = 50}\n";

    @TempDir
    Path folder;
    private String out;
    private String err;

    private int run(String... args) throws Exception {
        PrintStream before = System.out;
        PrintStream errBefore = System.err;
        ByteArrayOutputStream newOut = new ByteArrayOutputStream();
        ByteArrayOutputStream newErr = new ByteArrayOutputStream();
        try {
            System.setOut(new PrintStream(newOut, true, StandardCharsets.UTF_8));
            System.setErr(new PrintStream(newErr, true, StandardCharsets.UTF_8));
            return Cli.run(args);
        } finally {
            System.setOut(before);
            System.setErr(errBefore);
            out = newOut.toString(StandardCharsets.UTF_8);
            err = newErr.toString(StandardCharsets.UTF_8);
        }
    }

    private String day(String text) throws IOException {
        return Files.writeString(folder.resolve("day.toml"), text).toString();
    }

    @Test
    void aDayThatIsWrongIsOneLineForEachFaultAndStatusTwo() throws Exception {
        String file = day("lenght = \"2s\"\nseed = \"one\"\n");
        assertEquals(2, run("lab", "run", file));
        assertEquals("", out);
        assertEquals("rowanplank: " + file + ":1:1: lenght: unknown key\nrowanplank: " + file + ":2:1: seed: must be a "
                + "whole number from " + Long.MIN_VALUE + " to " + Long.MAX_VALUE + ", not \"one\"\n",
                err.replace(System.lineSeparator(), "\n"));
        assertEquals(2, run("lab", "replay", folder.resolve("none").toString()));
        assertEquals(1, err.lines().count(), err);
    }

    @Test
    void aDaysResultIsPrintedAndWrittenWithItsEvents() throws Exception {
        Path json = folder.resolve("day.json");
        Path trace = folder.resolve("day.trace");
        assertEquals(0, run("lab", "run", day(SHORT), "--seed", "9", "--json", json.toString(), "--trace",
                trace.toString()));
        assertTrue(out.contains("seed 9: ended") && out.contains("service "), out);
        long events = Json.parse(Files.readString(json)).asObject().getLong("events", 0);
        try (TraceReader reader = TraceFile.read(trace)) {
            while (reader.next() != null) {
                continue;
            }
            assertEquals(events, reader.events());
        }
    }

    /** What took an hour to play must not be lost to a full disk. */
    @Test
    void aResultThatCannotBeWrittenIsPrinted() throws Exception {
        String nowhere = folder.resolve("none/file").toString();
        assertEquals(1, run("lab", "run", day(SHORT), "--json", nowhere, "--trace", nowhere));
        assertTrue(out.contains("service "), out);
        assertEquals(2, err.lines().filter(l -> l.startsWith("rowanplank: can't write " + nowhere)).count(), err);
    }

    /** The figure that nodes are told of cold servers is one that nobody can keep. */
    @Test
    void aBrokenRuleIsStatusThree() throws Exception {
        String file = day("length = \"9s\"\nclients = {rate = 300}\nrules = {fall_multiple = 0.1, fall_time = \"1ms\"}\n"
                + "fault = [{kind = \"server_replaced\", at = \"1s\", server = 0, size = 0}]\n");
        assertEquals(3, run("lab", "replay", file), () -> out + err);
        assertTrue(out.contains("rule broken: COLD_SERVER"), out);
    }

    @Test
    void aDrawnDayCanBePlayedAndAHuntPlaysMany() throws Exception {
        assertEquals(0, run("lab", "draw", "--kind", "cuts", "--seed", "4", "--nodes", "2"));
        assertTrue(out.contains("kind = \"cut\"") || out.contains("kind = \"loss\"") || out.contains("\"delay\""), out);
        assertEquals(2, run("lab", "draw", "--kind", "nice"));
        assertTrue(err.startsWith("rowanplank: no kind of day: nice; there are random, calm, "), err);
        assertEquals(0, run("lab", "hunt", "--minutes", "2", "--days", "2", "--nodes", "1", "--cores", "2", "--seed",
                "40", "--out", folder.toString()));
        assertTrue(out.startsWith("2 days, "), out);
    }

    /** Guards whoever looks for the cause among fleets: what a hunt finds is small, and is played again from its file. */
    @Test
    void aHuntTakesTrialsOfFleetsToo() throws Exception {
        assertEquals(3, run("lab", "hunt", "--kind", "leases", "--plant", "fence-repeats", "--minutes", "2", "--cores", "2",
                "--out", folder.toString()), () -> out + err);
        String file = out.replaceAll("(?s).*plays, ([^ ]*toml).*", "$1").strip();
        assertTrue(Files.readAllLines(Path.of(file)).size() < 30, () -> out);
        assertEquals(3, run("lab", "replay", file), () -> out + err);
        assertEquals(2, run("lab", "hunt", "--kind", "places", "--minutes", "1"));
    }

    @Test
    void anInterruptedDayPrintsWhatIsFinishedAndSaysSo() throws Exception {
        Path trace = folder.resolve("day.trace");
        Process process = new ProcessBuilder(System.getProperty("java.home") + "/bin/java", "-XX:TieredStopAtLevel=1",
                "-cp", System.getProperty("java.class.path"), "rowanplank.Main", "lab", "run",
                day("length = \"1h\""), "--trace", trace.toString()).start();
        while (!Files.exists(trace) || Files.size(trace) < 100_000) {
            assertTrue(!process.waitFor(10, TimeUnit.MILLISECONDS), "it ended by itself");
        }
        new ProcessBuilder("kill", "-INT", Long.toString(process.pid())).start().waitFor();
        String printed = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        String said = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(130, process.waitFor());
        assertTrue(printed.contains("interrupted after") && printed.contains("service "), printed);
        assertTrue(said.contains("interrupted; the figures are of the part played"), said);
    }
}
