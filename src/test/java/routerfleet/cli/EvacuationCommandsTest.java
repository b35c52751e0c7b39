package routerfleet.cli;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import routerfleet.demo.LoopbackFleet;
import routerfleet.settings.HostPort;

/** The operator's commands for evacuations, against control nodes on loopback. */
class EvacuationCommandsTest {
    @TempDir
    private Path folder;

    private static String unusable(List<String> words, List<String> at) {
        return assertThrows(ConfigCommands.UnusableException.class, () -> EvacuationCommands.run(words, at)).getMessage();
    }

    @Test
    void zonesAreEvacuatedAndTakenBackAndListed() throws Exception {
        try (LoopbackFleet fleet = new LoopbackFleet(folder, 3)) {
            // the first address is nobody's, as after the loss of a machine
            List<String> at = List.of(new HostPort("127.0.0.200", fleet.seeds().get(0).port()).toString(),
                    fleet.seeds().get(1).toString());
            assertThat(EvacuationCommands.run(List.of("start", "a"), at), is("a is evacuated"));
            assertThat(EvacuationCommands.run(List.of("list"), at), containsString("[\"a\"]"));
            assertThat(EvacuationCommands.run(List.of("stop", "a"), at), is("a may be used"));
            assertThat(EvacuationCommands.run(List.of("list"), at), containsString("[]"));
            assertThat(unusable(List.of("start", "b"), at), containsString("no such zone: b"));
        }
    }

    @Test
    void commandLinesThatCantBeUsedAreToldSo() {
        assertThat(unusable(List.of(), List.of()), startsWith("usage: "));
        assertThat(unusable(List.of("start"), List.of("127.0.0.1:80")), startsWith("usage: "));
        assertThat(unusable(List.of("list", "a"), List.of("127.0.0.1:80")), startsWith("usage: "));
        assertThat(unusable(List.of("list"), List.of()), startsWith("--at: "));
    }
}
