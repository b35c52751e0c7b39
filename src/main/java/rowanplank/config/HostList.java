package rowanplank.config;

import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import com.eclipsesource.json.ParseException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.List;
import rowanplank.balancer.BalancerApi.Lifecycle;
import rowanplank.balancer.BalancerApi.Server;

/**
 * One answer of discovery.
 *
 * @param complete whether these are all peers, or only those that changed
 */
public record HostList(long revision, boolean complete, List<Member> members) {
    public static final HostList EMPTY = new HostList(0, true, List.of());
    /** Guards the choice of a server against sizes that are no sizes: beyond it one would win every comparison. */
    private static final double MOST_SHARE = 100;
    private static final double LEAST_SHARE = 0.01;

    /** A peer, and where this node reaches it. */
    public record Member(String name, InetSocketAddress address, Server server) { }

    public HostList {
        members = List.copyOf(members);
    }

    /** @throws ConfigException if the text is not what discovery may say */
    public static HostList parse(String text, List<String> zones) {
        try {
            return read(JsonFields.object(BoundedJson.parse(text), "the answer"), zones);
        } catch (ParseException e) {
            throw new ConfigException("no JSON: " + e.getMessage());
        }
    }

    public static HostList read(JsonObject o, List<String> zones) {
        List<Member> members = new ArrayList<>();
        for (JsonValue m : JsonFields.array(o, "members")) {
            members.add(member(JsonFields.object(m, "members[]"), zones));
        }
        if (o.get("revision") == null || o.get("complete") == null || o.get("members") == null) {
            throw new ConfigException("a list needs revision, complete and members");
        }
        if (JsonFields.flag(o, "complete") && o.get("members").isNull()) {
            throw new ConfigException("members of a complete list is not a list"); // it would leave out every server
        }
        return new HostList((long) JsonFields.number(o, "revision", 0), JsonFields.flag(o, "complete"), members);
    }

    private static Member member(JsonObject m, List<String> zones) {
        String name = JsonFields.string(m, "id");
        Lifecycle lifecycle = switch (JsonFields.string(m, "phase")) {
            case "ready" -> Lifecycle.READY;
            case "draining" -> Lifecycle.DRAINING;
            case "gone" -> Lifecycle.GONE;
            default -> throw new ConfigException("unknown phase of " + name);
        };
        int zone = zones.indexOf(JsonFields.string(m, "locality", ""));
        Server server = new Server(number(name), zone < 0 ? zones.size() : zone, JsonFields.integer(m, "cell", 0),
                lifecycle, Math.min(MOST_SHARE, Math.max(LEAST_SHARE, JsonFields.number(m, "size", 1))),
                JsonFields.number(m, "up_since_ms", 0));
        return new Member(name, Addresses.parse(JsonFields.string(m, "host_port")), server);
    }

    /** The module's number for a peer: made of the name alone, so that all nodes, and all lives of one, agree. */
    public static long number(String name) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(name.getBytes(StandardCharsets.UTF_8));
            return ByteBuffer.wrap(digest).getLong();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e); // every Java platform has it
        }
    }
}
