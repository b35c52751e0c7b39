package rowanplank.config;

import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;

/** Typed reads of a JSON object's members; what is there but of another type is an error that names the member. */
public final class JsonFields {
    private JsonFields() { }

    public static String string(JsonObject o, String key, String otherwise) {
        JsonValue v = o.get(key);
        return absent(v) ? otherwise : require(v.isString(), key, "text") ? v.asString() : null;
    }

    public static String string(JsonObject o, String key) {
        String text = string(o, key, null);
        if (text == null) {
            throw new ConfigException("missing: " + key);
        }
        return text;
    }

    public static double number(JsonObject o, String key, double otherwise) {
        JsonValue v = o.get(key);
        if (absent(v)) {
            return otherwise;
        }
        require(v.isNumber() && Double.isFinite(v.asDouble()), key, "a number");
        return v.asDouble();
    }

    public static int integer(JsonObject o, String key, int otherwise) {
        double number = number(o, key, otherwise);
        require(number == Math.rint(number) && Math.abs(number) <= Integer.MAX_VALUE, key, "a whole number");
        return (int) number;
    }

    public static boolean flag(JsonObject o, String key) {
        JsonValue v = o.get(key);
        return !absent(v) && require(v.isBoolean(), key, "true or false") && v.asBoolean();
    }

    public static JsonArray array(JsonObject o, String key) {
        JsonValue v = o.get(key);
        return absent(v) || !require(v.isArray(), key, "a list") ? new JsonArray() : v.asArray();
    }

    public static JsonObject object(JsonObject o, String key) {
        JsonValue v = o.get(key);
        return absent(v) ? new JsonObject() : object(v, key);
    }

    public static JsonObject object(JsonValue v, String name) {
        require(v.isObject(), name, "an object");
        return v.asObject();
    }

    private static boolean absent(JsonValue v) {
        return v == null || v.isNull();
    }

    private static boolean require(boolean holds, String key, String what) {
        if (!holds) {
            throw new ConfigException(key + " is not " + what);
        }
        return true;
    }
}
