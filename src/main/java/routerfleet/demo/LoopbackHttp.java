package routerfleet.demo;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import routerfleet.settings.HostPort;

/** A small blocking HTTP client for the demo and the tests: one request a connection. */
public final class LoopbackHttp {
    private static final int TIMEOUT_MS = 10_000;

    /**
     * An answer.
     *
     * @param headers names in lower case
     * @param whole whether the body came to its end
     */
    public record Answer(int status, Map<String, String> headers, String body, boolean whole) {
        /** A header; null where there is none. */
        public String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }
    }

    private LoopbackHttp() { }

    /** Sends a request and reads its answer. @throws IOException if no head of an answer comes */
    public static Answer call(HostPort to, String method, String path, Map<String, String> headers, byte[] body)
            throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(to.host(), to.port()), TIMEOUT_MS);
            socket.setSoTimeout(TIMEOUT_MS);
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nConnection: close\r\n");
            if (!headers.containsKey("Host")) {
                head.append("Host: ").append(to).append("\r\n");
            }
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
            socket.getOutputStream().write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().write(body);
            socket.getOutputStream().flush();
            return read(socket.getInputStream());
        }
    }

    /** Reads one answer from a connection. @throws IOException if no head of an answer comes */
    public static Answer read(InputStream in) throws IOException {
        String status = line(in);
        if (!status.startsWith("HTTP/1.1 ")) {
            throw new IOException("no answer: '" + status + "'");
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean whole = "chunked".equals(headers.get("transfer-encoding")) ? chunks(in, body)
                : exactly(in, Integer.parseInt(headers.getOrDefault("content-length", "0")), body);
        return new Answer(Integer.parseInt(status.substring(9, 12)), headers, body.toString(StandardCharsets.UTF_8),
                whole);
    }

    private static boolean chunks(InputStream in, ByteArrayOutputStream body) throws IOException {
        while (true) {
            String size = line(in);
            if (size.isEmpty()) {
                return false;
            }
            int length = Integer.parseInt(size.split(";")[0].strip(), 16);
            if (length == 0) {
                return line(in).isEmpty(); // the end of the trailers, behind which the next answer begins
            }
            if (!exactly(in, length, body) || !line(in).isEmpty()) {
                return false;
            }
        }
    }

    private static boolean exactly(InputStream in, int length, ByteArrayOutputStream body) throws IOException {
        byte[] bytes = in.readNBytes(length);
        body.writeBytes(bytes);
        return bytes.length == length;
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        int c = in.read();
        while (c >= 0 && c != '\n') {
            if (c != '\r') {
                line.append((char) c);
            }
            c = in.read();
        }
        return line.toString();
    }
}
