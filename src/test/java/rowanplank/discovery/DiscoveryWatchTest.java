package rowanplank.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import com.sun.net.httpserver.HttpServer;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import rowanplank.config.HostList;
import rowanplank.config.SettingsReader;
import rowanplank.config.SiteSettings;
import rowanplank.metrics.Counters;
import rowanplank.metrics.RateLimitedLog;
import rowanplank.net.SelectorLoop;
import rowanplank.net.SystemClock;

/** A watch on a real loop, with a discovery that records what it is asked and answers as each test says. */
@Timeout(30)
class DiscoveryWatchTest {
    private static final SiteSettings SITE = SettingsReader.parse(
            "{\"classes\": [{\"name\": \"article\", \"aim_ms\": 200, \"deadline_ms\": 400}]}");

    private final BlockingQueue<String> asked = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> answers = new LinkedBlockingQueue<>();
    private final BlockingQueue<HostList> told = new LinkedBlockingQueue<>();
    private HttpServer discovery;
    private SelectorLoop loop;

    @BeforeEach
    void start() throws Exception {
        discovery = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        discovery.createContext("/discovery/hosts", call -> {
            asked.add(call.getRequestURI().toString());
            String answer = answers.poll();
            byte[] text = answer == null ? new byte[0] : answer.getBytes(StandardCharsets.UTF_8);
            call.sendResponseHeaders(answer == null ? 503 : 200, answer == null ? -1 : text.length);
            call.getResponseBody().write(text);
            call.close();
        });
        discovery.start();
        loop = new SelectorLoop(new SystemClock(), e -> { });
        loop.start();
    }

    @AfterEach
    void stop() throws Exception {
        loop.stop();
        discovery.stop(0);
    }

    private void watch(long revision) {
        RateLimitedLog log = new RateLimitedLog(loop.clock(), (warning, line, cause) -> { });
        loop.execute(() -> new DiscoveryWatch(discovery.getAddress(), SITE, 1, revision, loop, new Counters(), log,
                (by, list) -> told.add(list)).start());
    }

    private String nextCall() throws InterruptedException {
        return asked.poll(20, TimeUnit.SECONDS);
    }

    private static String changes(long revision) {
        return "{\"revision\":" + revision + ",\"complete\":false,\"members\":[]}";
    }

    /** Guards discovery after a release: each node that comes back asks for a few changes, not for the whole list. */
    @Test
    void aNodeThatComesBackAsksForWhatHasChangedSinceItsList() throws Exception {
        answers.add(changes(43));
        watch(41);
        assertEquals("/discovery/hosts?index=41&wait=0", nextCall());
        assertEquals(43, told.poll(20, TimeUnit.SECONDS).revision());
        assertEquals("/discovery/hosts?index=43&wait=2000", nextCall());
    }

    @Test
    void aNodeWithoutAListAsksForAll() throws Exception {
        watch(-1);
        assertEquals("/discovery/hosts", nextCall());
    }

    /** Guards against a discovery that began to count anew: waiting for what is newer would be waiting for ever. */
    @Test
    void whereDiscoveryIsBehindTheListAllIsAskedFor() throws Exception {
        answers.add(changes(3));
        watch(41);
        nextCall();
        assertEquals("/discovery/hosts", nextCall());
        assertNull(told.poll());
    }

    /** Guards what was told meanwhile: an agent that answers again tells at once, and silence shows without a wait. */
    @Test
    void aWatchThatFailedAsksForWhatThereIsNowAndOnlyThenWaitsAgain() throws Exception {
        answers.add(changes(43));
        watch(41);
        nextCall();
        assertEquals("/discovery/hosts?index=43&wait=2000", nextCall());
        assertEquals("/discovery/hosts?index=43&wait=0", nextCall());
        answers.add(changes(43));
        while (nextCall().endsWith("wait=0")) { }
    }
}
