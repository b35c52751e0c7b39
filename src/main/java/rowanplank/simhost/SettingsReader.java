package rowanplank.simhost;

import com.grack.nanojson.JsonArray;
import com.grack.nanojson.JsonObject;
import com.grack.nanojson.JsonParser;
import com.grack.nanojson.JsonParserException;
import java.util.ArrayList;
import java.util.List;
import rowanplank.BalancerApi.Effect;
import rowanplank.BalancerApi.Group;
import rowanplank.BalancerApi.Limits;
import rowanplank.BalancerApi.RequestClass;
import rowanplank.BalancerApi.Rules;
import rowanplank.BalancerApi.Settings;
import rowanplank.BalancerApi.Tenant;

/** Reads an instance's settings from their JSON text; unknown keys are skipped. */
final class SettingsReader {
    private SettingsReader() { }

    static Settings parse(String text) {
        try {
            return settings(JsonParser.object().from(text));
        } catch (JsonParserException e) {
            throw new MalformedFrameException("unreadable settings: " + e.getMessage());
        } catch (IllegalArgumentException e) {
            throw new MalformedFrameException("unusable settings: " + e.getMessage());
        }
    }

    private static Settings settings(JsonObject o) {
        List<RequestClass> classes = new ArrayList<>();
        for (Object c : array(o, "classes")) {
            classes.add(requestClass(member(c, "classes[]")));
        }
        List<Tenant> tenants = new ArrayList<>();
        for (Object t : array(o, "tenants")) {
            tenants.add(new Tenant(member(t, "tenants[]").getDouble("quota_per_s")));
        }
        return new Settings(o.getInt("balancers", 1), o.getInt("position", 0), o.getInt("zone"), classes, tenants,
                o.getDouble("over_share_worth", 1), limits(object(o, "ceilings")), rules(object(o, "rules")),
                "ask".equals(o.getString("membership_mode")), object(o, "specifics").getBoolean("warm_keys"),
                "work".equals(o.getString("counted_by")));
    }

    private static RequestClass requestClass(JsonObject c) {
        Effect effect = switch (c.getString("effect", "once")) {
            case "repeatable" -> Effect.REPEATABLE;
            case "by_key" -> Effect.BY_KEY;
            case "once" -> Effect.ONCE;
            default -> throw new IllegalArgumentException("setting out of range: classes[].effect");
        };
        Group group = switch (c.getString("group", "all")) {
            case "all" -> Group.ALL;
            case "zone" -> Group.ZONE;
            case "cell" -> Group.CELL;
            default -> throw new IllegalArgumentException("setting out of range: classes[].group");
        };
        return new RequestClass(c.getDouble("aim_ms"), c.getDouble("deadline_ms"),
                c.getDouble("worth", 1), c.getDouble("late_worth"), effect, group, c.getDouble("window_ms"),
                c.getBoolean("streaming"));
    }

    private static Limits limits(JsonObject c) {
        return new Limits(c.getInt("most_tries", 1), c.getBoolean("may_cancel"), c.getBoolean("second_copies"),
                c.getDouble("max_retry_after_ms"));
    }

    private static Rules rules(JsonObject r) {
        return new Rules(r.getDouble("ask_within_ms", 10_000), r.getDouble("cold_from", 1),
                r.getDouble("cold_ms"), r.getDouble("fall_multiple", 1));
    }

    private static JsonArray array(JsonObject o, String key) {
        return o.getArray(key, new JsonArray());
    }

    private static JsonObject object(JsonObject o, String key) {
        return o.getObject(key, new JsonObject());
    }

    private static JsonObject member(Object value, String setting) {
        if (value instanceof JsonObject o) {
            return o;
        }
        throw new IllegalArgumentException("setting out of range: " + setting);
    }
}
