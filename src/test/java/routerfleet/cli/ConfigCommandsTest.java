package routerfleet.cli;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import routerfleet.demo.Configurations;
import routerfleet.demo.LoopbackFleet;
import routerfleet.settings.HostPort;

/** The operator's commands for the configuration, against control nodes on loopback. */
class ConfigCommandsTest {
    @TempDir
    private Path folder;

    private String file(String name, String text) throws IOException {
        return Files.writeString(folder.resolve(name), text).toString();
    }

    private static String unusable(List<String> words, List<String> at) {
        return assertThrows(ConfigCommands.UnusableException.class, () -> ConfigCommands.run(words, at, null)).getMessage();
    }

    @Test
    void ordersAreTakenOnTheCurrentVersionAndReadBack() throws Exception {
        String whole = file("whole.json", Configurations.whole(3));
        String patch = file("patch.json", "{\"generation\":5,\"delete\":{\"routes\":[\"drafts\"]}}");
        String invalid = file("invalid.json", Configurations.whole(7).replace("/drafts/", "/pages/"));
        try (LoopbackFleet fleet = new LoopbackFleet(folder.resolve("disks"), 3)) {
            // the first address is nobody's, as after the loss of a machine
            List<String> at = List.of(new HostPort("127.0.0.200", fleet.seeds().get(0).port()).toString(),
                    fleet.seeds().get(1).toString());
            assertThat(ConfigCommands.run(List.of("replace", whole), at, 0L), is("taken, on version 0"));
            assertThat(ConfigCommands.run(List.of("patch", patch), at, null), is("taken, on version 3"));
            assertThat(ConfigCommands.run(List.of("patch", patch), at, 3L), is("taken, on version 3"));
            assertThat(ConfigCommands.run(List.of("get"), at, null), containsString("\"generation\":5"));
            assertThat(unusable(List.of("replace", invalid), at), startsWith(invalid + ": "));
            IOException conflict = assertThrows(IOException.class,
                    () -> ConfigCommands.run(List.of("replace", whole), at, 1L));
            assertThat(conflict.getMessage(), containsString("412"));
        }
    }

    @Test
    void aFileIsCheckedWithoutAFleet() throws Exception {
        assertThat(ConfigCommands.run(List.of("check", file("good.json", Configurations.whole(3))), List.of(), null),
                containsString("can be used"));
        String bad = file("bad.json", Configurations.whole(3).replace("\"backend\":\"web\"", "\"backend\":\"none\""));
        assertThat(unusable(List.of("check", bad), List.of()), containsString("bad.json: routes[pages]: "));
        assertThat(unusable(List.of("check", "nowhere.json"), List.of()), containsString("nowhere.json: can't be read"));
    }

    @Test
    void commandLinesThatCantBeUsedAreToldSo() {
        assertThat(unusable(List.of(), List.of()), startsWith("usage: "));
        assertThat(unusable(List.of("replace"), List.of("127.0.0.1:80")), startsWith("usage: "));
        assertThat(unusable(List.of("get"), List.of()), startsWith("--at: "));
        assertThat(unusable(List.of("get"), List.of("nowhere")), startsWith("--at: "));
    }
}
