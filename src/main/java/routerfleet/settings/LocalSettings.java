package routerfleet.settings;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * A process's settings file: lines of {@code a.b=value}. Fields that are not known are ignored.
 *
 * @param dataPort where control nodes take connections of data nodes: the first port of the range
 * @param dataPath the folder on the machine's disk; null where it has none
 * @param heartbeatMs how often a model server sends its heartbeat
 * @param toleratedHosts how many counted machines may be lost at once
 * @param toleratedZones how many zones may be lost at once, in place of the machines
 * @param zones all zones of the deployment; empty where the file names none
 */
public record LocalSettings(String nodeName, String ip, String zone, HostPort frontend, HostPort readiness,
        HostPort controlPlane, int dataPort, List<HostPort> seeds, boolean bootstrap, Path dataPath,
        long heartbeatMs, int toleratedHosts, int toleratedZones, Set<String> zones, Bounds bounds) {
    /** The environment variable that names the file. */
    public static final String VARIABLE = "ROWANPLANK_BOOT";

    private static final long DEFAULT_HEARTBEAT_MS = 1_000;
    private static final String ZONES = "zones.";

    public LocalSettings {
        zones = Set.copyOf(zones);
    }

    /** Where control nodes take connections of each other: the port behind it. */
    public int peerPort() {
        return dataPort + 1;
    }

    /** @throws SettingsException if the file can't be read or a field is missing or malformed */
    public static LocalSettings load(String file) throws SettingsException {
        return parse(file, text(file));
    }

    /** What a file says, as it stands there. @throws SettingsException if it can't be read */
    public static String text(String file) throws SettingsException {
        try {
            return Files.readString(Path.of(file), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new SettingsException(file, 0, "file", "can't be read: " + e.getMessage());
        }
    }

    /**
     * Reads settings.
     *
     * @param file what faults name
     * @param text what the file holds
     * @throws SettingsException if they can't be used
     */
    public static LocalSettings parse(String file, String text) throws SettingsException {
        SettingsFile fields = new SettingsFile(file, text);
        String dataPath = fields.text("data_path");
        return new LocalSettings(
                fields.required("node_name"),
                fields.required("ip"),
                orElse(fields.text("zone"), ""),
                address(fields, "listen.frontend"),
                address(fields, "listen.readiness"),
                address(fields, "listen.control_plane"),
                firstPort(fields),
                seeds(fields),
                orElse(fields.flag("bootstrap"), false),
                dataPath == null ? null : Path.of(dataPath),
                orElse(fields.number("heartbeat_ms"), DEFAULT_HEARTBEAT_MS),
                orElse(fields.number("fault_tolerance.hosts_lost"), 0L).intValue(),
                orElse(fields.number("fault_tolerance.zones"), 0L).intValue(),
                fields.namesUnder(ZONES),
                Bounds.read(fields));
    }

    private static <T> T orElse(T value, T fallback) {
        return value == null ? fallback : value;
    }

    private static HostPort address(SettingsFile fields, String key) throws SettingsException {
        String value = fields.text(key);
        return value == null ? null : address(fields, key, value);
    }

    private static HostPort address(SettingsFile fields, String key, String value) throws SettingsException {
        try {
            return HostPort.parse(value);
        } catch (IllegalArgumentException e) {
            throw fields.fault(key, e.getMessage());
        }
    }

    private static List<HostPort> seeds(SettingsFile fields) throws SettingsException {
        String key = "seed_nodes";
        List<HostPort> all = new ArrayList<>();
        for (String part : orElse(fields.text(key), "").split(",")) {
            if (!part.isBlank()) {
                all.add(address(fields, key, part.strip()));
            }
        }
        return List.copyOf(all);
    }

    private static int firstPort(SettingsFile fields) throws SettingsException {
        String range = fields.required("port_range");
        String[] ends = range.split(",");
        try {
            int first = Integer.parseInt(ends[0].strip());
            int last = ends.length == 2 ? Integer.parseInt(ends[1].strip()) : -1;
            if (last > first) {
                return first;
            }
        } catch (NumberFormatException e) {
            // told below
        }
        throw fields.fault("port_range", "'" + range + "' is not FIRST,LAST with two ports or more");
    }
}
