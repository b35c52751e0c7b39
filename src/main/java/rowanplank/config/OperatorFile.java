package rowanplank.config;

import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.InvalidPathException;
import java.time.Duration;
import java.util.List;
import rowanplank.net.FileAccess;

/**
 * The operator's file: a node that is told all by one TOML file, and not by a platform.
 *
 * @param fleet null where the file has no {@code [fleet]}: then nothing of it is there
 * @param fixed all of the node's own part that can't change while it runs, as text
 */
public record OperatorFile(NodeConfig node, FleetConfig fleet, String fixed) {
    private static final int MOST_BYTES = 1 << 20;
    private static final Duration LONGEST = Duration.ofHours(1);

    /** @throws ConfigException with a line for each fault: {@code file:line:column: key: what} */
    public static OperatorFile load(String file, FileAccess files) {
        try {
            return read(file, files.read(file, MOST_BYTES));
        } catch (IOException | InvalidPathException e) {
            throw new ConfigException(file + ": can't be read: " + e.getMessage());
        }
    }

    /** @param name what faults call the file */
    public static OperatorFile read(String name, String text) {
        TomlFile file = TomlFile.parse(name, text);
        TomlSection root = file.root();
        TomlSection node = root.section("node");
        node.require("name");
        String own = node.text("name", "node");
        InetSocketAddress admin = node.address("admin", null);
        JsonObject json = page(root).add("name", own);

        if (admin != null) {
            json.add("admin_addr", Addresses.format(admin));
        }
        FleetConfig fleet = root.has("fleet") ? FleetConfig.read(root, own) : null;
        file.finish();
        NodeConfig config = NodeConfig.of(name, json);
        return new OperatorFile(config, fleet, json.remove("discovery").toString());
    }

    /** What differs from another file in a way that a running node can't take up; null where nothing does. */
    public String fixedDifference(OperatorFile other) {
        if (!fixed.equals(other.fixed)) {
            return "something of node, front or class beside front.discovery";
        } else if (fleet == null || other.fleet == null) {
            return fleet == other.fleet ? null : "whether there is a fleet";
        }
        return fleet.fixedDifference(other.fleet);
    }

    /** The part that carries requests, in the platform's own words. */
    private static JsonObject page(TomlSection root) {
        List<TomlSection> fronts = root.sections("front");
        TomlSection front = fronts.isEmpty() ? root.section("front") : fronts.get(0);
        if (fronts.size() != 1) {
            root.fault("front", "there must be one [[front]]");
        }
        front.oneOf("kind", List.of("http"), "http");
        front.require("listen");
        front.require("discovery");
        JsonArray classes = new JsonArray();
        for (TomlSection s : root.sections("class")) {
            s.require("name");
            classes.add(new JsonObject().add("name", s.text("name", "class"))
                    .add("aim_ms", millis(s, "aim", Duration.ofMillis(200)))
                    .add("deadline_ms", millis(s, "deadline", Duration.ofMillis(800)))
                    .add("worth", s.number("worth", 0, 1000, 1))
                    .add("effect", s.oneOf("effect", List.of("repeatable", "once"), "repeatable")));
        }
        if (classes.isEmpty()) {
            root.fault("class", "there must be at least one [[class]]");
        }
        return new JsonObject().add("listen", text(front.address("listen", null)))
                .add("discovery", text(front.address("discovery", null)))
                .add("settings", new JsonObject().add("zones", new JsonArray().add("a")).add("classes", classes));
    }

    private static double millis(TomlSection s, String key, Duration otherwise) {
        return s.duration(key, Duration.ofMillis(1), LONGEST, otherwise).toNanos() / 1e6;
    }

    private static String text(InetSocketAddress address) {
        return address == null ? "" : Addresses.format(address);
    }
}
