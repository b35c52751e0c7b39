package rowanplank.lab.client;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.function.Consumer;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import rowanplank.lab.client.AnswerReader.Progress;
import rowanplank.net.Loop;
import rowanplank.net.LoopConnection;

/** Asks a node once whether it can serve, over a connection of its own; a second is the most it may take. */
final class UpCheck {
    private static final Duration LONGEST = Duration.ofSeconds(1);

    private final Loop loop;
    private final InetSocketAddress address;
    private final byte[] question;
    private final Consumer<Boolean> told;
    private Loop.Timer timer;
    private Loop.Opening opening;
    private Asked connection;
    private boolean over;

    /** @param told hears once whether the answer was 200 */
    UpCheck(Loop loop, InetSocketAddress address, String path, Consumer<Boolean> told) {
        this.loop = loop;
        this.address = address;
        question = ("GET " + path + " HTTP/1.1\r\nHost: pages.lab\r\nConnection: close\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
        this.told = told;
    }

    void begin() {
        timer = loop.schedule(LONGEST, () -> end(false));
        opening = loop.connect(address, LONGEST, new Loop.Connector() {
            @Override
            public Connection connected(EndPoint endPoint) {
                connection = new Asked(endPoint);
                return connection;
            }

            @Override
            public void failed(Throwable cause) {
                end(false);
            }
        });
    }

    private void end(boolean ready) {
        if (!over) {
            abandon();
            told.accept(ready);
        }
    }

    /** Nothing is told any more. */
    void abandon() {
        over = true;
        timer.cancel();
        opening.abandon();
        if (connection != null) {
            connection.close();
        }
    }

    private final class Asked extends LoopConnection {
        private final AnswerReader reader = new AnswerReader();

        Asked(EndPoint endPoint) {
            super(endPoint, loop);
        }

        @Override
        public void onOpen() {
            super.onOpen();
            write(() -> { }, ByteBuffer.wrap(question));
        }

        @Override
        protected void onBytes(ByteBuffer bytes) {
            progress(reader.read(bytes));
        }

        @Override
        protected void onEnd() {
            progress(reader.end());
            close();
        }

        private void progress(Progress progress) {
            if (progress != Progress.MORE) {
                end(progress == Progress.WHOLE && reader.status() == 200);
            }
        }

        @Override
        protected void onOver() {
            end(false);
        }
    }
}
