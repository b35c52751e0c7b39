package routerfleet.cli;

import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import routerfleet.settings.HostPort;

/**
 * Asks control nodes for the configuration and the evacuations and gives them orders, as the operator does: one after the
 * other, until one has a clear answer. The same order may be given again: the fleet knows it by its content, or by what is
 * already so.
 */
final class ConfigClient {
    private static final int ROUNDS = 5;
    /** Between two rounds: a control node that has just been started refuses connections for about so long. */
    private static final Duration PAUSE = Duration.ofMillis(500);
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    /** Longer than a control node waits for a leader before it says that nothing is clear. */
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(5);
    private static final int UNCLEAR = 503;

    private final List<HostPort> controlNodes;
    private final HttpClient client = HttpClient.newBuilder().connectTimeout(CONNECT_TIMEOUT).build();

    /** An answer's status and body. */
    record Answer(int status, String body) { }

    ConfigClient(List<HostPort> controlNodes) {
        this.controlNodes = controlNodes;
    }

    /** Reads the newest configuration. @throws IOException if no control node has a clear answer */
    Answer get() throws IOException, InterruptedException {
        return ask("config/get", HttpRequest.newBuilder().GET());
    }

    /**
     * Gives an order.
     *
     * @param kind {@code replace} or {@code patch}
     * @param base the version that it builds on
     * @throws IOException if no control node has a clear answer: the order may still be taken
     */
    Answer order(String kind, long base, byte[] body) throws IOException, InterruptedException {
        return ask("config/" + kind, HttpRequest.newBuilder().header("Rowanplank-Base-Version", Long.toString(base))
                .header("Content-Type", "application/json").POST(HttpRequest.BodyPublishers.ofByteArray(body)));
    }

    /** Reads which zones are evacuated. @throws IOException if no control node has a clear answer */
    Answer evacuations() throws IOException, InterruptedException {
        return ask("evacuations/get", HttpRequest.newBuilder().GET());
    }

    /**
     * Evacuates a zone or ends that.
     *
     * @param verb {@code start} or {@code stop}
     * @throws IOException if no control node has a clear answer: the order may still be taken
     */
    Answer evacuate(String verb, String zone) throws IOException, InterruptedException {
        String name = URLEncoder.encode(zone, StandardCharsets.UTF_8);
        return ask("evacuations/" + name + "/" + verb, HttpRequest.newBuilder().POST(HttpRequest.BodyPublishers.noBody()));
    }

    private Answer ask(String what, HttpRequest.Builder request) throws IOException, InterruptedException {
        String problem = "";
        for (int round = 0; round < ROUNDS; round++) {
            if (round > 0) {
                Thread.sleep(PAUSE.toMillis());
            }
            for (HostPort node : controlNodes) {
                try {
                    HttpResponse<String> response = client.send(request.timeout(ANSWER_TIMEOUT)
                            .uri(URI.create("http://" + node + "/rowanplank/" + what)).build(),
                            HttpResponse.BodyHandlers.ofString(StandardCharsets.UTF_8));
                    if (response.statusCode() != UNCLEAR) {
                        return new Answer(response.statusCode(), response.body());
                    }
                    problem = node + " answers " + response.body();
                } catch (IOException e) {
                    problem = node + " can't be asked: " + e;
                }
            }
        }
        throw new IOException("no clear answer; the last: " + problem);
    }
}
