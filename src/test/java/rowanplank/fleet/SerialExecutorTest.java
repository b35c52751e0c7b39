package rowanplank.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The order of events, and events that fail. */
class SerialExecutorTest {
    /**
     * An event that fails, for example because the jar was replaced and a class cannot be loaded, must not block later
     * events.
     */
    @Test
    void failureIsReportedAndBlocksNoLaterEvent() {
        List<String> events = new ArrayList<>();
        SerialExecutor executor = new SerialExecutor(() -> events.add("all done"),
                e -> events.add("failed: " + e.getMessage()));
        executor.run(() -> {
            executor.runLater(() -> events.add("dropped"));
            throw new NoClassDefFoundError("Peer");
        });
        executor.run(() -> events.add("later"));
        assertEquals(List.of("failed: Peer", "all done", "later", "all done"), events);
    }
}
