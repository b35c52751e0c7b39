package routerfleet.data;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;
import static org.hamcrest.Matchers.sameInstance;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import routerfleet.wire.SessionRecord;

/** Which bytes of a connection are taken for the answer to a request, written by hand on the server's side. */
class UpstreamConnectionTest {
    private static final long MAX_WAIT_S = 5;
    private static final String SUCCESS = "HTTP/1.1 200 OK\r\nRowanplank-Server-Signature: s.1\r\n";
    private static final String STREAM = "HTTP/1.1 200 OK\r\nRowanplank-Server-Signature: s.1\r\n"
            + "Content-Type: text/event-stream\r\n";

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    private final BlockingQueue<String> outcomes = new LinkedBlockingQueue<>();
    private final List<String> forwardedIds = new CopyOnWriteArrayList<>();
    private boolean clientIsSlow;
    private ServerSocket listener;
    private Server server;
    private UpstreamConnection connection;
    private Socket socket;

    /** Turns the outcome of an attempt into a text. */
    private final class Outcomes implements Attempt.Listener {
        @Override
        public void eventReceived(Attempt attempt, StreamEvent event) {
            forwardedIds.add(event.id());
            if (clientIsSlow) {
                attempt.pauseReading();
            }
        }

        @Override
        public void responseComplete(Attempt attempt) {
            outcomes.add(attempt.isStreaming() ? "stream"
                    : attempt.head().status().code() + " " + new String(attempt.body(), StandardCharsets.US_ASCII));
        }

        @Override
        public void responseFailed(Attempt attempt, String reason) {
            outcomes.add("failed: " + reason);
        }
    }

