package rowanplank.config;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonHandler;
import com.eclipsesource.json.JsonParser;
import com.eclipsesource.json.JsonValue;
import com.eclipsesource.json.ParseException;

/**
 * Reads JSON that holds no more values than the heap has room for. Guards the process: small values take up to fifty
 * times the room of their text, and a file or an answer of discovery that is full of them ended the node for want of
 * memory. They are counted in a first reading that keeps nothing.
 */
final class BoundedJson {
    /** Ten thousand peers, the most that are kept, have 90,000. */
    static final int MOST_VALUES = 150_000;

    private BoundedJson() { }

    /**
     * @throws ParseException if the text is no JSON
     * @throws ConfigException if it has too many values
     */
    static JsonValue parse(String text) {
        new JsonParser(new Count()).parse(text);
        return Json.parse(text);
    }

    private static final class Count extends JsonHandler<Object, Object> {
        private int values;

        private void count() {
            if (++values > MOST_VALUES) {
                throw new ConfigException("line " + getLocation().line + ": more than " + MOST_VALUES + " values");
            }
        }

        @Override
        public void startNull() {
            count();
        }

        @Override
        public void startBoolean() {
            count();
        }

        @Override
        public void startString() {
            count();
        }

        @Override
        public void startNumber() {
            count();
        }

        @Override
        public Object startArray() {
            count();
            return null;
        }

        @Override
        public Object startObject() {
            count();
            return null;
        }
    }
}
