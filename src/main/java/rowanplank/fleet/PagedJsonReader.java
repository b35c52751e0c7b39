package rowanplank.fleet;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.ParseException;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import rowanplank.ledger.Ask;
import rowanplank.ledger.Result;

/** One text of the leader's, asked for piece by piece, since a datagram holds no more; begun anew where it changed meanwhile. */
final class PagedJsonReader {
    private static final int MAX_RESTARTS = 5;

    private final BiConsumer<Integer, Consumer<Result>> ask;
    private final Consumer<JsonObject> receiver;
    private StringBuilder text = new StringBuilder();
    private long version;
    private int startCount;

    /** @param ask for the piece from so many letters on; answered with null where nobody could say */
    PagedJsonReader(BiConsumer<Integer, Consumer<Result>> ask, Consumer<JsonObject> told) {
        this.ask = ask;
        this.receiver = told;
    }

    /** Letters beyond ASCII as JSON writes them too: a piece must not end within one. */
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
        ask.accept(0, this::onPage);
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
            ask.accept(text.length(), this::onPage);
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
