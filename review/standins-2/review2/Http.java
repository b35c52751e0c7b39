package review2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** One HTTP/1.1 client connection on loopback, and the reading of messages that the stand-ins share. */
final class Http implements AutoCloseable {
    /** A message's head, with the header names in lower case. */
    record Head(String first, Map<String, String> headers) { }

    /** A whole response. */
    record Response(int status, Map<String, String> headers, byte[] body) {
        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    private final Socket socket = new Socket();
    private final InputStream in;
    private final OutputStream out;

    Http(String host, int port, int connectMs) throws IOException {
        try {
            socket.connect(new InetSocketAddress(host, port), connectMs);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        } catch (IOException e) {
            socket.close();
            throw e;
        }
    }

    /** Sends a request, whole. */
    void send(String method, String target, Map<String, String> headers, byte[] body) throws IOException {
        StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        if (body.length > 0 || !method.equals("GET")) {
            head.append("Content-Length: ").append(body.length).append("\r\n");
        }
        out.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
        out.flush();
    }

    /** Reads the response to the last request. @throws EOFException if the connection ends before it is whole */
    Response receive(int timeoutMs) throws IOException {
        socket.setSoTimeout(timeoutMs);
        Head head = readHead(in);
        if (head == null) {
            throw new EOFException("closed without an answer");
        }
        int status = Integer.parseInt(head.first().split(" ")[1]);
        return new Response(status, head.headers(), readBody(in, head, true));
    }

    /** A call on a connection of its own. */
    static Response call(String host, int port, String method, String target, Map<String, String> headers, byte[] body,
            int timeoutMs) throws IOException {
        try (Http connection = new Http(host, port, 1_000)) {
            connection.send(method, target, headers, body);
            return connection.receive(timeoutMs);
        }
    }

    /** @return null if the connection ends before the message begins */
    static Head readHead(InputStream from) throws IOException {
        String first = readLine(from);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = readLine(from); line != null && !line.isEmpty(); line = readLine(from)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).strip().toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
        }
        return new Head(first, headers);
    }

    static byte[] readBody(InputStream from, Head head, boolean response) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (head.headers().getOrDefault("transfer-encoding", "").toLowerCase(Locale.ROOT).contains("chunked")) {
            while (true) {
                String size = readLine(from);
                if (size == null) {
                    throw new EOFException("closed inside an answer");
                }
                int length = Integer.parseInt(size.split(";")[0].strip(), 16);
                body.write(exactly(from, length));
                readLine(from);
                if (length == 0) {
                    return body.toByteArray();
                }
            }
        }
        String length = head.headers().get("content-length");
        if (length != null) {
            return exactly(from, Integer.parseInt(length));
        }
        return response ? from.readAllBytes() : new byte[0];
    }

    private static byte[] exactly(InputStream from, int length) throws IOException {
        byte[] bytes = from.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("closed inside a message");
        }
        return bytes;
    }

    private static String readLine(InputStream from) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = from.read();
        if (next < 0) {
            return null;
        }
        while (next >= 0 && next != '\n') {
            line.write(next);
            next = from.read();
        }
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
