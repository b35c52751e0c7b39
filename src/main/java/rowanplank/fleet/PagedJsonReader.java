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
    private static final int MOST_BEGINNINGS = 5;

    private final BiConsumer<Integer, Consumer<Result>> ask;
    private final Consumer<JsonObject> told;
    private StringBuilder text = new StringBuilder();
    private long stamp;
    private int begun;

    /** @param ask for the piece from so many letters on; answered with null where nobody could say */
    PagedJsonReader(BiConsumer<Integer, Consumer<Result>> ask, Consumer<JsonObject> told) {
        this.ask = ask;
        this.told = told;
    }

    /** Letters beyond ASCII as JSON writes them too: a piece must not end within one. */
    static String ascii(String json) {
        StringBuilder plain = new StringBuilder(json.length());
        for (char c : json.toCharArray()) {
            plain.append(c < 128 ? String.valueOf(c) : String.format("\\u%04x", (int) c));
        }
        return plain.toString();
    }

    void begin() {
        begun++;
        text = new StringBuilder();
        ask.accept(0, this::piece);
    }

    private void piece(Result r) {
        if (r == null || r.kind() != Result.Kind.SET || begun > MOST_BEGINNINGS) {
            told.accept(null);
            return;
        }
        if (text.length() > 0 && r.value() != stamp) {
            begin();
            return;
        }
        stamp = r.value();
        text.append(r.node());
        if (text.length() < Ask.Look.length(stamp) && !r.node().isEmpty()) {
            ask.accept(text.length(), this::piece);
        } else {
            whole();
        }
    }

    private void whole() {
        try {
            told.accept(Json.parse(text.toString()).asObject());
        } catch (ParseException | UnsupportedOperationException e) {
            told.accept(null);
        }
    }
}
