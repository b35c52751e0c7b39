package rowanplank.http;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpCompliance;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpVersion;

/**
 * Puts an HTTP answer together from the pieces in which it comes. An answer counts as whole only if its own framing
 * says so: one that merely ends with its connection can't be told from one that was cut short, and is broken.
 */
public final class ResponseReader {
    /** How far an answer has come. */
    public enum Progress { MORE, WHOLE, BROKEN }

    private final int mostBytes;
    private final Handler handler;
    private final HttpParser parser;
    private Progress progress = Progress.MORE;
    private HttpVersion version;
    private int status;

    public ResponseReader(int mostBytes) {
        this.mostBytes = mostBytes;
        handler = new Handler();
        parser = Messages.lean(new HttpParser(handler, Messages.MOST_HEADER_BYTES, HttpCompliance.RFC9110));
    }

    /** Reads on; what lies beyond the answer's end stays in the buffer. */
    public Progress read(ByteBuffer bytes) {
        while (progress == Progress.MORE && bytes.hasRemaining()) {
            int before = bytes.remaining();
            parser.parseNext(bytes);
            if (progress == Progress.MORE && parser.isComplete()) {
                reset(); // an interim answer (1xx): the real one follows
            } else if (progress == Progress.MORE && bytes.remaining() == before) {
                progress = Progress.BROKEN; // guards against a parser that takes nothing more
            }
        }
        return progress;
    }

    /** Makes ready for the next answer on the same connection. */
    public void reset() {
        parser.reset();
        handler.reset();
        progress = Progress.MORE;
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
        return progress == Progress.WHOLE && version == HttpVersion.HTTP_1_1
                && !handler.fields().contains(HttpHeader.CONNECTION, "close");
    }

    private final class Handler extends MessageHandler implements HttpParser.ResponseHandler {
        Handler() {
            super(mostBytes);
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
            boolean framed = fields().contains(HttpHeader.CONTENT_LENGTH) || parser.isChunking()
                    || status / 100 == 1 || status == 204 || status == 304;
            if (!framed || parser.getContentLength() > mostBytes) {
                progress = Progress.BROKEN;
            }
            return !framed;
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
