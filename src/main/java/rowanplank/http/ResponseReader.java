package rowanplank.http;

import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpCompliance;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpVersion;

/**
 * Puts an HTTP answer together from the pieces in which it comes. An answer is whole where its own framing says so; one
 * without framing ends with its connection (RFC 9112, 6.3), and is whole if that ends in order.
 */
public final class ResponseReader {
    /** How far an answer has come. */
    public enum Progress { MORE, WHOLE, BROKEN }

    /** Nobody here asks for another protocol, and what follows would be none of HTTP. */
    private static final int SWITCHING = 101;

    private final int mostHeld;
    private final long mostBytes;
    private final Handler handler;
    private final HttpParser parser;
    private Progress progress = Progress.MORE;
    private HttpVersion version;
    private int status;
    private boolean toHead;
    private boolean headed;
    private boolean framed;

    /** Takes bodies that are held whole, and no larger ones. */
    public ResponseReader(int mostBytes) {
        this(mostBytes, mostBytes);
    }

    /** @param mostHeld so much of a body is held, in bytes @param mostBytes the longest body that is taken */
    public ResponseReader(int mostHeld, long mostBytes) {
        this.mostHeld = mostHeld;
        this.mostBytes = mostBytes;
        handler = new Handler();
        parser = Messages.lean(new HttpParser(handler, Messages.MOST_HEADER_BYTES, HttpCompliance.RFC9110));
    }

    /**
     * Reads on; what lies beyond the answer's end stays in the buffer, and so does what follows the held part of a large
     * body until it is said where it goes ({@link #passOn}).
     */
    public Progress read(ByteBuffer bytes) {
        while (progress == Progress.MORE && bytes.hasRemaining() && !handler.isLarge()) {
            int before = bytes.remaining();
            parser.parseNext(bytes);
            if (progress == Progress.MORE && parser.isComplete()) {
                reset(toHead); // an interim answer (1xx): the real one follows
            } else if (progress == Progress.MORE && bytes.remaining() == before) {
                progress = Progress.BROKEN; // guards against a parser that takes nothing more
            }
        }
        return progress;
    }

    /** The connection has ended in order: an answer without framing is whole then, any other is cut short. */
    public Progress end() {
        if (progress == Progress.MORE && headed && !framed && !handler.isLarge()) {
            progress = Progress.WHOLE;
        } else if (progress == Progress.MORE) {
            progress = Progress.BROKEN;
        }
        return progress;
    }

    /** Makes ready for the next answer on the same connection. */
    public void reset() {
        reset(false);
    }

    /** The same. @param head whether it answers a HEAD, and has no body whatever it tells of one */
    public void reset(boolean head) {
        toHead = head;
        parser.reset();
        parser.setHeadResponse(toHead);
        handler.reset();
        progress = Progress.MORE;
        headed = false;
        framed = false;
    }

    /** Whether the head of the final answer is in. */
    public boolean hasHead() {
        return headed;
    }

    /** Whether it answers a HEAD. */
    public boolean isToHead() {
        return toHead;
    }

    /** Whether the answer's framing tells where it ends, rather than its connection. */
    public boolean isFramed() {
        return framed;
    }

    /** Whether more of the body has come, or is told to come, than is held. */
    public boolean isLarge() {
        return headed && !toHead && (handler.isLarge() || parser.getContentLength() > mostHeld);
    }

    /** The length of the body as the peer tells it; -1 where it does not. */
    public long length() {
        return parser.isChunking() ? -1 : parser.getContentLength();
    }

    /** What of the body is not held goes there, piece by piece. */
    public void passOn(Consumer<ByteBuffer> rest) {
        handler.passOn(rest);
    }

    public int status() {
        return status;
    }

    public byte[] body() {
        return handler.body();
    }

    /** How much of the body has come. */
    public int bodySize() {
        return handler.bodySize();
    }

    public HttpFields fields() {
        return handler.fields();
    }

    public String field(String name) {
        return handler.fields().get(name);
    }

    /** Whether the connection may carry another request. */
    public boolean keepsConnection() {
        return progress == Progress.WHOLE && framed && version == HttpVersion.HTTP_1_1
                && !handler.fields().contains(HttpHeader.CONNECTION, "close");
    }

    private final class Handler extends MessageHandler implements HttpParser.ResponseHandler {
        Handler() {
            super(mostHeld, mostBytes);
        }

        @Override
        public void startResponse(HttpVersion version, int status, String reason) {
            ResponseReader.this.version = version;
            ResponseReader.this.status = status;
        }

        @Override
        protected void tooLong() {
            progress = Progress.BROKEN;
        }

        @Override
        protected void tooManyFields() {
            progress = Progress.BROKEN;
        }

        @Override
        public boolean headerComplete() {
            framed = fields().contains(HttpHeader.CONTENT_LENGTH) || parser.isChunking()
                    || status / 100 == 1 || status == 204 || status == 304;
            headed = status / 100 != 1;
            if (parser.getContentLength() > mostBytes || status == SWITCHING) {
                progress = Progress.BROKEN;
            }
            return progress == Progress.BROKEN;
        }

        @Override
        public boolean messageComplete() {
            if (progress == Progress.MORE && status / 100 != 1) {
                progress = Progress.WHOLE;
            }
            return true;
        }

        @Override
        public void badMessage(HttpException failure) {
            progress = Progress.BROKEN;
        }

        @Override
        public void earlyEOF() {
            progress = Progress.BROKEN;
        }
    }
}
