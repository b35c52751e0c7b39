package routerfleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import routerfleet.demo.Configurations;
import routerfleet.demo.EmulatedServer;
import routerfleet.demo.EmulatedServer.Behaviour;
import routerfleet.demo.LoopbackFleet;
import routerfleet.demo.LoopbackHttp;

/** Resumable streams of servers that fall silent for longer than a data node waits before it tries another server. */
class SilentServerTest {
    private static final int EVENTS = 3;
    private static final int GAP_MS = 1_400;
    /** Longer than a single request may wait before another server is tried: a third of the route's timeout of 4 s. */
    private static final int LATE_MS = 2_000;
    private static final int MOST_WAIT_S = 20;

    @TempDir
    private Path folder;
    private final ExecutorService clients = Executors.newCachedThreadPool();
    private LoopbackFleet fleet;
    private FleetClient client;
    private EmulatedServer silent;

    @BeforeEach
    void start() throws IOException {
        fleet = new LoopbackFleet(folder, 3);
        silent = server("llm-1");
        assertThat(fleet.order("replace", 0, Configurations.whole(1)), is(200));
        fleet.startData(true);
        client = new FleetClient(fleet, 4_000);
        client.warmUp("/briefs/fast");
    }

    @AfterEach
    void end() throws IOException {
        clients.shutdownNow();
        silent.close();
        fleet.close();
    }

    private EmulatedServer server(String uid) throws IOException {
        return new EmulatedServer(uid, "llm", fleet.seeds(), arrival -> new EmulatedServer.Pace(
                arrival.path().endsWith("late") ? LATE_MS : 0, arrival.path().endsWith("slow") ? EVENTS : 1, GAP_MS, 0));
    }

    /** Two streams at a time: a server counts as silent sooner if it owes more than one response. */
    private List<Future<LoopbackHttp.Answer>> beginTwoStreams() throws InterruptedException {
        int before = silent.arrivals().size();
        List<Future<LoopbackHttp.Answer>> answers = new ArrayList<>();
        for (String id : List.of("one", "two")) {
            Callable<LoopbackHttp.Answer> call = () -> client.request(id, "/briefs/slow");
            answers.add(clients.submit(call));
        }
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(MOST_WAIT_S);
        while (silent.arrivals().size() < before + 2 && System.nanoTime() - endNanos < 0) {
            Thread.sleep(1);
        }
        return answers;
    }

    private static void assertWhole(List<Future<LoopbackHttp.Answer>> answers) throws Exception {
        StringBuilder expected = new StringBuilder();
        for (int i = 0; i < EVENTS; i++) {
            expected.append("id: ").append(i).append("\ndata: piece ").append(i).append("\n\n");
        }
        for (Future<LoopbackHttp.Answer> answer : answers) {
            assertThat(answer.get().body(), is(expected.toString()));
            assertThat(answer.get().whole(), is(true));
        }
    }

    @Test
    void aStreamIsNotBrokenOffWhileItsOnlyServerIsSilent() throws Exception {
        assertWhole(beginTwoStreams());
    }

    @Test
    void aRequestIsNotAnsweredWithAnErrorWhileItsOnlyServerIsLateToRespond() throws Exception {
        assertThat(client.request("late", "/briefs/late").status(), is(200));
    }

    @Test
    void aStreamIsNotBrokenOffWhenTheSecondServerRefuses() throws Exception {
        List<Future<LoopbackHttp.Answer>> answers = beginTwoStreams();
        try (EmulatedServer refusing = server("llm-2")) {
            refusing.behave(Behaviour.SHED);
            assertWhole(answers);
            assertThat("the second server was asked", refusing.arrivals(), is(not(empty())));
        }
    }

    @Test
    void aStreamIsNotBrokenOffWhenTheSecondServerHangsUp() throws Exception {
        List<Future<LoopbackHttp.Answer>> answers = beginTwoStreams();
        try (EmulatedServer closing = server("llm-2")) {
            closing.behave(Behaviour.HANG_UP);
            assertWhole(answers);
            assertThat("the second server was asked", closing.arrivals(), is(not(empty())));
        }
    }

    @Test
    void aSecondServerTakesOverFromOneThatStaysSilent() throws Exception {
        silent.behave(Behaviour.HOLD);
        Future<LoopbackHttp.Answer> answer = clients.submit(() -> client.request("held", "/briefs/fast"));
        try (EmulatedServer other = server("llm-2")) {
            assertThat(answer.get().status(), is(200));
            assertThat(other.arrivals().size(), is(1));
        }
    }
}
