package rowanplank.cli;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import org.HdrHistogram.Histogram;
import rowanplank.balancer.Balancer;
import rowanplank.balancer.BalancerApi.Events;
import rowanplank.balancer.BalancerApi.ListKind;
import rowanplank.balancer.BalancerApi.Outcome;
import rowanplank.balancer.BalancerApi.Request;
import rowanplank.balancer.BalancerApi.Server;
import rowanplank.config.NodeConfig;
import rowanplank.metrics.RateLimitedLog;
import rowanplank.net.Clock;
import rowanplank.net.FileAccess;
import rowanplank.net.SelectorLoop;
import rowanplank.net.SystemClock;
import rowanplank.node.Node;
import rowanplank.node.WarmUp;

/**
 * A node as {@link Serve} puts it together, but that the module's events are timed and told now and then, with the heap
 * that is left after a collection. For scripts/soak; it is no test.
 */
public final class SoakNode {
    private static final Duration EVERY = Duration.ofSeconds(8);

    private SoakNode() { }

    /** Nanoseconds of each event, actions included; what these lead to waits until the module is done. */
    private record Timed(Events module, Histogram nanos) implements Events {
        private void time(Runnable event) {
            long begun = System.nanoTime();
            event.run();
            nanos.recordValue(Math.min(nanos.getHighestTrackableValue(), System.nanoTime() - begun));
        }

        @Override
        public void onServers(double nowMs, ListKind kind, List<Server> servers) {
            time(() -> module.onServers(nowMs, kind, servers));
        }

        @Override
        public void onRequest(double nowMs, Request request) {
            time(() -> module.onRequest(nowMs, request));
        }

        @Override
        public void onStreamStarted(double nowMs, long request, int attempt) {
            time(() -> module.onStreamStarted(nowMs, request, attempt));
        }

        @Override
        public void onOutcome(double nowMs, long request, int attempt, Outcome outcome, double ms, boolean concluded) {
            time(() -> module.onOutcome(nowMs, request, attempt, outcome, ms, concluded));
        }

        @Override
        public void onClientLeft(double nowMs, long request) {
            time(() -> module.onClientLeft(nowMs, request));
        }

        @Override
        public void onTimer(double nowMs, long token) {
            time(() -> module.onTimer(nowMs, token));
        }
    }

    public static void main(String[] args) throws Exception {
        Clock clock = new SystemClock();
        RateLimitedLog log = new RateLimitedLog(clock, RateLimitedLog.Sink.system());
        SelectorLoop loop = new SelectorLoop(clock, e -> log.warn("unexpected failure in the event loop", e));
        Histogram nanos = new Histogram(10_000_000_000L, 3);
        NodeConfig config = NodeConfig.read(System.getenv(), FileAccess.SYSTEM);
        Node node = new Node(config, loop, log, (s, seed, actions) -> new Timed(new Balancer(s, seed, actions), nanos));
        Hangup.handle(() -> node.reload(() -> NodeConfig.reread(System.getenv(), FileAccess.SYSTEM)));
        WarmUp.run(config.site());
        loop.start();
        loop.call(() -> {
            node.start();
            sample(loop, node, nanos);
            return null;
        });
    }

    private static void sample(SelectorLoop loop, Node node, Histogram nanos) {
        loop.schedule(EVERY, () -> {
            System.gc();
            Runtime memory = Runtime.getRuntime();
            System.out.printf(Locale.ROOT, "SAMPLE %.2f %.1f %.1f %.1f %d %d %s%n",
                    (memory.totalMemory() - memory.freeMemory()) / 1048576.0, nanos.getValueAtPercentile(50) / 1e3,
                    nanos.getValueAtPercentile(99) / 1e3, nanos.getMaxValue() / 1e3, nanos.getTotalCount(),
                    node.openCount(), node.counters().line());
            nanos.reset();
            sample(loop, node, nanos);
        });
    }
}
