package routerfleet.control;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import io.vavr.control.Either;
import java.io.IOException;
import routerfleet.settings.HostPort;
import routerfleet.wire.SessionRecord;

/**
 * Parses the JSON heartbeat of a model server, token by token: a heartbeat is the first JSON that a control node parses
 * after its start, and mapping it to objects would cost a small machine a second.
 */
final class HeartbeatJson {
    private static final JsonFactory JSON = new JsonFactory();
    private static final String DRAINING = "draining";

    private String backend;
    private String address;
    private String zone = "";
    private int capacity;
    private String phase;
    private long sequence;
    private long warmupLeftMs;

    private HeartbeatJson() { }

    /** @return the session that the heartbeat describes, or the error in one line */
    static Either<String, SessionRecord> read(String uid, byte[] body) {
        HeartbeatJson parsed = new HeartbeatJson();
        try (JsonParser parser = JSON.createParser(body)) {
            parsed.readObject(parser);
        } catch (IOException e) {
            return Either.left("heartbeat can't be read: " + String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
        }
        return parsed.session(uid);
    }

    private void readObject(JsonParser parser) throws IOException {
        if (parser.nextToken() != JsonToken.START_OBJECT) {
            throw new IOException("is no JSON object");
        }
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            parser.nextToken();
            readField(name, parser);
            parser.skipChildren();
        }
        if (parser.currentToken() != JsonToken.END_OBJECT) {
            throw new IOException("the object has no end");
        }
    }

    private void readField(String name, JsonParser parser) throws IOException {
        switch (name) {
            case "backend" -> backend = text(name, parser);
            case "address" -> address = text(name, parser);
            case "zone" -> zone = text(name, parser);
            case "phase" -> phase = text(name, parser);
            case "capacity" -> capacity = (int) Math.max(0, Math.min(Integer.MAX_VALUE, number(name, parser)));
            case "sequence" -> sequence = number(name, parser);
            case "warmup_left_ms" -> warmupLeftMs = number(name, parser);
            default -> { }
        }
    }

    private static String text(String name, JsonParser parser) throws IOException {
        if (parser.currentToken() == JsonToken.VALUE_NULL) {
            return null;
        }
        if (!parser.currentToken().isScalarValue()) {
            throw new IOException(name + " is no text");
        }
        return parser.getText();
    }

    private static long number(String name, JsonParser parser) throws IOException {
        if (parser.currentToken() == JsonToken.VALUE_NULL) {
            return 0;
        }
        if (!parser.currentToken().isNumeric()) {
            throw new IOException(name + " is no number");
        }
        return parser.getLongValue();
    }

    private Either<String, SessionRecord> session(String uid) {
        if (backend == null || address == null) {
            return Either.left("heartbeat: backend and address are needed");
        }
        try {
            HostPort.parse(address);
        } catch (IllegalArgumentException e) {
            return Either.left("heartbeat: address: " + e.getMessage());
        }
        SessionRecord.Phase reported = DRAINING.equals(phase) ? SessionRecord.Phase.DRAINING : SessionRecord.Phase.READY;
        return Either.right(new SessionRecord(uid, backend, address, zone == null ? "" : zone, capacity, reported, sequence,
                warmupLeftMs));
    }
}
