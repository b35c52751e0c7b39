package rowanplank.lab.site;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Whole HTTP/1.1 answers as bytes. */
final class Answers {
    static final String TURNED_AWAY = "X-Not-Processed: 1\r\n";
    static final String CLOSE = "Connection: close\r\n";

    private static final int CHUNK = 700;

    private Answers() { }

    /** @param fields whole lines, each with its end */
    static ByteBuffer message(int status, String fields, byte[] body) {
        byte[] head = bytes(head(status, fields) + "Content-Length: " + body.length + "\r\n\r\n");
        return ByteBuffer.allocate(head.length + body.length).put(head).put(body).flip();
    }

    static ByteBuffer message(int status, String fields) {
        return message(status, fields, bytes(reason(status)));
    }

    /** The same in chunks (RFC 9112, 7.1). */
    static ByteBuffer chunked(int status, String fields, byte[] body) {
        byte[] head = bytes(head(status, fields) + "Transfer-Encoding: chunked\r\n\r\n");
        int chunks = (body.length + CHUNK - 1) / CHUNK;
        ByteBuffer message = ByteBuffer.allocate(head.length + body.length + 12 * (chunks + 1)).put(head);
        for (int from = 0; from < body.length; from += CHUNK) {
            int size = Math.min(CHUNK, body.length - from);
            put(message, Integer.toHexString(size) + "\r\n").put(body, from, size);
            put(message, "\r\n");
        }
        return put(message, "0\r\n\r\n").flip();
    }

    /** An answer that says that another one follows (RFC 9110, 15.2). */
    static ByteBuffer interim(int which) {
        String head = switch (which) {
            case 0 -> "HTTP/1.1 100 Continue\r\n\r\n";
            case 1 -> "HTTP/1.1 102 Processing\r\n\r\n";
            default -> "HTTP/1.1 103 Early Hints\r\nLink: </paper.css>; rel=preload\r\n\r\n";
        };
        return ByteBuffer.wrap(bytes(head));
    }

    static ByteBuffer join(ByteBuffer first, ByteBuffer second) {
        return ByteBuffer.allocate(first.remaining() + second.remaining()).put(first.duplicate())
                .put(second.duplicate()).flip();
    }

    private static ByteBuffer put(ByteBuffer message, String text) {
        return message.put(bytes(text));
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static String head(int status, String fields) {
        return "HTTP/1.1 " + status + ' ' + reason(status) + "\r\nContent-Type: text/plain\r\n" + fields;
    }

    private static String reason(int status) {
        return switch (status) {
            case 200 -> "OK";
            case 400 -> "Bad Request";
            case 404 -> "Not Found";
            case 405 -> "Method Not Allowed";
            case 500 -> "Internal Server Error";
            case 503 -> "Service Unavailable";
            case 504 -> "Gateway Timeout";
            default -> "Other";
        };
    }
}
