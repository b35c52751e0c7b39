package routerfleet.soak;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.nio.file.Path;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Short soaks of real processes; scripts/shutdown-soak runs more of them, and larger ones. */
@Tag("alone")
class ShutdownSoakTest {
    private static final int MIN_REQUESTS = 200;

    @TempDir
    private Path folder;

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void noResponseIsCutOffAroundSigtermSighupAndConfigurations(long seed) throws Exception {
        try (ShutdownSoak soak = new ShutdownSoak(seed, ShutdownSoak.Size.SMALL, ServerTrouble.ALL,
                DeployCommands.ofClassPath(), folder)) {
            ShutdownSoak.Report report = soak.run();
            assertThat(report.toString(), report.requests().size(), is(greaterThan(MIN_REQUESTS)));
            assertThat(report.toString(), report.violations(), is(empty()));
        }
    }
}
