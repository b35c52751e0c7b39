package rowanplank.lab.trial;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** What commands that outlive a trial leave behind in its folder: nothing. */
@Timeout(60)
class RecorderTest {
    @TempDir
    Path folder;

    private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(10);

    private Process command(Recorder recorder, String takes) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(recorder.command(takes));
        builder.environment().put("FLEET_LEASE", "lease");
        builder.environment().put("FLEET_FENCE", "1");
        builder.environment().put("FLEET_NODE", "n1");
        return builder.start();
    }

    /** Guards the folder's removal: a command that ends after its pipe was removed makes no file in its place. */
    @Test
    void aCommandThatEndsAfterTheTrialLeavesNoFile() throws Exception {
        Recorder recorder = new Recorder(folder, lines::add);
        Process running = command(recorder, "30");
        assertTrue(lines.poll(20, TimeUnit.SECONDS).startsWith("begin lease 1 n1 "));
        Files.delete(folder.resolve("recorder.pipe"));
        running.destroy();
        running.waitFor();
        Process late = command(recorder, "0");
        late.waitFor();
        assertArrayEquals(new String[0], folder.toFile().list());
    }

    /** Guards the trial's end: commands that outlive their node end with the trial. */
    @Test
    void commandsThatStillRunAreEnded() throws Exception {
        Recorder recorder = new Recorder(folder, lines::add);
        Process running = command(recorder, "30");
        String begin = lines.poll(20, TimeUnit.SECONDS);
        TaskCommands commands = new TaskCommands();
        commands.began(Long.parseLong(begin.split(" ")[4]));
        commands.close();
        assertFalse(running.isAlive());
        assertEquals(0, lines.size(), "it was killed, not asked to end");
    }
}
