package rowanplank.http;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpCompliance;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.HttpVersion;

/** Puts an HTTP request together from the pieces in which it comes, or says why it can't be taken. */
public final class RequestReader {
    private final Handler handler;
    private final HttpParser parser;
    private final long mostBody;
    private String method;
    private String target;
    private HttpVersion version;
    private boolean begun;
    private boolean whole;
    private int error;

    /** Takes bodies that are held whole, and no larger ones. */
    public RequestReader() {
        this(Messages.MOST_HELD_BYTES);
    }

    /** @param mostBody the longest body that is taken, in bytes */
    public RequestReader(long mostBody) {
        this.mostBody = mostBody;
        handler = new Handler();
        parser = Messages.lean(new HttpParser(handler, Messages.MOST_HEADER_BYTES, HttpCompliance.RFC9110));
    }

    /**
     * Reads on; what lies beyond the request's end stays in the buffer.
     *
     * @return whether there is something to do: a whole request, an error, or a body larger than what is held, of which
     *     no more is read until it is said where it goes ({@link #passOn})
     */
    public boolean read(ByteBuffer bytes) {
        while (!done() && bytes.hasRemaining()) {
            int before = bytes.remaining();
            begun = true;
            parser.parseNext(bytes);
            if (!done() && bytes.remaining() == before) {
                error = HttpStatus.BAD_REQUEST_400; // guards against a parser that takes nothing more
            }
        }
        return done();
    }

    private boolean done() {
        return whole || error != 0 || handler.isLarge();
    }

    /** Whether the body is larger than what is held of it. */
    public boolean isLarge() {
        return handler.isLarge();
    }

    /** What of the body is not held goes there, piece by piece. */
    public void passOn(Consumer<ByteBuffer> rest) {
        handler.passOn(rest);
    }

    /** Whether the request has come to its end without an error. */
    public boolean isWhole() {
        return whole;
    }

    /** The length of the body as the client tells it; -1 where it does not. */
    public long length() {
        return parser.getContentLength();
    }

    /** Whether the client reads chunked answers. */
    public boolean readsChunks() {
        return version == HttpVersion.HTTP_1_1;
    }

    /** Makes ready for the next request on the same connection. */
    public void reset() {
        parser.reset();
        handler.reset();
        begun = false;
        whole = false;
    }

    public int bodySize() {
        return handler.bodySize();
    }

    /** Whether part of a request has come. */
    public boolean begun() {
        return begun;
    }

    /** The status that tells what is wrong with the request; 0 if nothing is. */
    public int error() {
        return error;
    }

    public String method() {
        return method;
    }

    public String target() {
        return target;
    }

    public byte[] body() {
        return handler.body();
    }

    public HttpFields fields() {
        return handler.fields();
    }

    public String field(String name) {
        return handler.fields().get(name);
    }

    public boolean keepsConnection() {
        return error == 0 && version == HttpVersion.HTTP_1_1 && !handler.fields().contains(HttpHeader.CONNECTION, "close");
    }

    /** Whether the client waits for leave to send the body. */
    public boolean expectsContinue() {
        return !whole && error == 0 && parser.inContentState() && handler.bodySize() == 0
                && handler.fields().contains(HttpHeader.EXPECT, "100-continue");
    }

    private final class Handler extends MessageHandler implements HttpParser.RequestHandler {
        Handler() {
            super(Messages.MOST_HELD_BYTES, mostBody);
        }

        @Override
        public void startRequest(String method, String target, HttpVersion version) {
            RequestReader.this.method = method;
            RequestReader.this.target = target;
            RequestReader.this.version = version;
        }

        @Override
        protected void tooLong() {
            error = HttpStatus.PAYLOAD_TOO_LARGE_413;
        }

        @Override
        protected void tooManyFields() {
            error = HttpStatus.REQUEST_HEADER_FIELDS_TOO_LARGE_431;
        }

        @Override
        public boolean headerComplete() {
            if (parser.getContentLength() > mostBody) {
                error = HttpStatus.PAYLOAD_TOO_LARGE_413;
            }
            // The parser undoes the last coding only: passed on, the others would no longer be told of.
            List<String> codings = fields().getCSV(HttpHeader.TRANSFER_ENCODING, false);
            if (!codings.isEmpty() && (codings.size() > 1 || !codings.get(0).equalsIgnoreCase("chunked"))) {
                error = HttpStatus.NOT_IMPLEMENTED_501;
            } else if (!codings.isEmpty() && version != HttpVersion.HTTP_1_1) {
                error = HttpStatus.BAD_REQUEST_400; // whoever reads it by version 1.0 finds another end
            }
            return error != 0;
        }

        @Override
        public boolean messageComplete() {
            whole = error == 0;
            return true;
        }

        @Override
        public void badMessage(HttpException failure) {
            error = error == 0 ? failure.getCode() : error;
        }

        @Override
        public void earlyEOF() {
            error = HttpStatus.BAD_REQUEST_400;
        }
    }
}
