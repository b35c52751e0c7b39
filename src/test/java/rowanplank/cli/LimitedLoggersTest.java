package rowanplank.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.slf4j.Logger;

class LimitedLoggersTest {
    /** Guards the log: a library that warns at each turn of the loop fills a disk, and takes the node's core. */
    @Test
    void aLibraryWritesNoMoreThanTheNodeItself() {
        List<String> lines = new ArrayList<>();
        Instant[] now = {Instant.EPOCH};
        LimitedLoggers loggers = new LimitedLoggers(() -> now[0], (warning, line, cause) -> lines.add(line + cause));
        loggers.initialize();
        Logger library = loggers.getLoggerFactory().getLogger("org.library");
        for (int i = 0; i < 10_000; i++) {
            library.warn("{} failed", i, new IOException("full"));
            library.info("nobody needs this");
        }
        assertEquals(100, lines.size());
        assertEquals("org.library: 0 failedjava.io.IOException: full", lines.get(0));
        now[0] = now[0].plusSeconds(1);
        loggers.getLoggerFactory().getLogger("org.other").error("again");
        assertEquals(102, lines.size());
        assertTrue(lines.get(100).startsWith("9900 log lines left out"), lines.get(100));
    }
}
