package rowanplank.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A socket's end point that tells a reset from an orderly end. Jetty's own reads both as an end of the stream, so that an
 * answer without framing, which ends with its connection, passes for whole when it is cut short by a reset.
 */
final class ResetAwareEndPoint extends SocketChannelEndPoint {
    ResetAwareEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
        super(channel, selector, key, scheduler);
    }

    /**
     * Reads what has come into a buffer that is in flush mode, as Jetty has it.
     *
     * @return how many bytes were read; -1 at the orderly end of the stream, and after a reset was told
     * @throws IOException once, if the connection was reset
     */
    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        if (isInputShutdown()) {
            return -1;
        }
        int position = BufferUtil.flipToFill(buffer);
        try {
            int filled = getChannel().read(buffer);
            if (filled > 0) {
                notIdle();
            } else if (filled < 0) {
                shutdownInput();
            }
            return filled;
        } catch (IOException e) {
            shutdownInput();
            throw e;
        } finally {
            BufferUtil.flipToFlush(buffer, position);
        }
    }
}
