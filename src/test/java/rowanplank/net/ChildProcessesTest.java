package rowanplank.net;

import static org.junit.jupiter.api.Assertions.assertFalse;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

@Timeout(value = 40, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ChildProcessesTest {
    /** A process that is gone all at once while its child, which ends with its input, stands still for a minute. */
    static final class Parent {
        private Parent() { }

        public static void main(String[] folder) throws Exception {
            try (ChildProcesses children = new ChildProcesses()) {
                ChildProcesses.Child child = children.start(List.of("cat"), new TreeMap<>(), folder[0] + "/log", s -> { });
                child.stall(Duration.ofMinutes(1));
                Path state = Path.of("/proc", Long.toString(child.pid()), "stat");
                while (!Files.readString(state).contains(") T ")) {
                    Thread.sleep(5);
                }
                System.out.println(child.pid());
                System.out.flush();
                Runtime.getRuntime().halt(9);
            }
        }
    }

    /** Guards the machine: whatever way a trial ends, nothing of it stands there for as long as it was to stand still. */
    @Test
    void whatStandsStillEndsWithItsParent(@TempDir Path folder) throws Exception {
        Process parent = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-cp",
                System.getProperty("java.class.path"), Parent.class.getName(), folder.toString())
                .redirectError(ProcessBuilder.Redirect.INHERIT).start();
        ProcessHandle child = ProcessHandle.of(Long.parseLong(new String(parent.getInputStream().readAllBytes()).strip()))
                .orElse(null);
        for (int i = 0; i < 500 && child != null && child.isAlive(); i++) {
            Thread.sleep(10);
        }
        boolean left = child != null && child.isAlive();
        if (left) {
            child.destroyForcibly();
        }
        assertFalse(left, "it stands there still");
    }
}
