package rowanplank.intake.http;

import java.nio.ByteBuffer;
import rowanplank.exchange.Transfer;
import rowanplank.http.Messages;

/** A large answer on its way to a client: written as it comes, one piece at a time. */
final class LargeAnswer {
    /** How the client learns where it ends. */
    enum Framing { LENGTH, CHUNKED, UNTIL_CLOSE }

    /** The connection that it is written to. */
    interface Connection {
        /** Writes these bytes, and says so once that is done. */
        void writePiece(Runnable written, ByteBuffer... piece);

        /** There is nothing to write for the moment: the client is not the one who is slow. */
        void awaitsPiece();

        /** All is written. */
        void answerWritten();

        /** The rest will not come. @param framing tells the client of it, or not */
        void answerBroken(Framing framing);
    }

    private final Transfer body;
    private final Framing framing;
    private final Connection connection;
    private boolean writing;
    private boolean over;

    LargeAnswer(Transfer body, Framing framing, Connection connection) {
        this.body = body;
        this.framing = framing;
        this.connection = connection;
    }

    void begin(ByteBuffer head) {
        write(head);
        body.setReader(this::next);
    }

    /** The client is gone. */
    void abandon() {
        over = true;
        body.abandon();
    }

    private void write(ByteBuffer... bytes) {
        writing = true;
        connection.writePiece(() -> {
            writing = false;
            connection.awaitsPiece();
            next();
        }, bytes);
    }

    private void next() {
        if (writing || over) {
            return;
        }
        ByteBuffer piece = body.poll();
        if (piece != null) {
            write(framing == Framing.CHUNKED ? Messages.chunk(piece) : new ByteBuffer[] {piece});
        } else if (body.isFullyRead()) {
            over = true;
            if (framing == Framing.CHUNKED) {
                connection.writePiece(connection::answerWritten, Messages.lastChunk());
            } else {
                connection.answerWritten();
            }
        } else if (body.hasFailed()) {
            over = true;
            connection.answerBroken(framing);
        }
    }
}
