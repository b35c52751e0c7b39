package rowanplank.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.function.Consumer;

/** Calls at operators' doors, and as a node's client, from a program that is no node. May be used from any thread. */
public final class DoorCalls {
    private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    /** What came back. */
    public record Reply(int status, String body) { }

    /**
     * Asks a node for a page, as a client that waits for so long.
     *
     * @param done told the reply, on a thread of the system's; null where none came in time
     */
    public void page(InetSocketAddress node, String path, String id, Duration timeout, Consumer<Reply> done) {
        HttpRequest request = HttpRequest.newBuilder(request(node, "GET", path, timeout), (name, value) -> true)
                .header("X-Request-ID", id).header("X-Timeout", timeout.toMillis() + "m").build();
        send(request, done);
    }

    private static HttpRequest request(InetSocketAddress door, String method, String path, Duration timeout) {
        String host = door.getAddress().getHostAddress();
        URI uri = URI.create("http://" + (host.indexOf(':') < 0 ? host : "[" + host + "]") + ":" + door.getPort() + path);
        return HttpRequest.newBuilder(uri).timeout(timeout).method(method, HttpRequest.BodyPublishers.noBody()).build();
    }

    /** @throws IOException if nothing answers within the time */
    public Reply call(InetSocketAddress door, String method, String path, Duration timeout) throws IOException {
        try {
            HttpResponse<String> reply = client.send(request(door, method, path, timeout),
                    HttpResponse.BodyHandlers.ofString());
            return new Reply(reply.statusCode(), reply.body());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    /** @param done told the reply, on a thread of the system's; null where nothing answered within the time */
    public void call(InetSocketAddress door, String method, String path, Duration timeout, Consumer<Reply> done) {
        send(request(door, method, path, timeout), done);
    }

    private void send(HttpRequest request, Consumer<Reply> done) {
        client.sendAsync(request, HttpResponse.BodyHandlers.ofString())
                .whenComplete((reply, failure) ->
                        done.accept(failure != null ? null : new Reply(reply.statusCode(), reply.body())));
    }
}
