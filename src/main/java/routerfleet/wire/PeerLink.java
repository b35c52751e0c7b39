package routerfleet.wire;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * One connection between two processes of the fleet: frames of four bytes' length and a message. Both sides ask each
 * other whether they are there; a side that hears nothing for too long closes the connection ({@link LinkTiming}).
 */
public final class PeerLink extends SimpleChannelInboundHandler<ByteBuf> {
    private static final int MOST_FRAME_BYTES = 16 << 20;
    private static final int LENGTH_BYTES = 4;
    /** Bytes that wait unsent; a peer that lets more pile up is cut off, and starts afresh. */
    private static final long MOST_WAITING_BYTES = 32L << 20;

    /** Who gets the messages of a connection. */
    public interface Listener {
        /** The connection is up. */
        void opened(PeerLink link);

        /** A message has come. */
        void received(PeerLink link, PeerMessage message);

        /** The connection is gone. */
        void closed(PeerLink link);
    }

    private final PeerCodec codec;
    private final Listener listener;
    private Channel channel;
    private LinkTiming timing;
    private ScheduledFuture<?> watch;
    private long heardAt;

    /** @param codec of the thread on which the channel runs */
    public PeerLink(PeerCodec codec, LinkTiming timing, Listener listener) {
        this.codec = codec;
        this.timing = timing;
        this.listener = listener;
    }

    /** Puts a link into a new channel's pipeline. */
    public static void install(ChannelPipeline pipeline, PeerCodec codec, LinkTiming timing, Listener listener) {
        pipeline.addLast(new LengthFieldBasedFrameDecoder(MOST_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
        pipeline.addLast(new PeerLink(codec, timing, listener));
    }

    /** Sends a message; dropped where the connection is gone. */
    public void send(PeerMessage message) {
        if (channel == null || !channel.isActive()) {
            return;
        }
        if (channel.unsafe().outboundBuffer() != null
                && channel.unsafe().outboundBuffer().totalPendingWriteBytes() > MOST_WAITING_BYTES) {
            channel.close();
            return;
        }
        byte[] bytes = codec.encode(message);
        ByteBuf frame = Unpooled.buffer(LENGTH_BYTES + bytes.length);
        frame.writeInt(bytes.length).writeBytes(bytes);
        channel.writeAndFlush(frame, channel.voidPromise());
    }

    /** Ends the connection. */
    public void close() {
        if (channel != null) {
            channel.close();
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        heardAt = channel.eventLoop().ticker().nanoTime();
        watchAfter(timing.askAfterMs());
        listener.opened(this);
    }

    /** Watches the other side's silence otherwise from now on: it has said what it is. */
    public void timing(LinkTiming changed) {
        timing = changed;
        if (watch != null) {
            watch.cancel(false);
            watchAfter(timing.askAfterMs());
        }
    }

    private void watchAfter(long delayMs) {
        watch = channel.eventLoop().schedule(this::checkSilence, Math.max(1, delayMs), TimeUnit.MILLISECONDS);
    }

    private void checkSilence() {
        long silentMs = TimeUnit.NANOSECONDS.toMillis(channel.eventLoop().ticker().nanoTime() - heardAt);
        if (silentMs >= timing.lostAfterMs()) {
            close();
        } else if (silentMs >= timing.askAfterMs()) {
            send(new PeerMessage.Ping(0));
            watchAfter(Math.min(timing.askAfterMs(), timing.lostAfterMs() - silentMs));
        } else {
            watchAfter(timing.askAfterMs() - silentMs);
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) throws Exception {
        heardAt = channel.eventLoop().ticker().nanoTime();
        byte[] bytes = new byte[frame.readableBytes()];
        frame.readBytes(bytes);
        PeerMessage message = codec.decode(bytes, PeerMessage.class);
        if (message instanceof PeerMessage.Ping ping) {
            send(new PeerMessage.Pong(ping.id()));
        } else if (!(message instanceof PeerMessage.Pong)) {
            listener.received(this, message);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (watch != null) {
            watch.cancel(false);
            listener.closed(this);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof java.io.IOException)) {
            System.getLogger("routerfleet.wire").log(System.Logger.Level.WARNING, "connection closed: " + cause);
        }
        context.close();
    }
}
