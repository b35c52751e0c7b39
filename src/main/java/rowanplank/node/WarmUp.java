package rowanplank.node;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import org.eclipse.jetty.http.HttpFields;
import rowanplank.balancer.Balancer;
import rowanplank.balancer.BalancerApi.Actions;
import rowanplank.balancer.BalancerApi.Lifecycle;
import rowanplank.balancer.BalancerApi.ListKind;
import rowanplank.balancer.BalancerApi.Outcome;
import rowanplank.balancer.BalancerApi.Request;
import rowanplank.balancer.BalancerApi.Server;
import rowanplank.config.SiteSettings;
import rowanplank.http.Messages;
import rowanplank.http.ResponseReader;

/**
 * Runs the code that each request needs until it is compiled, on a module and messages of its own. Guards against a
 * node that is taken in cold: on its one core its first requests would wait for the compiler.
 */
public final class WarmUp implements Actions {
    /** As many calls as have a method compiled. With ten times as many a start took twice as long, for no gain. */
    private static final int REQUESTS = 200;
    private static final int SERVERS = 10;
    private static final double STEP_MS = 10;

    private record Sent(long request, int attempt) { }

    private final Queue<Sent> sent = new ArrayDeque<>();

    public static void run(SiteSettings site) {
        new WarmUp().requests(site);
        byte[] body = new byte[512];
        ResponseReader reader = new ResponseReader(Messages.MOST_HELD_BYTES);
        for (int i = 0; i < REQUESTS; i++) {
            Messages.request("GET", "/warm/up?x=" + i, HttpFields.build().put("X-Request-ID", "" + i), body);
            for (ByteBuffer part : Messages.response(200, HttpFields.build(), body)) {
                reader.read(part);
            }
            reader.reset();
        }
    }

    private void requests(SiteSettings site) {
        Balancer balancer = new Balancer(site.module(), 1, this);
        List<Server> servers = new ArrayList<>();
        for (int i = 1; i <= SERVERS; i++) {
            servers.add(new Server(i, 0, 0, Lifecycle.READY, 1, 0));
        }
        double now = 1;
        balancer.onServers(now, ListKind.FULL, servers);
        for (int i = 1; i <= REQUESTS; i++) {
            now += STEP_MS;
            int type = i % site.module().classes().size();
            balancer.onRequest(now, new Request(i, type, 0, 0, now + 1000, 0, false));
            if (sent.size() > SERVERS) {
                Sent s = sent.poll();
                balancer.onOutcome(now, s.request(), s.attempt(), Outcome.OK, SERVERS * STEP_MS, true);
            }
            balancer.onTimer(now, 0);
        }
    }

    @Override
    public void send(long request, long server, double timeoutMs) {
        sent.add(new Sent(request, 0));
    }

    @Override
    public void reject(long request, double retryAfterMs) { }

    @Override
    public void fail(long request) { }

    @Override
    public void cancel(long request, int attempt) { }

    @Override
    public void timer(double delayMs, long token) { }

    @Override
    public void watchServers() { }

    @Override
    public void closeIdle(long server) { }

    @Override
    public void log(String line) { }
}
