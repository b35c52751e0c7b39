package rowanplank.lab.run;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import com.eclipsesource.json.ParseException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongFunction;
import java.util.function.UnaryOperator;
import rowanplank.balancer.BalancerApi.Request;
import rowanplank.config.NodeConfig;
import rowanplank.exchange.RequestContext;
import rowanplank.exchange.RequestObserver;
import rowanplank.lab.policy.Extras;
import rowanplank.lab.site.PageServer;
import rowanplank.lab.site.Truth;
import rowanplank.net.Clock;
import rowanplank.net.Loop;

/** What a node of the laboratory sees beside what its module is told. On the node's loop, and at its cost. */
final class NodeExtras implements Extras, RequestObserver {
    /** Ids of requests are remembered for so many: more than a node holds open. */
    private static final int MOST_IDS = 1 << 15;

    private final Truth truth;
    private final int zone;
    private final Clock clock;
    private final Prober prober;
    private final List<Listener> listeners = new ArrayList<>(1);
    private final Map<Long, String> ids = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, String> eldest) {
            return size() > MOST_IDS;
        }
    };

    NodeExtras(NodeConfig config, Loop loop, Truth truth) {
        this.truth = truth;
        zone = config.site().module().zone();
        clock = loop.clock();
        prober = new Prober(loop, config.site().connectTimeout(), config.site().connIdle().dividedBy(2));
    }

    /** @param addresses where a ready peer is, or null */
    void reach(LongFunction<InetSocketAddress> addresses) {
        prober.reach(addresses);
    }

    @Override
    public void requestAccepted(long request, RequestContext context) {
        ids.put(request, context.id());
    }

    @Override
    public void responseReceived(long peer, UnaryOperator<String> field) {
        Report report = report(field.apply("X-Server-Load"));
        if (report != null) {
            listeners.forEach(l -> l.onReport(Clock.millis(clock.now()), peer, report));
        }
    }

    @Override
    public void listen(Listener listener) {
        listeners.add(listener);
    }

    @Override
    public void probe(long server, double timeoutMs) {
        prober.probe(server, Clock.span(timeoutMs), (body, field) -> {
            Report report = report(body.isEmpty() ? field.apply("X-Server-Load") : body);
            Crowd crowd = crowd(field.apply(PageServer.CROWD));
            listeners.forEach(l -> l.onProbe(Clock.millis(clock.now()), server, report, crowd));
        });
    }

    @Override
    public double doneInMs(Request request, long server) {
        return truth.doneInMs(zone, server, ids.get(request.id()));
    }

    @Override
    public boolean isCrowded(long server) {
        return truth.isCrowded(server);
    }

    @Override
    public void sent(Request request, long server) {
        truth.sent(zone, server, ids.get(request.id()));
    }

    /** @return null unless all of it can be read */
    static Report report(String text) {
        try {
            JsonObject o = text == null ? new JsonObject() : Json.parse(text).asObject();
            double queue = figure(o.get("queue"));
            double latency = figure(o.get("latency_ms"));
            double utilisation = figure(o.get("util"));
            return queue >= 0 && latency >= 0 && utilisation >= 0 ? new Report(queue, latency, utilisation) : null;
        } catch (ParseException | UnsupportedOperationException e) {
            return null;
        }
    }

    /** @return NaN where there is none */
    private static double figure(JsonValue value) {
        double figure = value == null || !value.isNumber() ? Double.NaN : value.asDouble();
        return Double.isInfinite(figure) ? Double.NaN : figure;
    }

    private static Crowd crowd(String text) {
        int cut = text == null ? -1 : text.indexOf(';');
        return cut < 0 ? null
                : new Crowd(Integer.parseInt(text.substring(0, cut)), Double.parseDouble(text.substring(cut + 1)));
    }

    /** Guards the day's figures: connections for probes, at rest or not. */
    int probeConnections() {
        return prober.connections();
    }
}
