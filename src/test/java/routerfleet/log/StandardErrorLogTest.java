package routerfleet.log;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.startsWith;

import java.io.IOException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What a node writes to its log. */
class StandardErrorLogTest {
    private static final Instant TIME = Instant.parse("2026-01-02T03:04:05.006Z");
    private static final int FLOOD = 10_000;

    private final List<String> lines = new ArrayList<>();
    private final StandardErrorLog log = new StandardErrorLog(lines::add, () -> TIME);

    @Test
    void anEventIsOneLineWithTimeLevelLoggerAndCause() {
        log.write("routerfleet.data", System.Logger.Level.INFO, "up", null);
        log.write("routerfleet.data", System.Logger.Level.ERROR, "broken", new IOException("gone"));
        assertThat(lines, contains("2026-01-02T03:04:05.006Z INFO routerfleet.data: up",
                "2026-01-02T03:04:05.006Z ERROR routerfleet.data: broken: java.io.IOException: gone"));
    }

    @Test
    void librariesAreHeardFromWarningsOn() {
        log.write("io.netty", System.Logger.Level.INFO, "chatter", null);
        log.write("routerfleet.data", System.Logger.Level.DEBUG, "detail", null);
        assertThat(lines, empty());
        log.write("io.netty", System.Logger.Level.WARNING, "trouble", null);
        assertThat(lines.size(), is(1));
    }

    /** Guards the processor: writing a line costs time, and something may go wrong for each request. */
    @Test
    void aFloodOfEventsIsBounded() {
        for (int i = 0; i < FLOOD; i++) {
            log.write("io.netty", System.Logger.Level.WARNING, "again", null);
        }
        assertThat(lines.size(), lessThan(FLOOD / 10));
        lines.forEach(line -> assertThat(line, startsWith("2026-01-02T03:04:05.006Z ")));
    }

    @Test
    void thePlatformAndLibrariesLogHere() {
        assertThat(System.LoggerFinder.getLoggerFinder(), instanceOf(FleetLoggerFinder.class));
        LibraryLoggers loggers = new LibraryLoggers();
        loggers.initialize();
        assertThat(loggers.getLoggerFactory().getLogger("io.netty").isInfoEnabled(), is(false));
        assertThat(loggers.getLoggerFactory().getLogger("io.netty").isWarnEnabled(), is(true));
    }
}
