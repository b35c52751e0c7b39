package rowanplank.config;

import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.ParseException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.InvalidPathException;
import java.util.Map;
import java.util.TreeMap;
import rowanplank.net.FileAccess;

/**
 * What a node is told at its start.
 *
 * @param admin where the node is asked and told by its operators; null where there is no such door
 * @param inheritsListener whether the socket at {@code listen} is the platform's, inherited as descriptor 0
 * @param sockets how many file descriptors its process may hold
 * @param bodyBytes the longest body of a request that is taken
 * @param known the upstream group as this node last had it; may be old
 */
public record NodeConfig(String name, InetSocketAddress listen, InetSocketAddress discovery, InetSocketAddress admin,
        boolean inheritsListener, long seed, int sockets, long bodyBytes, HostList known, SiteSettings site) {
    /** A list of ten thousand peers fits. */
    private static final int MOST_BYTES = 2 << 20;
    private static final int MOST_BODY_BYTES = 32 << 20;

    /**
     * Reads the file of a running node anew. Here the file alone tells where discovery is: the environment still
     * holds what was so at the start.
     *
     * @throws ConfigException with one line that says what is missing or wrong
     */
    public static NodeConfig reread(Map<String, String> environment, FileAccess files) {
        Map<String, String> left = new TreeMap<>(environment);
        left.remove("EDGE_DISCOVERY");
        return read(left, files);
    }

    /** @throws ConfigException with one line that says what is missing or wrong */
    public static NodeConfig read(Map<String, String> environment, FileAccess files) {
        Told told = Told.read(environment);
        String file = environment.get("EDGE_CONFIG");
        if (file == null || file.isEmpty()) {
            throw new ConfigException("EDGE_CONFIG is not set: it names the configuration file");
        }
        try {
            return read(told, JsonFields.object(BoundedJson.parse(files.read(file, MOST_BYTES)), "the document"));
        } catch (IOException | InvalidPathException e) {
            throw new ConfigException("EDGE_CONFIG: can't read " + file + ": " + e);
        } catch (ParseException e) {
            throw new ConfigException("EDGE_CONFIG: " + file + " is no JSON: " + e.getMessage());
        } catch (ConfigException e) {
            throw new ConfigException("EDGE_CONFIG: " + file + ": " + e.getMessage());
        }
    }

    /** From an operator's file. @param file what faults call it */
    static NodeConfig of(String file, JsonObject document) {
        try {
            return read(new Told(null, null, null, null, false), document);
        } catch (ConfigException e) {
            throw new ConfigException(file + ": " + e.getMessage());
        }
    }

    /** What the environment says, null where it says nothing. It goes before the file, which holds the same. */
    private record Told(String name, InetSocketAddress listen, InetSocketAddress discovery, InetSocketAddress admin,
            boolean inheritsListener) {

        static Told read(Map<String, String> environment) {
            return new Told(text(environment, "EDGE_NAME"), address(environment, "EDGE_LISTEN"),
                    address(environment, "EDGE_DISCOVERY"), address(environment, "EDGE_ADMIN_ADDR"),
                    inherits(text(environment, "EDGE_FD")));
        }

        private static String text(Map<String, String> environment, String variable) {
            String value = environment.get(variable);
            return value == null || value.isEmpty() ? null : value;
        }

        private static InetSocketAddress address(Map<String, String> environment, String variable) {
            String text = text(environment, variable);
            return text == null ? null : named(variable, text);
        }

        /** The JDK hands over descriptor 0 alone. */
        private static boolean inherits(String descriptor) {
            if (descriptor != null && !descriptor.equals("0")) {
                throw new ConfigException("EDGE_FD: only descriptor 0 can be inherited: " + descriptor);
            }
            return descriptor != null;
        }
    }

    private static NodeConfig read(Told told, JsonObject o) {
        SiteSettings site = SettingsReader.read(JsonFields.object(o, "settings"));
        if (site.classNames().stream().anyMatch(String::isEmpty)) {
            throw new ConfigException("missing: classes[].name");
        }
        return new NodeConfig(told.name() != null ? told.name() : JsonFields.string(o, "name"),
                told.listen() != null ? told.listen() : named("listen", JsonFields.string(o, "listen")),
                told.discovery() != null ? told.discovery() : named("discovery", JsonFields.string(o, "discovery")),
                told.admin() != null ? told.admin() : admin(o), told.inheritsListener(),
                seed(JsonFields.string(o, "seed", "0")),
                JsonFields.integer(JsonFields.object(o, "limits"), "sockets", 1024),
                bodyBytes(JsonFields.object(o, "limits")),
                o.get("known") == null ? HostList.EMPTY : HostList.read(JsonFields.object(o, "known"), site.zones()),
                site);
    }

    private static InetSocketAddress admin(JsonObject o) {
        String text = JsonFields.string(o, "admin_addr", "");
        return text.isEmpty() ? null : named("admin_addr", text);
    }

    private static InetSocketAddress named(String key, String text) {
        try {
            return Addresses.parse(text);
        } catch (ConfigException e) {
            throw new ConfigException(key + ": " + e.getMessage());
        }
    }

    private static int bodyBytes(JsonObject limits) {
        int bytes = JsonFields.integer(limits, "body_bytes", MOST_BODY_BYTES);
        if (bytes < 1 || bytes > MOST_BODY_BYTES) {
            throw new ConfigException("limits.body_bytes is not within 1 and " + MOST_BODY_BYTES + ": " + bytes);
        }
        return bytes;
    }

    private static long seed(String text) {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw new ConfigException("seed is no hexadecimal number: " + text);
        }
    }
}
