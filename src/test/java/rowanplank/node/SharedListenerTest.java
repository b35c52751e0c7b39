package rowanplank.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * A new version put in the place of the old one under load: real processes that inherit one listening socket. The
 * platform is a small script, since a Java process can't hand a socket to those that it starts.
 */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class SharedListenerTest {
    /** Holds the socket, starts what each line of its input says with the socket as descriptor 0, and tells its id. */
    private static final String PLATFORM = """
            use Socket; $| = 1; $SIG{CHLD} = 'IGNORE';
            socket(S, PF_INET, SOCK_STREAM, 0) && bind(S, sockaddr_in(0, INADDR_LOOPBACK)) && listen(S, 128) or die;
            my ($port) = sockaddr_in(getsockname(S)); print "port $port\\n";
            while (my $line = <STDIN>) {
              my $pid = fork;
              if (!$pid) { $SIG{CHLD} = 'DEFAULT'; open(STDIN, '<&S'); exec '/bin/sh', '-c', $line; }
              print "pid $pid\\n";
            }""";
    private static final String SETTINGS = """
            {"balancers":1,"position":0,"zone":0,"zones":["a"],"membership_mode":"push","classes":[
              {"name":"article","aim_ms":2000,"deadline_ms":20000,"effect":"repeatable"}],
             "ceilings":{"most_tries":3,"may_cancel":true,"conn_idle_ms":30000,"connect_timeout_ms":250}}""";
    private static final String ARTICLE =
            "GET /article/7 HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: 9b1f\r\n\r\n";

    @TempDir
    Path folder;
    private final List<AutoCloseable> opened = new ArrayList<>();
    private final BlockingQueue<String> lines = new LinkedBlockingQueue<>();
    private final List<ProcessHandle> nodes = new ArrayList<>();
    private Process platform;
    private StubSite site;
    private int port;

    /** One process of the node, and where its operators ask it. */
    private record Version(ProcessHandle process, int admin) { }

    @BeforeEach
    void startPlatform() throws Exception {
        site = new StubSite();
        opened.add(site);
        platform = new ProcessBuilder("perl", "-e", PLATFORM).redirectErrorStream(true).start();
        BufferedReader log = new BufferedReader(new InputStreamReader(platform.getInputStream(), StandardCharsets.UTF_8));
        Thread reader = new Thread(() -> log.lines().forEach(lines::add));
        reader.setDaemon(true);
        reader.start();
        port = number("^port (\\d+)");
    }

    @AfterEach
    void stop() throws Exception {
        platform.destroyForcibly().waitFor();
        nodes.forEach(ProcessHandle::destroyForcibly);
        for (AutoCloseable o : opened) {
            o.close();
        }
    }

    private String await(String pattern) throws InterruptedException {
        Pattern wanted = Pattern.compile(pattern);
        String line;
        do {
            line = lines.poll(30, TimeUnit.SECONDS);
            assertNotNull(line, "no line has " + pattern);
        } while (!wanted.matcher(line).find());
        return line;
    }

    private int number(String pattern) throws InterruptedException {
        Matcher m = Pattern.compile(pattern).matcher(await(pattern));
        assertTrue(m.find());
        return Integer.parseInt(m.group(1));
    }

    private Version start() throws Exception {
        Path config = Files.writeString(folder.resolve("config.json"), "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + port
                + "\",\"discovery\":\"" + site.address() + "\",\"limits\":{\"sockets\":256},\"settings\":" + SETTINGS + "}");
        String line = "EDGE_FD=0 EDGE_ADMIN_ADDR=127.0.0.1:0 EDGE_CONFIG='" + config + "' TMPDIR='" + folder + "' exec '"
                + Path.of(System.getProperty("java.home"), "bin", "java") + "' -XX:+UseSerialGC -XX:TieredStopAtLevel=1 "
                + "-Xmx64m -cp '" + System.getProperty("java.class.path") + "' rowanplank.Main serve\n";
        platform.getOutputStream().write(line.getBytes(StandardCharsets.UTF_8));
        platform.getOutputStream().flush();
        ProcessHandle process = ProcessHandle.of(number("^pid (\\d+)")).orElseThrow();
        nodes.add(process);
        return new Version(process, number("answers operators at 127\\.0\\.0\\.1:(\\d+)"));
    }

    private void awaitReady(Version version) throws Exception {
        while (!ask(version.admin(), "GET /api/ready HTTP/1.1\r\nHost: o\r\n\r\n").startsWith("HTTP/1.1 200")) {
            Thread.sleep(5);
        }
    }

    private static String ask(int port, String request) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            return ask(socket, request);
        }
    }

    private static String ask(Socket socket, String request) throws IOException {
        socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
        return StubSite.readMessage(socket.getInputStream());
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket("127.0.0.1", port);
        opened.add(socket);
        return socket;
    }

    private static String held(CountDownLatch until, String request) {
        try {
            return request.contains("GET /article/held") && !until.await(30, TimeUnit.SECONDS) ? null
                    : StubSite.ok("page");
        } catch (InterruptedException e) {
            return null;
        }
    }

    /** What the old process took it answers, what waits is the new one's, and no connection is closed on a request. */
    @Test
    void aNewVersionTakesOverAndNothingIsLost() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        StubSite.Peer peer = new StubSite.Peer(r -> held(answer, r));
        opened.add(peer);
        site.list(peer.member("s-1", "ready"));
        Version old = start();
        awaitReady(old);
        Socket kept = connect();
        assertFalse(ask(kept, ARTICLE).contains("Connection: close"));
        Socket waiting = connect();
        waiting.getOutputStream().write(ARTICLE.replace("/7", "/held").replace("9b1f", "9b20")
                .getBytes(StandardCharsets.ISO_8859_1));
        while (!peer.requests.take().contains("/held")) { }

        Version next = start();
        awaitReady(next);
        old.process().destroy();
        await("n0 was told to stop");
        String last = ask(kept, ARTICLE);
        assertTrue(last.endsWith("page") && last.contains("Connection: close"), last);
        for (int i = 0; i < 20; i++) {
            assertFalse(ask(port, ARTICLE).contains("Connection: close"), "a new connection is the new process's");
        }
        answer.countDown();
        assertTrue(StubSite.readMessage(waiting.getInputStream()).endsWith("page"));
        await("n0 stopped; ");
        old.process().onExit().get(30, TimeUnit.SECONDS);
        assertTrue(ask(port, ARTICLE).endsWith("page"), "the end of one must not shut the socket for the other");
        assertTrue(next.process().isAlive());
    }

    /** A process that can't serve yet takes nothing from the common queue. */
    @Test
    void untilItsYesANewVersionTakesNothing() throws Exception {
        StubSite.Peer peer = new StubSite.Peer(r -> StubSite.ok("page"));
        opened.add(peer);
        Version waits = start(); // discovery has told no list
        assertTrue(ask(waits.admin(), "GET /api/ready HTTP/1.1\r\nHost: o\r\n\r\n").startsWith("HTTP/1.1 503"));
        Socket early = connect();
        early.getOutputStream().write(ARTICLE.getBytes(StandardCharsets.ISO_8859_1));
        early.setSoTimeout(300);
        assertThrows(SocketTimeoutException.class, () -> early.getInputStream().read(), "nobody may answer yet");
        early.setSoTimeout(0);
        site.list(peer.member("s-1", "ready"));
        assertTrue(StubSite.readMessage(early.getInputStream()).endsWith("page"), "what waited is served");
    }

    /** Either of the two may die at any moment; the other goes on. */
    @Test
    void theDeathOfOneIsNotTheOthers() throws Exception {
        StubSite.Peer peer = new StubSite.Peer(r -> StubSite.ok("page"));
        opened.add(peer);
        site.list(peer.member("s-1", "ready"));
        Version old = start();
        awaitReady(old);
        Version dies = start();
        dies.process().destroyForcibly();
        dies.process().onExit().get(30, TimeUnit.SECONDS);
        assertTrue(ask(port, ARTICLE).endsWith("page"));
        Version next = start();
        awaitReady(next);
        old.process().destroyForcibly();
        old.process().onExit().get(30, TimeUnit.SECONDS);
        for (int i = 0; i < 5; i++) {
            assertTrue(ask(port, ARTICLE).endsWith("page"));
        }
    }

    private String firstLineOf(String descriptor, int status) throws Exception {
        Path config = Files.writeString(folder.resolve("bad.json"), "{\"name\":\"n0\",\"listen\":\"127.0.0.1:1\","
                + "\"discovery\":\"127.0.0.1:1\",\"settings\":" + SETTINGS + "}");
        ProcessBuilder builder = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp", System.getProperty("java.class.path"), "rowanplank.Main", "serve").redirectErrorStream(true);
        builder.environment().put("EDGE_CONFIG", config.toString());
        builder.environment().put("EDGE_FD", descriptor);
        Process process = builder.start();
        try (BufferedReader log = process.inputReader(StandardCharsets.UTF_8)) {
            String line = log.readLine();
            assertNull(log.readLine());
            assertEquals(status, process.waitFor());
            return line;
        }
    }

    @Test
    void aDescriptorThatCannotBeUsedIsOneLineAndStatusTwo() throws Exception {
        assertEquals("rowanplank: EDGE_FD: descriptor 0 is no listening socket", firstLineOf("0", 2));
        assertTrue(firstLineOf("5", 2).contains("EDGE_FD: only descriptor 0 can be inherited: 5"));
    }
}
