package rowanplank.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rowanplank.node.ScriptedDiscovery.changes;
import static rowanplank.node.ScriptedDiscovery.message;
import static rowanplank.node.ScriptedDiscovery.whole;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import rowanplank.metrics.Counters.Count;
import rowanplank.node.ScriptedDiscovery.Call;

/** What comes between two lines of the discovery watch: the real node, whose discovery says each byte when the test does. */
@Timeout(value = 40, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class DiscoveryRaceTest {
    private static final String SETTINGS = """
            {"balancers": 1, "position": 0, "zone": 0, "zones": ["a"], "membership_mode": "push", "classes": [
              {"name": "article", "aim_ms": 2000, "deadline_ms": 20000, "effect": "repeatable"}],
             "ceilings": {"most_tries": 2, "may_cancel": true, "conn_idle_ms": 30000, "connect_timeout_ms": 5000},
             "rules": {"answer_slack_ms": 20, "cold_from": 0.1, "cold_ms": 20000, "fall_multiple": 2.5}}""";
    private static final String ASK = SETTINGS.replace("\"push\"", "\"ask\"");
    /** After which what discovery has to tell counts as told. */
    private static final Duration TOLD = Duration.ofSeconds(6);
    private static final Duration MOMENT = Duration.ofMillis(75);

    private final List<AutoCloseable> opened = new ArrayList<>();
    private ScriptedDiscovery discovery;
    private StubSite.Peer one;
    private StubSite.Peer other;
    private DrivenNode node;

    @BeforeEach
    void open() throws IOException {
        discovery = opened(new ScriptedDiscovery());
        one = peer(r -> StubSite.ok("one"));
        other = peer(r -> StubSite.ok("other"));
    }

    @AfterEach
    void close() throws Exception {
        if (node != null) {
            node.close();
            assertEquals(List.of(), node.log.stream().filter(l -> l.startsWith("unexpected")).toList());
        }
        for (AutoCloseable o : opened) {
            o.close();
        }
    }

    private <T extends AutoCloseable> T opened(T what) {
        opened.add(what);
        return what;
    }

    private StubSite.Peer peer(UnaryOperator<String> script) throws IOException {
        return opened(new StubSite.Peer(script));
    }

    private static String config(String settings, String discovery, String known) {
        return "{\"seed\":\"7\",\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"" + discovery + "\",\"settings\":"
                + settings + (known == null ? "" : ",\"known\":" + known) + "}";
    }

    private String both() {
        return whole(1, one.member("s-1", "ready"), other.member("s-2", "ready"));
    }

    /** Starts the node and tells it both peers; its watch is out then. */
    private Call serve(String settings) throws Exception {
        node = new DrivenNode(config(settings, discovery.address(), null));
        Call first = discovery.next();
        assertEquals("/discovery/hosts", first.target);
        first.answer(both());
        Call watch = discovery.next();
        assertEquals("/discovery/hosts?index=1&wait=2000", watch.target);
        assertTrue(node.isUp());
        return watch;
    }

    private void assertOnly(String name) throws Exception {
        for (int i = 0; i < 12; i++) {
            String answer = node.get("/article/" + i);
            assertTrue(answer.endsWith("\r\n\r\n" + name), answer);
        }
    }

    /** How a watch that was out ends without telling anything. */
    enum Broken {
        SILENT, RESET, ENDED, ANSWERED_503, ANSWERED_404, GARBAGE, HEAD_ONLY, HALF_A_BODY, HALF_A_CHUNK, NO_LENGTH_RESET,
        HALF_A_HEAD_ENDED, HALF_A_BODY_ENDED, NO_JSON;

        void happen(Call call) throws IOException {
            String news = changes(2);
            switch (this) {
                case SILENT -> { }
                case RESET -> call.reset();
                case ENDED -> call.end();
                case ANSWERED_503 -> call.write("HTTP/1.1 503 Later\r\nContent-Length: 0\r\n\r\n");
                case ANSWERED_404 -> call.write("HTTP/1.1 404 No\r\nContent-Length: 2\r\n\r\nno");
                case GARBAGE -> call.write("\0\1\2 nonsense\r\n\r\n");
                case HEAD_ONLY -> call.write(message(news).substring(0, message(news).indexOf('{')));
                case HALF_A_BODY -> call.write(message(news).substring(0, message(news).length() - 9));
                case HALF_A_CHUNK -> call.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3c\r\n{\"rev");
                case NO_LENGTH_RESET -> {
                    call.write("HTTP/1.1 200 OK\r\n\r\n" + news);
                    call.reset();
                }
                case HALF_A_HEAD_ENDED -> {
                    call.write("HTTP/1.1 200 OK\r\nContent-");
                    call.end();
                }
                case HALF_A_BODY_ENDED -> {
                    call.write(message(news).substring(0, message(news).length() - 9));
                    call.end();
                }
                case NO_JSON -> call.answer(news.substring(1));
                default -> throw new IllegalStateException();
            }
        }
    }

    /**
     * Guards drains: a watch that breaks in any way, be it silent, is opened anew in time, on a new connection, from
     * where it stood, and what it missed is told then; the list stands meanwhile.
     */
    @ParameterizedTest
    @EnumSource
    void aBrokenWatchIsOpenedAnewInTimeAndTheListStandsMeanwhile(Broken how) throws Exception {
        breakAWatch(how, SETTINGS, "wait=0");
    }

    /** The same where discovery has to be asked: the next call waits, as its place in the queue is dear. */
    @ParameterizedTest
    @EnumSource
    void aBrokenWatchIsOpenedAnewInTimeWhereListsAreAskedFor(Broken how) throws Exception {
        breakAWatch(how, ASK, "wait=1000");
    }

    private void breakAWatch(Broken how, String settings, String wait) throws Exception {
        Call watch = serve(settings);
        how.happen(watch);
        Call anew = node.callWithin(TOLD.minusSeconds(2), discovery);
        assertEquals(how == Broken.NO_JSON ? "/discovery/hosts" : "/discovery/hosts?index=1&" + wait, anew.target);
        watch.awaitClosed();
        assertEquals(1, node.count(Count.DISCOVERY_LISTS));
        assertTrue(node.isUp());
        anew.answer(how == Broken.NO_JSON ? whole(2, other.member("s-2", "ready"))
                : changes(2, one.member("s-1", "draining")));
        node.await(Count.DISCOVERY_LISTS, 2);
        assertOnly("other");
    }

    /** In which form an answer comes that is good. */
    enum Form {
        USUAL, CLOSE, NO_LENGTH, VERSION_1_0, CHUNKED, SINGLE_BYTES, INDENTED, INTERIM;

        void write(Call call, String body) throws IOException {
            switch (this) {
                case USUAL -> call.answer(body);
                case CLOSE -> {
                    call.write(message(body).replace("OK\r\n", "OK\r\nConnection: close\r\n"));
                    call.end();
                }
                case NO_LENGTH, VERSION_1_0 -> {
                    call.write("HTTP/1." + (this == NO_LENGTH ? 1 : 0) + " 200 OK\r\n\r\n" + body);
                    call.end();
                }
                case CHUNKED -> {
                    StringBuilder chunks = new StringBuilder();
                    for (int at = 0; at < body.length(); at += 7) {
                        String chunk = body.substring(at, Math.min(body.length(), at + 7));
                        chunks.append(Integer.toHexString(chunk.length())).append("\r\n").append(chunk).append("\r\n");
                    }
                    call.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + "0\r\n\r\n");
                }
                case SINGLE_BYTES -> {
                    for (char c : message(body).toCharArray()) {
                        call.write(String.valueOf(c));
                    }
                }
                case INDENTED -> call.answer(body.replace("{", "{\r\n\t ").replace(",", " ,\n  ").replace("\":", "\" : "));
                case INTERIM -> call.write("HTTP/1.1 100 Continue\r\n\r\n" + message(body));
                default -> throw new IllegalStateException();
            }
        }
    }

    /** Guards lists in every form that HTTP has: each is taken as it is, at once, and no form counts as a failure. */
    @ParameterizedTest
    @EnumSource
    void anAnswerIsTakenInEachFormAndTheWatchGoesOnFromIt(Form form) throws Exception {
        Call watch = serve(SETTINGS);
        form.write(watch, changes(2, one.member("s-1", "draining")));
        node.await(Count.DISCOVERY_LISTS, 2);
        assertOnly("other");
        Call next = discovery.next(); // without any time passing
        assertEquals("/discovery/hosts?index=2&wait=2000", next.target);
        form.write(next, whole(3, one.member("s-1", "ready")));
        node.await(Count.DISCOVERY_LISTS, 3);
        assertOnly("one");
        assertEquals("/discovery/hosts?index=3&wait=2000", discovery.next().target);
        assertEquals(0, node.count(Count.DISCOVERY_FAILURES));
    }

    /** Guards discovery against a watch that goes round without a pause: it was answered, but with nothing new. */
    @Test
    void aWatchThatIsAnsweredAtOnceWithNothingNewIsNotAskedAgainAtOnce() throws Exception {
        Call watch = serve(ASK);
        for (int i = 0; i < 3; i++) {
            watch.answer(i % 2 == 0 ? changes(1) : whole(1, one.member("s-1", "ready")));
            node.await(Count.DISCOVERY_LISTS, 2 + i);
            node.pass(Duration.ofMillis(20L << i)); // a half of what it may be, but for a little
            assertTrue(node.isUp());
            assertNull(discovery.calls.poll(), "it is asked in turn, and not at once");
            watch = node.callWithin(MOMENT.multipliedBy(1L << i), discovery);
        }
        assertOnly("one"); // the whole list counts, whatever its revision
        assertEquals(0, node.count(Count.DISCOVERY_FAILURES));
    }

    /** Guards against a discovery that began to count anew: what it says now is what there is. */
    @Test
    void aDiscoveryThatCountsAnewIsFollowed() throws Exception {
        Call watch = serve(SETTINGS);
        watch.answer(whole(900, one.member("s-1", "ready")));
        watch = discovery.next();
        assertEquals("/discovery/hosts?index=900&wait=2000", watch.target);
        watch.answer(whole(3, other.member("s-2", "ready")));
        node.await(Count.DISCOVERY_LISTS, 3);
        assertOnly("other");
        watch = discovery.next();
        assertEquals("/discovery/hosts?index=3&wait=2000", watch.target);
        watch.answer(changes(2, one.member("s-1", "ready"), other.member("s-2", "gone")));
        watch = node.callWithin(MOMENT, discovery);
        assertEquals("/discovery/hosts", watch.target, "changes to an older list say nothing of this one");
        assertOnly("other");
        watch.answer(whole(-4, one.member("s-1", "ready")));
        watch = node.callWithin(MOMENT.multipliedBy(2), discovery);
        assertEquals("/discovery/hosts", watch.target, "no revision that a watch could go on from");
        watch.answer(whole(0, one.member("s-1", "ready")));
        assertEquals("/discovery/hosts?index=0&wait=2000", discovery.next().target);
        assertOnly("one");
        assertEquals(2, node.count(Count.DISCOVERY_MALFORMED));
    }

    /** Guards what changes while no call is out: the next call on the kept connection goes on from the last answer. */
    @ParameterizedTest
    @ValueSource(ints = {0, 199, 201, 5000})
    void whatChangesBetweenTwoCallsIsToldByTheNext(int millisecondsLater) throws Exception {
        Call watch = serve(SETTINGS);
        watch.answer(changes(1)); // at once and with nothing new: the next call comes later
        node.await(Count.DISCOVERY_LISTS, 2);
        assertNull(discovery.calls.poll());
        node.pass(Duration.ofMillis(millisecondsLater));
        Call next = node.callWithin(MOMENT, discovery);
        assertTrue(next.target.startsWith("/discovery/hosts?index=1&wait="), next.target);
        next.answer(changes(2, one.member("s-1", "draining")));
        node.await(Count.DISCOVERY_LISTS, 3);
        assertOnly("other");
    }

    /** Guards against a failure that is none: between two calls discovery may end the connection. */
    @Test
    void aConnectionThatEndsBetweenTwoCallsIsOpenedAnew() throws Exception {
        Call watch = serve(SETTINGS);
        watch.answer(changes(1));
        node.await(Count.DISCOVERY_LISTS, 2);
        watch.end();
        watch.awaitClosed();
        assertEquals("/discovery/hosts?index=1&wait=0", node.callWithin(MOMENT, discovery).target);
        assertEquals(0, node.count(Count.DISCOVERY_FAILURES));
    }

    /** A page server whose connections never come up. */
    private String unreachable(String id) throws IOException {
        ServerSocket full = opened(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
        for (int i = 0; i < 2; i++) {
            opened(new Socket(full.getInetAddress(), full.getLocalPort()));
        }
        return one.member(id, "ready").replace(one.address(), "127.0.0.1:" + full.getLocalPort());
    }

    /**
     * Guards a request whose attempt still waits for a connection: the server is left out of a whole list, and so are the
     * others but one. Its attempt is given up at once and costs none of its further ones, and what idles is closed.
     */
    @Test
    void whatAWholeListLeavesOutIsGoneInAllPartsAtOnce() throws Exception {
        Call watch = serve(SETTINGS);
        String lone = whole(2, one.member("s-1", "ready"));
        watch.answer(lone);
        watch = discovery.next();
        assertOnly("one"); // and its connection idles now
        String[] gone = {unreachable("s-3"), unreachable("s-4"), unreachable("s-5"), unreachable("s-6")};
        watch.answer(whole(3, gone));
        watch = discovery.next();
        assertNotNull(one.ended.poll(20, TimeUnit.SECONDS), "what idles is closed");
        long sent = node.count(Count.TRIES_SENT);
        try (Socket client = new Socket("127.0.0.1", node.port())) {
            client.setSoTimeout(20_000);
            client.getOutputStream().write(("GET /article/x HTTP/1.1\r\nHost: x\r\nX-Request-ID: waits\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            node.await(Count.TRIES_SENT, sent + 1);
            watch.answer(whole(4, other.member("s-2", "ready")));
            String answer = StubSite.readMessage(client.getInputStream());
            assertTrue(answer.endsWith("\r\n\r\nother"), answer);
        }
        assertEquals(sent + 2, node.count(Count.TRIES_SENT));
        assertEquals(1, node.count(Count.TRIES_MOOT));
        assertOnly("other");
    }

    /** In which state a discovery is that a node was told to leave, or to go to. */
    enum State { SILENT, REFUSES, NEVER_COMES_UP, RESETS }

    private void bring(ScriptedDiscovery which, State state) throws IOException {
        switch (state) {
            case SILENT -> { }
            case REFUSES, RESETS -> which.refuse();
            case NEVER_COMES_UP -> which.neverComeUp();
            default -> throw new IllegalStateException();
        }
    }

    /** Answers from now on; a call that the node has given up meanwhile is answered in vain, and the next one is not. */
    private void answerNow(ScriptedDiscovery where, Duration within, String list, long lists) throws Exception {
        for (int calls = 0; node.count(Count.DISCOVERY_LISTS) < lists; calls++) {
            assertTrue(calls < 20, node.log.toString());
            Call call = node.callWithin(within, where);
            try {
                call.answer(list);
            } catch (IOException e) {
                // given up
            }
        }
    }

    private void moveTo(ScriptedDiscovery where) throws Exception {
        node.file = config(SETTINGS, where.address(), null);
        node.hangUp();
    }

    /** Guards drains after a move: the old discovery is gone, or says nothing; what the new one tells counts in 4 s. */
    @ParameterizedTest
    @EnumSource
    void aNewAddressIsAskedAtOnceWhateverBecameOfTheOldOne(State old) throws Exception {
        Call watch = serve(SETTINGS);
        if (old == State.RESETS) {
            watch.reset();
        }
        bring(discovery, old);
        ScriptedDiscovery moved = opened(new ScriptedDiscovery());
        moveTo(moved);
        Call first = moved.next();
        assertEquals("/discovery/hosts", first.target);
        assertTrue(node.isUp(), "the old list stands until the new one is in");
        first.answer(whole(1, other.member("s-2", "ready")));
        assertEquals("/discovery/hosts?index=1&wait=2000", moved.next().target);
        assertOnly("other");
        watch.awaitClosed();
    }

    /** The same where the new one is down at first: it is asked again until it is there, and the old one is heard. */
    @ParameterizedTest
    @EnumSource(value = State.class, names = "RESETS", mode = EnumSource.Mode.EXCLUDE)
    void aNewDiscoveryThatIsDownAtFirstIsAskedUntilItIsThereAndTheOldOneIsHeard(State fresh) throws Exception {
        Call watch = serve(SETTINGS);
        ScriptedDiscovery moved = opened(new ScriptedDiscovery());
        bring(moved, fresh);
        moveTo(moved);
        node.pass(Duration.ofMillis(1500));
        watch.answer(whole(2, one.member("s-1", "ready")));
        node.await(Count.DISCOVERY_LISTS, 2);
        assertOnly("one");
        if (fresh != State.SILENT) {
            moved.comeBack();
        }
        answerNow(moved, Duration.ofSeconds(2), whole(1, other.member("s-2", "ready")), 3);
        assertOnly("other");
    }

    /**
     * Guards against a late answer of a discovery that was left while a call to it was out: SIGHUP comes twice, the address
     * goes back and forth, and only who is asked now is heard.
     */
    @Test
    void onlyTheDiscoveryThatIsAskedNowIsHeardHoweverOftenTheAddressChanges() throws Exception {
        Call watch = serve(SETTINGS);
        ScriptedDiscovery moved = opened(new ScriptedDiscovery());
        moveTo(moved);
        Call left = moved.next();
        moveTo(moved);
        assertNull(moved.calls.poll(), "twice the same address is one watch");
        moveTo(discovery); // back, before the new one has said anything
        left.awaitClosed();
        watch.answer(whole(2, one.member("s-1", "ready")));
        watch = discovery.next();
        assertEquals("/discovery/hosts?index=2&wait=2000", watch.target, "the old watch has gone on");
        assertOnly("one");
        moveTo(moved);
        moved.next().answer(whole(1, other.member("s-2", "ready")));
        Call second = moved.next();
        watch.awaitClosed();
        assertOnly("other");
        moveTo(discovery);
        Call back = discovery.next();
        assertEquals("/discovery/hosts", back.target, "no change in between is missed");
        back.answer(whole(3, one.member("s-1", "ready")));
        second.awaitClosed();
        assertOnly("one");
        assertEquals(4, node.count(Count.DISCOVERY_LISTS));
    }

    /** Guards a running node: a file that can't be used, or a part of one, is one line and changes nothing. */
    @Test
    void anUnusableFileIsOneLineAndTheWatchGoesOn() throws Exception {
        Call watch = serve(SETTINGS);
        ScriptedDiscovery moved = opened(new ScriptedDiscovery());
        String good = config(SETTINGS, moved.address(), null);
        String[] bad = {"", good.substring(0, good.length() / 2), good.replace(moved.address(), "nowhere"),
            good.replace("20000, \"effect\"", "-1, \"effect\""), good.replace("article", ""), "[]"};
        for (int i = 0; i < bad.length; i++) {
            int lines = node.log.size();
            node.file = bad[i];
            node.hangUp();
            assertEquals(i + 1, node.count(Count.RELOADS_UNUSABLE), bad[i]);
            assertEquals(lines + 1, node.log.size(), node.log.toString());
            assertTrue(node.log.get(lines).contains("the new configuration can't be used, the old one stands: EDGE_CONFIG"));
        }
        assertNull(moved.calls.poll());
        watch.answer(whole(2, other.member("s-2", "ready")));
        assertEquals("/discovery/hosts?index=2&wait=2000", discovery.next().target);
        assertOnly("other");
    }

    /** Guards requests under way: a file with other classes and deadlines moves discovery, and nothing else of it counts. */
    @Test
    void otherSettingsInANewFileChangeNoRequest() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        StubSite.Peer slow = peer(r -> {
            try {
                answer.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            return StubSite.ok("slow");
        });
        Call watch = serve(SETTINGS);
        watch.answer(whole(2, slow.member("s-1", "ready")));
        watch = discovery.next();
        try (Socket client = new Socket("127.0.0.1", node.port())) {
            client.setSoTimeout(20_000);
            client.getOutputStream().write(("GET /article/x HTTP/1.1\r\nHost: x\r\nX-Request-ID: open\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            assertTrue(slow.requests.take().contains("X-Timeout: 20000000u"));
            ScriptedDiscovery moved = opened(new ScriptedDiscovery());
            node.file = config(SETTINGS.replace("article", "video").replace("2000, \"deadline_ms\": 20000", "20, \"deadline_ms\": 50")
                    .replace("\"zones\": [\"a\"]", "\"zones\": [\"b\"]"), moved.address(), whole(9));
            node.hangUp();
            moved.next().answer(whole(1, slow.member("s-1", "ready"), other.member("s-2", "ready")));
            moved.next();
            node.pass(Duration.ofMillis(500)); // beyond the deadline of the new file
            assertEquals(1, node.count(Count.REQUESTS_TAKEN) - node.count(Count.ANSWERS_SERVED));
            answer.countDown();
            assertTrue(StubSite.readMessage(client.getInputStream()).endsWith("slow"));
        }
        assertTrue(node.get("/video/7").startsWith("HTTP/1.1 404 "));
        while (other.requests.isEmpty()) {
            assertTrue(node.get("/article/7").startsWith("HTTP/1.1 200 "));
        }
        assertTrue(other.requests.take().matches("(?s).*X-Timeout: 20000000u.*"));
    }

    /** Guards readiness: with the list of its last life a node serves soon, in whatever state discovery is. */
    @ParameterizedTest
    @EnumSource(value = State.class, names = "RESETS", mode = EnumSource.Mode.EXCLUDE)
    void aNodeWithAKnownListIsUpSoonWhileDiscoveryIsDown(State state) throws Exception {
        bring(discovery, state);
        node = new DrivenNode(config(SETTINGS, discovery.address(), whole(7, one.member("s-1", "ready"))));
        assertFalse(node.isUp());
        node.pass(Duration.ofMillis(250));
        assertTrue(node.isUp());
        assertOnly("one");
        if (state != State.SILENT) {
            discovery.comeBack();
        }
        Call call = node.callWithin(Duration.ofSeconds(2), discovery);
        assertEquals("/discovery/hosts?index=7&wait=0", call.target);
    }

    /** The same without any list: it is not up, and is as soon as discovery has told one. */
    @ParameterizedTest
    @EnumSource(value = State.class, names = "RESETS", mode = EnumSource.Mode.EXCLUDE)
    void aNodeWithoutAListIsUpAsSoonAsDiscoveryIsBack(State state) throws Exception {
        bring(discovery, state);
        node = new DrivenNode(config(SETTINGS, discovery.address(), null));
        node.pass(Duration.ofSeconds(12));
        assertFalse(node.isUp());
        if (state != State.SILENT) {
            discovery.comeBack();
        }
        answerNow(discovery, Duration.ofSeconds(2), both(), 1);
        assertTrue(node.isUp());
    }
}
