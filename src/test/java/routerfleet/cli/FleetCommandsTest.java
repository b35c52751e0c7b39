package routerfleet.cli;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The fleet's commands, their exit statuses and what they print. */
class FleetCommandsTest {
    @TempDir
    private Path folder;

    private record Ran(int status, String out, String err) { }

    private static Ran run(String... args) {
        PrintStream out = System.out;
        PrintStream err = System.err;
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        ByteArrayOutputStream complained = new ByteArrayOutputStream();
        try {
            System.setOut(new PrintStream(written, true, StandardCharsets.UTF_8));
            System.setErr(new PrintStream(complained, true, StandardCharsets.UTF_8));
            int status = FleetCommands.run(args);
            return new Ran(status, written.toString(StandardCharsets.UTF_8),
                    complained.toString(StandardCharsets.UTF_8));
        } finally {
            System.setOut(out);
            System.setErr(err);
        }
    }

    @Test
    void checksASettingsFile() throws Exception {
        Path good = Files.writeString(folder.resolve("good.conf"), "node_name=a\nip=127.0.0.1\nport_range=1000,1010\n");
        assertThat(run("system", "check", good.toString()).status(), is(0));
        Path bad = Files.writeString(folder.resolve("bad.conf"), "node_name=a\nip=127.0.0.1\nport_range=x\n");
        Ran ran = run("system", "check", bad.toString());
        assertThat(ran.status(), is(2));
        assertThat(ran.err(), containsString("bad.conf:3: port_range: "));
        assertThat(ran.err().lines().count(), is(1L));
    }

    @Test
    void unusableCommandLinesAreOneLineAndStatusTwo() {
        assertThat(run("system").status(), is(2));
        assertThat(run("data-plane", "--wrong").status(), is(2));
        assertThat(run("data-plane", "--wrong").err().lines().count(), is(1L));
    }

    @Test
    void rehearsesASmallFleet() {
        Ran ran = run("system", "rehearse");
        assertThat(ran.err(), ran.status(), is(0));
        assertThat(ran.out(), containsString("requests served"));
    }
}
