package rowanplank.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import picocli.CommandLine;

class CliTest {
    record Said(int status, String out, String err) { }

    static Said run(String... args) throws Exception {
        PrintStream out = System.out;
        PrintStream err = System.err;
        ByteArrayOutputStream newOut = new ByteArrayOutputStream();
        ByteArrayOutputStream newErr = new ByteArrayOutputStream();
        try {
            System.setOut(new PrintStream(newOut, true, StandardCharsets.UTF_8));
            System.setErr(new PrintStream(newErr, true, StandardCharsets.UTF_8));
            int status = Cli.run(args);
            return new Said(status, newOut.toString(StandardCharsets.UTF_8), newErr.toString(StandardCharsets.UTF_8));
        } finally {
            System.setOut(out);
            System.setErr(err);
        }
    }

    @ParameterizedTest
    @CsvSource({"'',no command given; see rowanplank --help",
        "launch,unknown command: launch; see rowanplank --help",
        "--fast,unknown option: --fast; see rowanplank --help",
        "serve --fast,unknown option: --fast; see rowanplank serve --help",
        "fleet trial --out pom.xml,--out: pom.xml can't be written to: it is no directory; see rowanplank fleet trial --help",
        "fleet trial --drift 0.7,--drift: 0 to 0.5; see rowanplank fleet trial --help",
        "simhost twice,unexpected argument: twice; see rowanplank simhost --help"})
    void aCommandLineThatIsNotUnderstoodIsOneLineAndStatusTwo(String line, String told) throws Exception {
        Said said = run(line.isEmpty() ? new String[0] : line.split(" "));
        assertEquals(new Said(2, "", "rowanplank: " + told + System.lineSeparator()), said);
    }

    @Test
    void eachCommandTellsOfItself() throws Exception {
        List<List<String>> commands = new ArrayList<>();
        collect(CommandLines.commands(), List.of(), commands);
        assertTrue(commands.containsAll(List.of(List.of(), List.of("serve"), List.of("simhost"))), commands::toString);
        for (List<String> command : commands) {
            List<String> line = new ArrayList<>(command);
            line.add("--help");
            Said said = run(line.toArray(String[]::new));
            String usage = ("Usage: rowanplank " + String.join(" ", command)).trim();
            assertTrue(said.status() == 0 && said.err().isEmpty() && said.out().startsWith(usage), said::toString);
        }
    }

    private static void collect(CommandLine command, List<String> path, List<List<String>> into) {
        into.add(path);
        command.getSubcommands().forEach((name, subcommand) -> {
            List<String> deeper = new ArrayList<>(path);
            deeper.add(name);
            collect(subcommand, deeper, into);
        });
    }

    /** Guards newcomers: the router fleet's commands are read elsewhere, and a list without them would hide them. */
    @Test
    void theListOfCommandsNamesTheRouterFleets() throws Exception {
        String help = run("--help").out();
        for (String command : List.of("data-plane", "control-plane", "system")) {
            assertTrue(help.contains(command), help);
        }
    }

    @Test
    void theVersionIsTheBuilds() throws Exception {
        Said said = run("--version");
        assertTrue(said.status() == 0 && said.out().matches("rowanplank \\d+\\.\\d+\\.\\d+\\S*\\R"), said::toString);
    }

    /** Guards a node's start and memory, of which the reading of options must take no part. */
    @Test
    void aPlainCommandLoadsNothingThatReadsOptions() throws Exception {
        assertFalse(classesLoadedBy("simhost").contains("picocli"));
        assertTrue(classesLoadedBy("--version").contains("picocli"), "the log does show it where it is used");
    }

    private static String classesLoadedBy(String command) throws IOException {
        Process process = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xlog:class+load", "-XX:TieredStopAtLevel=1", "-cp", System.getProperty("java.class.path"),
                "rowanplank.Main", command).redirectErrorStream(true).start();
        process.getOutputStream().close();
        return new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }
}
