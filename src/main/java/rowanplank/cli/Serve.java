package rowanplank.cli;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import rowanplank.config.ConfigException;
import rowanplank.config.NodeConfig;
import rowanplank.metrics.RateLimitedLog;
import rowanplank.net.Clock;
import rowanplank.net.FileAccess;
import rowanplank.net.InheritedListener;
import rowanplank.net.SelectorLoop;
import rowanplank.net.SystemClock;
import rowanplank.node.Node;
import rowanplank.node.WarmUp;

/** One node on the machine's own sockets, as the platform starts it. */
final class Serve {
    private Serve() { }

    /** From now on, the end of standard input ends this process as SIGTERM would. */
    static void endWithInput() {
        Thread reader = new Thread(() -> {
            try {
                while (System.in.read() >= 0) { }
            } catch (IOException e) {
                // its end, too
            }
            System.exit(Status.DONE);
        }, "input");
        reader.setDaemon(true);
        reader.start();
    }

    /** @return the exit status, where the node does not come up; else the node runs on after this returns */
    static int run(Map<String, String> environment) throws Exception {
        CompletableFuture<Node> started = new CompletableFuture<>();
        // From the first moment on: a SIGHUP that comes before the node has started is heeded once it has.
        boolean heard = Hangup.handle(() -> started.thenAccept(
                node -> node.reload(() -> NodeConfig.reread(environment, FileAccess.SYSTEM))));
        try {
            Node node = start(NodeConfig.read(environment, FileAccess.SYSTEM));
            started.complete(node);
            if (!heard) {
                System.err.println("SIGHUP is ignored by what started this process: reloads will not be heard of");
            }
            Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(node), "stop"));
            return 0;
        } catch (InheritedListener.UnusableException e) {
            return Status.failed(Status.USAGE, "EDGE_FD: " + e.getMessage());
        } catch (ConfigException e) {
            return Status.failed(Status.USAGE, e.getMessage());
        } catch (IOException e) {
            return Status.failed(Status.FAILED, e.getMessage());
        }
    }

    private static Node start(NodeConfig config) throws Exception {
        Clock clock = new SystemClock();
        RateLimitedLog log = new RateLimitedLog(clock, RateLimitedLog.Sink.system());
        SelectorLoop loop = new SelectorLoop(clock, e -> log.warn("unexpected failure in the event loop", e));
        if (config.inheritsListener()) {
            InheritedListener.check(config.listen()); // what can't be used is told before anything has begun
        }
        Node node = new Node(config, loop, log);
        loop.start();
        loop.call(() -> {
            node.openDoor(); // operators are answered from now on, while the code is being warmed up
            return null;
        });
        WarmUp.run(config.site());
        loop.call(() -> {
            node.start();
            return null;
        });
        return node;
    }

    private static void stop(Node node) {
        CountDownLatch stopped = new CountDownLatch(1);
        node.stop(stopped::countDown);
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
