package routerfleet.soak;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.nio.file.Path;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Short soaks of starts with the commands of the deploy file; scripts/start-soak runs more of them, and longer ones. */
@Tag("packaged")
class StartSoakTest {
    @TempDir
    private Path folder;

    @ParameterizedTest
    @CsvSource({"1, 1, 4", "2, 2, 9"})
    void updatesAreAcknowledgedInTimeWhileAllNodesStartOnFewProcessors(long seed, int processors, int competitors)
            throws Exception {
        try (StartSoak soak = new StartSoak(seed, new StartSoak.Size(9, 17, processors, competitors, 12, 8), folder)) {
            StartSoak.Report report = soak.run();
            System.out.println(report);
            assertThat(report.toString(), report.violations(), is(empty()));
        }
    }
}
