package rowanplank.cli;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.ParseException;
import java.io.IOException;
import java.time.Duration;
import picocli.CommandLine.Option;
import rowanplank.config.Addresses;
import rowanplank.net.DoorCalls;

/** A running node's door, as the fleet's commands ask and tell it; mixed into each of them. */
final class Door {
    private static final Duration PATIENCE = Duration.ofSeconds(4);

    @Option(names = "--door", paramLabel = "ADDRESS", required = true, description = "A node's admin address.")
    private String address;

    private DoorCalls.Reply call(String method, String path) throws IOException {
        try {
            return new DoorCalls().call(Addresses.parse(address), method, path, PATIENCE);
        } catch (IOException e) {
            String why = e.getMessage() == null ? "no connection" : e.getMessage();
            throw new IOException("nothing answers at " + address + ": " + why, e);
        }
    }

    /** @throws IOException with one line that says why there is no answer, or which one there is */
    JsonObject ask(String path) throws IOException {
        DoorCalls.Reply reply = call("GET", path);
        if (reply.status() != 200) {
            throw new IOException(address + ": " + reply.body().strip());
        }
        try {
            return Json.parse(reply.body()).asObject();
        } catch (ParseException | UnsupportedOperationException e) {
            throw new IOException(address + " says what can't be understood: " + reply.body().strip(), e);
        }
    }

    /** @throws IOException with one line that says why it is not done */
    void tell(String path) throws IOException {
        DoorCalls.Reply reply = call("POST", path);
        if (reply.status() != 200 && reply.status() != 202) {
            throw new IOException(address + ": " + reply.body().strip());
        }
    }

    /** What came of a call that is done once for its number. @param done null where that is not known */
    record Said(Boolean done, String why) { }

    /** Never throws for what can't be reached: it may have been done all the same. */
    Said say(String path) {
        try {
            DoorCalls.Reply reply = call("POST", path);
            Boolean done = reply.status() == 200 ? Boolean.TRUE : reply.status() == 503 ? null : Boolean.FALSE;
            return new Said(done, address + ": " + (done == null ? "no leader answered in time" : reply.body().strip()));
        } catch (IOException e) {
            return new Said(null, e.getMessage());
        }
    }

    static JsonArray array(JsonObject o, String key) {
        return o.get(key) == null ? new JsonArray() : o.get(key).asArray();
    }
}
