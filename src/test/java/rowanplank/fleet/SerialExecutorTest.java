package rowanplank.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class SerialExecutorTest {
    /** Guards a node whose program's file was replaced under it: what fails once must not keep all that comes later waiting. */
    @Test
    void whatFailsIsToldAndKeepsNothingWaiting() {
        List<String> told = new ArrayList<>();
        SerialExecutor turns = new SerialExecutor(() -> told.add("all done"), e -> told.add("failed: " + e.getMessage()));
        turns.run(() -> {
            turns.runLater(() -> told.add("dropped"));
            throw new NoClassDefFoundError("Peer");
        });
        turns.run(() -> told.add("later"));
        assertEquals(List.of("failed: Peer", "all done", "later", "all done"), told);
    }
}
