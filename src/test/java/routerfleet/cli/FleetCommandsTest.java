package routerfleet.cli;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

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
    void tellsWhereAPlayedDayLostWorth() throws Exception {
        Path report = Files.writeString(folder.resolve("day.json"), """
                {"G":0.5,"served":0.9,"breaks":{"LOST":1},"parts":[["whole day",0.6,0.75]],
                "prices":[["machines",7.0,0.01],["bytes",1.0,0.02],["none",0.0,0.0]],
                "classes":[{"name":"page","n":10,"in_aim":7,"late":2,"refused":1,"failed":0,"worth":0.8}],"zones":[],
                "windows":[{"name":"0","n":4,"worth":0.9},{"name":"2","n":6,"worth":0.2,"late":3}],
                "events":[{"at_s":3.0,"to_s":5.0,"kind":"burst"}],
                "unserved_by":[["503",1,["0.1 s sent"]],["429",3,[]]]}""");
        Ran ran = run("system", "account", report.toString());
        assertThat(ran.err(), ran.status(), is(0));
        assertThat(ran.out(), containsString("BROKEN LOST: 1"));
        assertThat(ran.out(), containsString("0.1500 missing"));
        assertThat(ran.out(), containsString("from 2 s: worth 0.200, 3 of 6 late, 0 refused, 0 failed; burst"));
        assertThat(ran.out().indexOf("bytes"), is(lessThan(ran.out().indexOf("machines"))));
        assertThat(ran.out().indexOf("3: 429"), is(lessThan(ran.out().indexOf("1: 503"))));
        Path other = Files.writeString(folder.resolve("other.json"), "{}");
        for (String file : new String[] {other.toString(), folder.resolve("none").toString()}) {
            Ran refused = run("system", "account", file);
            assertThat(refused.status(), is(2));
            assertThat(refused.err().lines().count(), is(1L));
        }
    }

    @Test
    void rehearsesASmallFleet() {
        Ran ran = run("system", "rehearse");
        assertThat(ran.err(), ran.status(), is(0));
        assertThat(ran.out(), containsString("requests served"));
    }
}
