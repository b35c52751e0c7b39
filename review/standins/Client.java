import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Map;
import java.util.TreeMap;

/** A client with one connection that it keeps for many requests, one at a time. */
final class Client implements AutoCloseable {
    private final String ip;
    private final int port;
    private Socket socket;
    private InputStream in;
    private OutputStream out;
    /** Whole answers on the open connection so far. */
    int answered;

    Client(String ip, int port) {
        this.ip = ip;
        this.port = port;
    }

    void connect(int timeoutMs) throws IOException {
        if (socket == null) {
            Socket opened = new Socket();
            opened.connect(new InetSocketAddress(InetAddress.getByName(ip), port), 1_000);
            opened.setTcpNoDelay(true);
            socket = opened;
            in = new BufferedInputStream(opened.getInputStream(), 16_384);
            out = opened.getOutputStream();
            answered = 0;
        }
        socket.setSoTimeout(timeoutMs);
    }

    /** Sends a request on the open connection, or on a new one, and reads the whole answer. */
    Fleet.Answer request(String path, String id, Map<String, String> more, byte[] body, int timeoutMs) throws IOException {
        connect(timeoutMs);
        Map<String, String> headers = new TreeMap<>(more);
        headers.put("Rowanplank-Attempt-Id", id);
        headers.put("Rowanplank-Deadline-Ms", Integer.toString(timeoutMs));
        try {
            Fleet.send(out, "POST", path, headers, body);
            Fleet.Answer answer = Fleet.readAnswer(in);
            answered++;
            if ("close".equalsIgnoreCase(answer.headers().get("Connection"))) {
                close();
            }
            return answer;
        } catch (IOException e) {
            close();
            throw e;
        }
    }

    @Override
    public void close() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // it is closed
        }
        socket = null;
    }
}