    @BeforeEach
    void connect() throws Exception {
        listener = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
        server = new Server(new SessionRecord("s", "llm", "127.0.0.1:" + listener.getLocalPort(), "a", 16,
                SessionRecord.Phase.READY, 1, 0));
        server.listed(true);
        ChannelFuture connected = UpstreamConnection.open(loop, server);
        socket = listener.accept();
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(MAX_WAIT_S));
        connected.get(MAX_WAIT_S, TimeUnit.SECONDS);
        connection = UpstreamConnection.of(connected.channel());
    }

    @AfterEach
    void end() throws IOException {
        socket.close();
        listener.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static String answer(String head, String id, String body) {
        return head + (id == null ? "" : "Rowanplank-Attempt-Id: " + id + "\r\n") + "Content-Length: " + body.length()
                + "\r\n\r\n" + body;
    }

    private <T> T onLoop(Callable<T> call) throws Exception {
        return loop.submit(call).get(MAX_WAIT_S, TimeUnit.SECONDS);
    }

    private void request(String id) throws Exception {
        request(id, ResumePoint.START);
    }

    private void request(String id, ResumePoint from) throws Exception {
        onLoop(() -> {
            FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/" + id);
            new Attempt(new Outcomes(), server, true, ColdAdmission.NO_PERMIT)
                    .send(connection, request, id, from);
            return null;
        });
        String head = "";
        for (int c = 0; c >= 0 && !head.endsWith("\r\n\r\n"); head += c < 0 ? "" : (char) c) {
            c = socket.getInputStream().read();
        }
        assertThat(head, containsString("/" + id));
    }

    private void write(String bytes) throws IOException {
        socket.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
    }

    private String outcome() throws InterruptedException {
        return outcomes.poll(MAX_WAIT_S, TimeUnit.SECONDS);
    }

    private UpstreamConnection idleConnection() throws Exception {
        Server.IdleConnection idle = onLoop(() -> server.takeIdleConnection(0, Long.MAX_VALUE));
        return idle == null ? null : idle.connection();
    }

    private void assertClosed() throws Exception {
        assertThat(connection.channel().closeFuture().await(MAX_WAIT_S, TimeUnit.SECONDS), is(true));
        assertThat(idleConnection(), is(nullValue()));
    }

    @Test
    void aConnectionIsReusedAfterAWholeAnswer() throws Exception {
        request("one");
        write(answer(SUCCESS, "one", "first"));
        assertThat(outcome(), is("200 first"));
        assertThat(idleConnection(), is(sameInstance(connection)));
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK\r\nRowanplank-Server-Signature: s.1\r\nContent-Length: 5\r\n\r\nextra",
            "HTTP/1.1 200 OK\r\nRowanplank-Serv", "noise", "\r\n"})
    void aConnectionOnWhichMoreBytesFollowAnAnswerIsNotReused(String extra) throws Exception {
        request("one");
        write(answer(SUCCESS, "one", "first") + extra);
        assertThat(outcome(), is("200 first"));
        assertClosed();
    }

    @Test
    void aConnectionOnWhichBytesArriveWhileItIsIdleIsClosed() throws Exception {
        request("one");
        write(answer(SUCCESS, "one", "first"));
        assertThat(outcome(), is("200 first"));
        write("HTTP/1.1 2");
        assertClosed();
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "Rowanplank-Attempt-Id: one\r\n", "Rowanplank-Attempt-Id: other\r\n"})
    void anAnswerThatDoesNotNameTheRequestIsNotItsAnswer(String header) throws Exception {
        request("one");
        write(answer(SUCCESS, "one", "first"));
        assertThat(outcome(), is("200 first"));
        request("two");
        write(answer(SUCCESS + header, null, "extra") + answer(SUCCESS, "two", "second"));
        assertThat(outcome(), is("200 second"));
        assertClosed();
    }

    @Test
    void aFailureThatNamesNoRequestPromisesNothing() throws Exception {
        request("one");
        write(answer("HTTP/1.1 503 Service Unavailable\r\nRowanplank-Not-Executed: 1\r\n", null, ""));
        assertThat(outcome(), containsString("failed"));
        assertClosed();
    }

    @Test
    void anInformationalResponseIsNotTheAnswer() throws Exception {
        request("one");
        write("HTTP/1.1 103 Early Hints\r\n\r\n" + answer(SUCCESS, "one", "first"));
        assertThat(outcome(), is("200 first"));
        assertThat(idleConnection(), is(notNullValue()));
    }

    @Test
    void aConnectionIsReadAgainAfterAStreamThatEndedWhileItsClientWasSlow() throws Exception {
        clientIsSlow = true;
        request("one");
        write(answer(STREAM, "one", "id: 1\ndata: x\n\n"));
        assertThat(outcome(), is("stream"));
        request("two");
        write(answer(SUCCESS, "two", "second"));
        assertThat(outcome(), is("200 second"));
    }

    @Test
    void eventsThatAServerRepeatsBeforeThePointOfResumptionAreNotForwarded() throws Exception {
        request("one", ResumePoint.after("10"));
        write(answer(STREAM, "one", "id: 5\ndata: x\n\nid: 10\ndata: x\n\nid: 15\ndata: x\n\nid: 20\ndata: x\n\n"));
        assertThat(outcome(), is("stream"));
        assertThat(forwardedIds, is(List.of("15", "20")));
    }

    @Test
    void aStreamThatEndsBeforeThePointOfResumptionIsNotComplete() throws Exception {
        request("one", ResumePoint.after("10"));
        write(answer(STREAM, "one", "id: 5\ndata: x\n\n"));
        assertThat(outcome(), containsString("failed"));
    }

    // MIXED: a whole answer that has no length was replaced by 502.
    @ParameterizedTest
    @ValueSource(strings = {SUCCESS, STREAM})
    void anAnswerWithoutLengthIsWholeWhenItsConnectionEndsInOrder(String head) throws Exception {
        request("one");
        write(head + "Rowanplank-Attempt-Id: one\r\n\r\nid: 1\ndata: x\n\n");
        socket.close();
        assertThat(outcome(), is(head.equals(STREAM) ? "stream" : "200 id: 1\ndata: x\n\n"));
        assertClosed();
    }

    @ParameterizedTest
    @ValueSource(strings = {SUCCESS, STREAM})
    void anAnswerWithoutLengthIsNotWholeWhenItsConnectionIsReset(String head) throws Exception {
        request("one");
        write(head + "Rowanplank-Attempt-Id: one\r\n\r\nid: 1\ndata: x\n\n");
        socket.setSoLinger(true, 0);
        socket.close();
        assertThat(outcome(), containsString("failed"));
        assertClosed();
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "id: 1\ndata: x\n\nid: 2\nda"})
    void aStreamWithoutLengthThatEndsBeforeItsHeadOrInsideAnEventIsNotWhole(String events) throws Exception {
        request("one");
        write(events.isEmpty() ? STREAM : STREAM + "Rowanplank-Attempt-Id: one\r\n\r\n" + events);
        socket.close();
        assertThat(outcome(), containsString("failed"));
    }
}
