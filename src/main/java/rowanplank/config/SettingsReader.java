package rowanplank.config;

import static rowanplank.config.JsonFields.array;
import static rowanplank.config.JsonFields.flag;
import static rowanplank.config.JsonFields.integer;
import static rowanplank.config.JsonFields.number;
import static rowanplank.config.JsonFields.object;
import static rowanplank.config.JsonFields.string;

import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import com.eclipsesource.json.ParseException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import rowanplank.balancer.BalancerApi.DedupGroup;
import rowanplank.balancer.BalancerApi.Effect;
import rowanplank.balancer.BalancerApi.Limits;
import rowanplank.balancer.BalancerApi.RequestClass;
import rowanplank.balancer.BalancerApi.Rules;
import rowanplank.balancer.BalancerApi.Settings;
import rowanplank.balancer.BalancerApi.Tenant;
import rowanplank.net.Clock;

/** Reads an instance's settings, for the node and for the simulator's host alike; unknown keys are skipped. */
public final class SettingsReader {
    private SettingsReader() { }

    /** @throws ConfigException if the text is no JSON object or a setting is out of range */
    public static SiteSettings parse(String text) {
        try {
            return read(object(BoundedJson.parse(text), "settings"));
        } catch (ParseException e) {
            throw new ConfigException("unreadable settings: " + e.getMessage());
        }
    }

    static SiteSettings read(JsonObject o) {
        try {
            return settings(o);
        } catch (IllegalArgumentException e) {
            throw new ConfigException("unusable settings: " + e.getMessage());
        }
    }

    /** Guards one customer's requests against another's settings: of two of one name only one could be meant. */
    private static void requireNew(boolean known, String key, String name) {
        if (known) {
            throw new IllegalArgumentException("setting out of range: " + key + " names " + name + " twice");
        }
    }

    private static SiteSettings settings(JsonObject o) {
        List<RequestClass> classes = new ArrayList<>();
        List<String> names = new ArrayList<>();
        for (JsonValue value : array(o, "classes")) {
            JsonObject c = object(value, "classes[]");
            String name = string(c, "name", "");
            requireNew(!name.isEmpty() && names.contains(name), "classes[].name", name);
            names.add(name);
            classes.add(requestClass(c));
        }
        List<Tenant> tenants = new ArrayList<>();
        Map<String, Integer> tenantPlaces = new LinkedHashMap<>();
        for (JsonValue value : array(o, "tenants")) {
            JsonObject t = object(value, "tenants[]");
            String name = string(t, "name", "");
            requireNew(!name.isEmpty() && tenantPlaces.containsKey(name), "tenants[].name", name);
            tenantPlaces.put(name, tenants.size());
            tenants.add(new Tenant(number(t, "quota_per_s", 0)));
        }
        List<String> zones = new ArrayList<>();
        for (JsonValue z : array(o, "zones")) {
            zones.add(z.isString() ? z.asString() : z.toString());
        }
        JsonObject ceilings = object(o, "ceilings");
        JsonObject rules = object(o, "rules");
        Settings module = new Settings(integer(o, "balancers", 1), integer(o, "position", 0),
                integer(o, "zone", 0), classes, tenants, number(o, "over_share_worth", 1), limits(ceilings),
                rules(rules), "ask".equals(string(o, "membership_mode", "")),
                flag(object(o, "specifics"), "warm_keys"), "work".equals(string(o, "counted_by", "")),
                number(object(o, "deductions"), "cross_zone", 0));
        return new SiteSettings(module, names, tenantPlaces, zones, Clock.span(number(ceilings, "conn_idle_ms", 30_000)),
                Clock.span(number(ceilings, "connect_timeout_ms", 1000)),
                Clock.span(number(rules, "answer_slack_ms", 0)));
    }

    private static RequestClass requestClass(JsonObject c) {
        Effect effect = switch (string(c, "effect", "once")) {
            case "repeatable" -> Effect.REPEATABLE;
            case "by_key" -> Effect.BY_KEY;
            case "once" -> Effect.ONCE;
            default -> throw new IllegalArgumentException("setting out of range: classes[].effect");
        };
        DedupGroup group = switch (string(c, "group", "all")) {
            case "all" -> DedupGroup.ALL;
            case "zone" -> DedupGroup.ZONE;
            case "cell" -> DedupGroup.CELL;
            default -> throw new IllegalArgumentException("setting out of range: classes[].group");
        };
        return new RequestClass(number(c, "aim_ms", 0), number(c, "deadline_ms", 0), number(c, "worth", 1),
                number(c, "late_worth", 0), effect, group, number(c, "window_ms", 0), flag(c, "streaming"));
    }

    /** Where clients are not told when to come back, the longest such advice is none. */
    private static Limits limits(JsonObject c) {
        return new Limits(integer(c, "most_tries", 1), flag(c, "may_cancel"), flag(c, "second_copies"),
                flag(c, "retry_after") ? number(c, "max_retry_after_ms", 0) : 0);
    }

    private static Rules rules(JsonObject r) {
        return new Rules(number(r, "ask_within_ms", 10_000), number(r, "cold_from", 1),
                number(r, "cold_ms", 0), number(r, "fall_multiple", 1));
    }
}
