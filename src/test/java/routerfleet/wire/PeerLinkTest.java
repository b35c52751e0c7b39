package routerfleet.wire;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** How a connection between two processes watches the other side's silence. */
class PeerLinkTest {
    private final PeerCodec codec = new PeerCodec();
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private PeerLink opened;
    private boolean closed;

    private final class Listener implements PeerLink.Listener {
        @Override
        public void opened(PeerLink link) {
            opened = link;
        }

        @Override
        public void received(PeerLink link, PeerMessage message) {
            // what comes is of no interest here
        }

        @Override
        public void closed(PeerLink link) {
            closed = true;
        }
    }

    PeerLinkTest() {
        channel.freezeTime();
        NettyPeerNetwork.install(channel.pipeline(), codec, LinkTiming.DATA, new Listener());
        channel.pipeline().fireChannelActive();
    }

    private void pass(long millis) {
        channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
        channel.runPendingTasks();
    }

    private PeerMessage sent() throws PeerCodec.MalformedMessageException {
        ByteBuf frame = channel.readOutbound();
        if (frame == null) {
            return null;
        }
        byte[] bytes = new byte[frame.readInt()];
        frame.readBytes(bytes);
        return codec.decode(bytes, PeerMessage.class);
    }

    private void hear() {
        byte[] bytes = codec.encode(new PeerMessage.Pong(0));
        channel.writeInbound(Unpooled.buffer().writeInt(bytes.length).writeBytes(bytes));
    }

    @Test
    void aSilentSideIsAskedAndThenGivenUp() throws Exception {
        pass(LinkTiming.DATA.askAfterMs() - 1);
        assertThat(sent(), is(nullValue()));
        pass(1);
        assertThat(sent(), is(instanceOf(PeerMessage.Ping.class)));
        pass(LinkTiming.DATA.lostAfterMs() - LinkTiming.DATA.askAfterMs() - 1);
        assertThat(closed, is(false));
        pass(1);
        assertThat(closed, is(true));
    }

    @Test
    void aSideThatIsHeardIsNotAsked() throws Exception {
        for (int i = 0; i < 10; i++) {
            pass(LinkTiming.DATA.askAfterMs() - 200);
            hear();
        }
        assertThat(sent(), is(nullValue()));
        assertThat(closed, is(false));
    }

    /** Guards the replacement of a lost control node: one that has said that it is one is missed sooner. */
    @Test
    void theTimingOfControlNodesHoldsOnceTheOtherSideIsOne() {
        opened.timing(LinkTiming.CONTROL);
        pass(LinkTiming.CONTROL.askAfterMs());
        pass(LinkTiming.CONTROL.lostAfterMs());
        assertThat(closed, is(true));
    }
}
