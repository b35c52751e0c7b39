package routerfleet.settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A settings file that changes under a running process. */
class SettingsWatchTest {
    @TempDir
    Path folder;

    private final List<List<HostPort>> taken = new ArrayList<>();

    private Path write(String seeds) throws IOException {
        return Files.writeString(folder.resolve("local.conf"),
                "node_name=n\nip=10.0.0.1\nport_range=7000,7001\nseed_nodes=" + seeds + "\n");
    }

    @Test
    void changesAreTakenOnceAndFaultsChangeNothing() throws Exception {
        Path file = write("10.0.0.2:8000");
        SettingsWatch watch = new SettingsWatch(file.toString(), LocalSettings.text(file.toString()),
                LocalSettings.load(file.toString()),
                changed -> taken.add(changed.seeds()));
        watch.look();
        assertThat("the same as before", taken.size(), is(0));
        write("10.0.0.3:8000");
        watch.look();
        watch.look();
        assertThat(taken, is(List.of(List.of(new HostPort("10.0.0.3", 8000)))));
        write("nowhere");
        watch.look();
        Files.delete(file);
        watch.look();
        assertThat(taken.size(), is(1));
        write("10.0.0.4:8000");
        watch.look();
        assertThat(taken.size(), is(2));
    }
}
