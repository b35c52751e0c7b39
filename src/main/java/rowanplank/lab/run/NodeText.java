package rowanplank.lab.run;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import java.net.InetSocketAddress;
import java.util.List;
import rowanplank.config.Addresses;
import rowanplank.lab.day.Day;
import rowanplank.net.Clock;

/** A node's configuration as the platform writes it: JSON, with the settings that its site has. */
public final class NodeText {
    /**
     * Where a site's nodes are.
     *
     * @param listen where clients connect to each
     * @param peers where each hears the others; may be empty
     * @param allPeers where all of them hear; null if nowhere
     */
    public record Places(List<InetSocketAddress> listen, List<InetSocketAddress> peers, InetSocketAddress allPeers) {
        public Places {
            listen = List.copyOf(listen);
            peers = List.copyOf(peers);
        }
    }

    private static final int MEMORY_MB = 192;
    /** How long servers drop repeats of a keyed request. */
    private static final int WINDOW_MS = 5000;
    private static final int ASK_WITHIN_MS = 10_000;

    /** Clients here send no more, but for bad ones; a server here reads no more either. */
    private static final int MOST_BODY = 64 * 1024;

    private NodeText() { }

    /**
     * @param seed a new one with each start
     * @param known the list of servers as the node last had it
     */
    public static String write(Day day, Places places, int node, int hall, InetSocketAddress discovery, long seed,
            JsonObject known) {
        JsonArray peers = Json.array().asArray();
        places.peers.forEach(p -> peers.add(Addresses.format(p)));
        JsonObject limits = Json.object().add("cores", day.nodes().cores()).add("memory_mb", MEMORY_MB)
                .add("sockets", day.nodes().sockets()).add("body_bytes", MOST_BODY);
        JsonObject text = Json.object().add("name", name(node))
                .add("listen", Addresses.format(places.listen.get(node)))
                .add("discovery", Addresses.format(discovery)).add("seed", Long.toHexString(seed))
                .add("limits", limits);
        if (!places.peers.isEmpty()) {
            text.add("peer_listen", Addresses.format(places.peers.get(node))).add("peers", peers);
        }
        if (places.allPeers != null) {
            text.add("peers_all", Addresses.format(places.allPeers));
        }
        return text.add("known", known).add("settings", settings(day, node, hall)).toString();
    }

    public static String name(int node) {
        return "n" + node;
    }

    private static JsonObject settings(Day day, int node, int hall) {
        JsonArray zones = Json.array().asArray();
        day.halls().forEach(zones::add);
        JsonArray kinds = Json.array().asArray();
        day.servers().kinds().forEach(k -> kinds.add(k.name()));
        JsonArray classes = Json.array().asArray();
        day.classes().forEach(c -> classes.add(requestClass(c)));
        Day.Prices p = day.prices();
        return Json.object().add("balancers", day.nodes().count()).add("position", node).add("zone", hall)
                .add("zones", zones).add("kinds", kinds).add("tier", 0).add("tiers", Json.array("page-servers"))
                .add("workload", "proxy").add("membership_mode", "push").add("counted_by", "request")
                .add("weight_source", "nominal").add("over_share_worth", 0.1).add("tick_ms", 5)
                .add("tenants", Json.array()).add("classes", classes).add("ceilings", ceilings(day))
                .add("rules", rules(day.rules())).add("report", report(day))
                .add("client_habits", Json.object().add("marks_retry", day.clients().marksRetries()))
                .add("specifics", Json.object().add("warm_keys", false))
                .add("blend", Json.object().add("whole", p.wholeDay()).add("worst_window", p.worstTenSeconds())
                        .add("worst_class", p.worstClass()).add("worst_tenant", 0))
                .add("deductions", Json.object().add("cross_zone", p.crossing()).add("waste", p.waste())
                        .add("probe", p.probe()).add("peer", p.datagram()).add("late_fail", p.lateFailure()));
    }

    private static JsonObject requestClass(Day.RequestClass c) {
        return Json.object().add("name", c.name()).add("aim_ms", Clock.millis(c.aim()))
                .add("deadline_ms", Clock.millis(c.deadline())).add("worth", c.worth())
                .add("late_worth", c.lateWorth()).add("effect", c.effect()).add("group", "all")
                .add("window_ms", WINDOW_MS).add("streaming", false);
    }

    private static JsonObject ceilings(Day day) {
        Day.Connections c = day.servers().connections();
        double retryAfter = Clock.millis(day.nodes().longestRetryAfter());
        return Json.object().add("most_tries", day.nodes().tries()).add("may_cancel", true)
                .add("second_copies", false).add("multiplex", 1).add("probes", day.nodes().probes())
                .add("peers", day.nodes().peers()).add("retry_after", retryAfter > 0)
                .add("max_retry_after_ms", retryAfter).add("conn_idle_ms", Clock.millis(c.idle()))
                .add("connect_timeout_ms", Clock.millis(c.openTimeout())).add("max_open", 20_000);
    }

    private static JsonObject rules(Day.Rules r) {
        return Json.object().add("drain_grace_ms", Clock.millis(r.drainGrace()))
                .add("answer_slack_ms", Clock.millis(r.answerSlack())).add("ask_within_ms", ASK_WITHIN_MS)
                .add("cold_from", r.coldFrom()).add("cold_ms", Clock.millis(r.cold()))
                .add("fall_multiple", r.fallMultiple()).add("fall_ms", Clock.millis(r.fallTime()));
    }

    private static JsonObject report(Day day) {
        boolean none = day.servers().report().period().isZero();
        return Json.object().add("source", none ? "none" : "answers")
                .add("fields", none ? Json.array() : Json.array("queue", "latency_ms", "util"));
    }
}
