package routerfleet.soak;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import routerfleet.demo.LoopbackHttp;
import routerfleet.settings.HostPort;

/** A control node, as a process without the others of its group, receives SIGTERM while calls wait for them. */
class ControlShutdownTest {
    private static final String IP = "127.0.4.1";
    private static final long MOST_WAIT_S = 30;
    private static final long SIGNAL_DELAY_MS = 100;

    @TempDir
    private Path folder;
    private FleetProcess node;

    @AfterEach
    void end() {
        node.close();
    }

    private void start() throws Exception {
        int controlPort = ProcessFleet.freePort();
        int internalPort = ProcessFleet.freePort();
        Path settings = Files.writeString(folder.resolve("control.conf"), """
                node_name=control
                ip=%s
                zone=a
                zones.a=region
                listen.control_plane=%s:%d
                data_path=%s
                port_range=%d,%d
                seed_nodes=%s:%d,127.0.4.2:%d,127.0.4.3:%d
                bootstrap=true
                fault_tolerance.hosts_lost=1
                bounds.grace_s=8
                """.formatted(IP, IP, controlPort, folder.resolve("disk"), internalPort, internalPort + 1, IP,
                controlPort, controlPort, controlPort));
        node = new FleetProcess(DeployCommands.ofClassPath().of("control-plane"), "control",
                new HostPort(IP, controlPort), settings);
        node.start();
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(MOST_WAIT_S);
        while (call("GET", "/rowanplank/config/get", "").status() == 0 && System.nanoTime() - endNanos < 0) {
            Thread.sleep(10);
        }
    }

    private LoopbackHttp.Answer call(String method, String path, String body) {
        try {
            return LoopbackHttp.call(node.address(), method, path, Map.of("Rowanplank-Base-Version", "0"),
                    body.getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            return new LoopbackHttp.Answer(0, Map.of(), e.toString(), false);
        }
    }

    @Test
    void callsThatWereReadAreAnsweredBeforeAControlNodeEnds() throws Exception {
        start();
        List<CompletableFuture<LoopbackHttp.Answer>> answers = new ArrayList<>();
        answers.add(CompletableFuture.supplyAsync(() -> call("POST", "/rowanplank/config/replace", "{\"generation\":1}")));
        answers.add(CompletableFuture.supplyAsync(() -> call("GET", "/rowanplank/config/get", "")));
        answers.add(CompletableFuture.supplyAsync(() -> call("POST", "/rowanplank/evacuations/a/start", "")));
        Thread.sleep(SIGNAL_DELAY_MS);
        node.terminate();
        for (CompletableFuture<LoopbackHttp.Answer> answer : answers) {
            LoopbackHttp.Answer received = answer.get(MOST_WAIT_S, TimeUnit.SECONDS);
            assertThat(received.body(), received.status(), is(503));
        }
    }
}
