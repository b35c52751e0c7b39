package rowanplank.cli;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;
import rowanplank.config.ConfigException;
import rowanplank.config.FleetConfig;
import rowanplank.config.NodeConfig;
import rowanplank.config.OperatorFile;
import rowanplank.fleet.FleetComponents;
import rowanplank.fleet.FleetNode;
import rowanplank.metrics.RateLimitedLog;
import rowanplank.net.Clock;
import rowanplank.net.DirectoryFiles;
import rowanplank.net.FileAccess;
import rowanplank.net.InheritedListener;
import rowanplank.net.Programs;
import rowanplank.net.SelectorLoop;
import rowanplank.net.SystemClock;
import rowanplank.net.WholeFiles;
import rowanplank.node.Node;
import rowanplank.node.WarmUp;

/** One node on the machine's own sockets, as the platform starts it. */
final class Serve {
    /** What it holds is given back and leadership handed on within this time, or left to end by itself. */
    private static final Duration LONGEST_LEAVE = Duration.ofSeconds(2);

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
            Running running = start(NodeConfig.read(environment, FileAccess.SYSTEM), null, null, new SystemClock());
            started.complete(running.node());
            if (!heard) {
                System.err.println("SIGHUP is ignored by what started this process: reloads will not be heard of");
            }
            return 0;
        } catch (InheritedListener.UnusableException e) {
            return Status.failed(Status.USAGE, "EDGE_FD: " + e.getMessage());
        } catch (ConfigException e) {
            return Status.failed(Status.USAGE, e.getMessage());
        } catch (IOException e) {
            return Status.failed(Status.FAILED, e.getMessage());
        }
    }

    /** One node as the operator's file has it. @return the exit status, where the node does not come up */
    static int run(String file, FleetComponents parts) throws Exception {
        return run(file, parts, new SystemClock());
    }

    static int run(String file, FleetComponents parts, Clock clock) throws Exception {
        CompletableFuture<Running> started = new CompletableFuture<>();
        Hangup.handle(() -> started.thenAccept(running -> running.loop().execute(() -> reload(running, file))));
        try {
            OperatorFile told = OperatorFile.load(file, FileAccess.SYSTEM);
            Running running = start(told.node(), told.fleet(), parts, clock);
            running.told().set(told);
            started.complete(running);
            return 0;
        } catch (ConfigException e) {
            e.faults().forEach(f -> Status.failed(Status.USAGE, f));
            return Status.USAGE;
        } catch (IOException e) {
            return Status.failed(Status.FAILED, e.getMessage());
        }
    }

    /**
     * @param fleet null where the node has no part in one
     * @param told the operator's file that is in force, where there is one
     */
    private record Running(Node node, FleetNode fleet, SelectorLoop loop, AtomicReference<OperatorFile> told, RateLimitedLog log) { }

    /** All of the file, or nothing of it. */
    private static void reload(Running running, String file) {
        try {
            OperatorFile fresh = OperatorFile.load(file, FileAccess.SYSTEM);
            OperatorFile old = running.told().get();
            String why = old.fixedDifference(fresh);
            why = why == null && fresh.fleet() != null ? running.fleet().reload(fresh.fleet()) : why;
            if (why != null) {
                running.log().warn(file + " was read anew and is not taken up: " + why + " differs, which needs a restart");
                return;
            }
            running.told().set(fresh);
            running.node().reload(fresh::node);
        } catch (ConfigException e) {
            running.log().warn(file + " can't be used, the old one stands: " + String.join("; ", e.faults()));
        }
    }

    private static Running start(NodeConfig config, FleetConfig fleetConfig, FleetComponents parts, Clock clock)
            throws Exception {
        RateLimitedLog log = new RateLimitedLog(clock, RateLimitedLog.Sink.system());
        SelectorLoop loop = new SelectorLoop(clock, e -> log.warn("unexpected failure in the event loop", e));
        if (config.inheritsListener()) {
            InheritedListener.check(config.listen()); // what can't be used is told before anything has begun
        }
        Node node = new Node(config, loop, log);
        loop.start();
        FleetNode fleet = fleetConfig == null ? null : loop.call(() -> new FleetNode(fleetConfig, incarnation(clock), parts,
                new FleetNode.Platform(loop, new DirectoryFiles(), WholeFiles.system(loop), Programs.system(loop), log)));
        loop.call(() -> {
            if (fleet != null) {
                node.join(fleet);
                fleet.start();
            }
            node.openDoor(); // operators are answered from now on, while the code is being warmed up
            return null;
        });
        WarmUp.run(config.site());
        Running running = new Running(node, fleet, loop, new AtomicReference<>(), log);
        Thread hook = new Thread(() -> stop(running), "stop");
        if (isHooked(hook)) { // before the first client: a SIGTERM right behind the start must not end what was taken
            startNode(running, hook);
        }
        return running;
    }

    /** Whether the process was not told to end before; else nothing is begun any more. */
    private static boolean isHooked(Thread hook) {
        try {
            Runtime.getRuntime().addShutdownHook(hook);
            return true;
        } catch (IllegalStateException e) {
            return false;
        }
    }

    private static void startNode(Running running, Thread hook) throws Exception {
        try {
            running.loop().call(() -> {
                running.node().start();
                return null;
            });
        } catch (IOException | RuntimeException e) {
            try {
                Runtime.getRuntime().removeShutdownHook(hook); // there is nothing to be stopped
            } catch (IllegalStateException ending) {
                // it is at work, and ends by itself
            }
            throw e;
        }
    }

    /** Processes of one name differ in the microsecond of their start, or in their number; see docs/agreement.md, (e). */
    private static long incarnation(Clock clock) {
        Instant now = clock.now();
        return (now.getEpochSecond() * 1_000_000 + now.getNano() / 1000 << 11) + (ProcessHandle.current().pid() & 0x7ff);
    }

    private static void stop(Running running) {
        CountDownLatch stopped = new CountDownLatch(running.fleet() == null ? 1 : 2);
        running.node().stop(stopped::countDown);
        if (running.fleet() != null) {
            running.loop().execute(() -> running.fleet().stop(LONGEST_LEAVE, stopped::countDown));
        }
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
