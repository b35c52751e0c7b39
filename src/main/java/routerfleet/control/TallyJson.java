package routerfleet.control;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import io.vavr.control.Either;
import java.io.IOException;

/**
 * Parses the JSON body of an add to a tally, token by token: {@code uid} identifies the add, {@code owner} is the amount.
 */
final class TallyJson {
    static final int MAX_UID_LENGTH = 128;
    /** Maximum amount of an add: the total of a tally can't overflow before 2^23 adds. */
    static final long MAX_AMOUNT = 1L << 40;
    private static final JsonFactory JSON = new JsonFactory();

    /** An add. */
    record Add(String uid, long amount) { }

    private String uid;
    private Long amount;

    private TallyJson() { }

    /** @return the add, or the error in one line */
    static Either<String, Add> read(byte[] body) {
        TallyJson parsed = new TallyJson();
        try (JsonParser parser = JSON.createParser(body)) {
            parsed.readObject(parser);
        } catch (IOException e) {
            return Either.left("add can't be read: " + String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
        }
        return parsed.checked();
    }

    private void readObject(JsonParser parser) throws IOException {
        if (parser.nextToken() != JsonToken.START_OBJECT) {
            throw new IOException("is no JSON object");
        }
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            JsonToken value = parser.nextToken();
            if (name.equals("uid")) {
                if (value != JsonToken.VALUE_STRING) {
                    throw new IOException("uid is no string");
                }
                uid = parser.getText();
            } else if (name.equals("owner")) {
                if (value != JsonToken.VALUE_NUMBER_INT) {
                    throw new IOException("owner is no whole number");
                }
                amount = parser.getLongValue();
            } else {
                parser.skipChildren();
            }
        }
        if (parser.currentToken() != JsonToken.END_OBJECT || parser.nextToken() != null) {
            throw new IOException("the object does not end where the body does");
        }
    }

    private Either<String, Add> checked() {
        if (uid == null || uid.isEmpty() || uid.length() > MAX_UID_LENGTH) {
            return Either.left("uid is to have 1 to " + MAX_UID_LENGTH + " characters");
        }
        if (amount == null || amount < 0 || amount > MAX_AMOUNT) {
            return Either.left("owner is to be a whole number from 0 to " + MAX_AMOUNT);
        }
        return Either.right(new Add(uid, amount));
    }
}
