package rowanplank.balancer;

import java.util.ArrayList;
import java.util.List;
import rowanplank.balancer.BalancerApi.Actions;
import rowanplank.balancer.BalancerApi.DedupGroup;
import rowanplank.balancer.BalancerApi.Effect;
import rowanplank.balancer.BalancerApi.Lifecycle;
import rowanplank.balancer.BalancerApi.Limits;
import rowanplank.balancer.BalancerApi.ListKind;
import rowanplank.balancer.BalancerApi.Outcome;
import rowanplank.balancer.BalancerApi.Request;
import rowanplank.balancer.BalancerApi.RequestClass;
import rowanplank.balancer.BalancerApi.Rules;
import rowanplank.balancer.BalancerApi.Server;
import rowanplank.balancer.BalancerApi.Settings;

/** The example in the README of how to embed the balancer; compiled and run by the tests. */
final class EmbeddingExample {
    private EmbeddingExample() { }

    static List<String> run() {
        List<String> actions = new ArrayList<>();
        Actions node = new Actions() {
            public void send(long request, long server, double timeoutMs) {
                actions.add("send " + request + " to " + server);
            }

            public void reject(long request, double retryAfterMs) {
                actions.add("refuse " + request);
            }

            public void fail(long request) {
                actions.add("fail " + request);
            }

            public void cancel(long request, int attempt) {
                actions.add("cancel " + request);
            }

            public void timer(double delayMs, long token) {
                actions.add("timer");
            }

            public void watchServers() {
                actions.add("watch");
            }

            public void closeIdle(long server) {
                actions.add("close " + server);
            }

            public void log(String line) {
                actions.add(line);
            }
        };
        RequestClass reads = new RequestClass(400, 1200, 1, 0.2, Effect.REPEATABLE, DedupGroup.ALL, 0, false);
        Settings settings = new Settings(3, 0, 0, List.of(reads), List.of(), 0.1,
                new Limits(3, true, true, 1000),
                new Rules(10_000, 0.14, 24_000, 3), true, false, false, 0);
        Balancer balancer = new Balancer(settings, 42, node);
        balancer.onServers(0, ListKind.FULL, List.of(new Server(7, 0, 0, Lifecycle.READY, 1, 0)));
        balancer.onRequest(10, new Request(1, 0, 0, 0, 1210, 0, false));
        balancer.onOutcome(60, 1, 0, Outcome.OK, 50, true);
        return actions;
    }
}
