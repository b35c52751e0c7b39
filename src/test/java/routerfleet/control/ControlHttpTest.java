package routerfleet.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import routerfleet.config.ConfigOrder;

/** The order of answers on one connection, whatever comes in one segment and whoever is slower to answer. */
class ControlHttpTest {
    private record Held(ControlHttp.Request request, Consumer<ControlHttp.Response> answer) { }

    private final List<Held> held = new ArrayList<>();
    private final EmbeddedChannel channel = new EmbeddedChannel();

    ControlHttpTest() {
        ControlHttp.install(channel.pipeline(), (request, answer) -> held.add(new Held(request, answer)));
    }

    private void receive(String bytes) {
        channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.US_ASCII));
    }

    private String sent() {
        StringBuilder all = new StringBuilder();
        for (ByteBuf part; (part = channel.readOutbound()) != null;) {
            all.append(part.toString(StandardCharsets.US_ASCII));
            part.release();
        }
        return all.toString();
    }

    private void answer(int index, String body) {
        held.get(index).answer().accept(new ControlHttp.Response(200, body.getBytes(StandardCharsets.US_ASCII)));
    }

    private static String get(String path) {
        return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n";
    }

    /** Guards against answers that change places: the second request may not pass the first, in one segment or in two. */
    @Test
    void aRequestIsHandledOnlyOnceTheOneBeforeItIsAnswered() {
        receive(get("/one") + get("/two"));
        receive(get("/three"));
        assertThat(held, hasSize(1));
        answer(0, "first");
        assertThat(held, hasSize(2));
        answer(1, "second");
        answer(2, "third");
        String all = sent();
        assertThat(all.indexOf("first"), is(greaterThan(-1)));
        assertThat(all.indexOf("first"), is(lessThan(all.indexOf("second"))));
        assertThat(all.indexOf("second"), is(lessThan(all.indexOf("third"))));
        assertThat(held.get(1).request().path(), is("/two"));
    }

    /** Guards against orders that were held up: a caller that has gone no longer waits, though its request is in hand. */
    @Test
    void aCallerThatHasGoneDoesNotWait() {
        receive(get("/one"));
        assertThat(held.get(0).request().callerConnected().getAsBoolean(), is(true));
        channel.close();
        assertThat(held.get(0).request().callerConnected().getAsBoolean(), is(false));
    }

    @Test
    void anAnswerGivenTwiceIsSentOnce() {
        receive(get("/one") + get("/two"));
        answer(0, "first");
        answer(0, "again");
        assertThat(sent(), not(containsString("again")));
        answer(1, "second");
        assertThat(sent(), containsString("second"));
    }

    @Test
    void nothingIsHandledBehindTheRequestThatEndsTheConnection() {
        receive("GET /one HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n" + get("/two"));
        answer(0, "first");
        assertThat(held, hasSize(1));
        assertThat(channel.isOpen(), is(false));
    }

    /** Guards what is acknowledged: what can't be kept is refused at once, with what it is and what may be. */
    @Test
    void aBodyThatIsTooLargeIsRefusedInItsTurnWithItsSize() {
        int length = ConfigOrder.MOST_BODY_BYTES + 1;
        receive(get("/one") + "POST /rowanplank/config/replace HTTP/1.1\r\nHost: a\r\nContent-Length: " + length
                + "\r\n\r\n" + "x".repeat(1000));
        assertThat(sent(), is(""));
        answer(0, "first");
        String all = sent();
        assertThat(all.indexOf("first"), is(lessThan(all.indexOf("HTTP/1.1 413"))));
        assertThat(all, containsString(length + " bytes in a body, and at most " + ConfigOrder.MOST_BODY_BYTES));
        assertThat(held, hasSize(1));
    }

    @Test
    void whatIsNoRequestIsRefusedInItsTurn() {
        receive(get("/one") + "no request\r\n\r\n");
        assertThat(sent(), is(""));
        answer(0, "first");
        assertThat(sent(), containsString("HTTP/1.1 400"));
    }

    @Test
    void whoeverSendsManyAtOnceIsCutOff() {
        receive(get("/one").repeat(80));
        assertThat(channel.isOpen(), is(false));
    }
}
