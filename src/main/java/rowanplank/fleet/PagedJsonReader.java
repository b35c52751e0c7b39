package rowanplank.fleet;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.ParseException;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import rowanplank.ledger.Ask;
import rowanplank.ledger.Result;

/**
 * Reads a JSON document from the leader in pages, since a datagram cannot hold all of it. It starts over if the
 * document changes meanwhile, {@value #MAX_RESTARTS} times at most.
 */
final class PagedJsonReader {
    private static final int MAX_RESTARTS = 5;

    private final BiConsumer<Integer, Consumer<Result>> requestPage;
    private final Consumer<JsonObject> receiver;
    private StringBuilder text = new StringBuilder();
    private long version;
    private int startCount;

    /**
     * Creates a reader; {@link #start} begins to read.
     *
     * @param requestPage requests the page at a character offset; its result is null if there was no answer
     * @param receiver gets the document, or null if it could not be read
     */
    PagedJsonReader(BiConsumer<Integer, Consumer<Result>> requestPage, Consumer<JsonObject> receiver) {
        this.requestPage = requestPage;
        this.receiver = receiver;
    }

    /** Escapes all characters beyond ASCII, so that no page ends within a character. */
    static String toAsciiJson(String json) {
        StringBuilder plain = new StringBuilder(json.length());
        for (char c : json.toCharArray()) {
            plain.append(c < 128 ? String.valueOf(c) : String.format("\\u%04x", (int) c));
        }
        return plain.toString();
    }

    void start() {
        startCount++;
        text = new StringBuilder();
        requestPage.accept(0, this::onPage);
    }

    private void onPage(Result r) {
        if (r == null || r.kind() != Result.Kind.SET || startCount > MAX_RESTARTS) {
            receiver.accept(null);
            return;
        }
        if (text.length() > 0 && r.value() != version) {
            start();
            return;
        }
        version = r.value();
        text.append(r.node());
        if (text.length() < Ask.Look.length(version) && !r.node().isEmpty()) {
            requestPage.accept(text.length(), this::onPage);
        } else {
            complete();
        }
    }

    private void complete() {
        try {
            receiver.accept(Json.parse(text.toString()).asObject());
        } catch (ParseException | UnsupportedOperationException e) {
            receiver.accept(null);
        }
    }
}
