package review2;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.stream.Collectors;

/**
 * LOST: clients of one zone send bodies that the configuration allows, all at once, to the data node that the ingress has
 * given them; other clients use the same node with small requests on kept connections.
 */
final class LargeBodies extends Case {
    private static final int SENDERS = 24;
    private static final int BODY_BYTES = 4_194_304;
    private static final int STEADY_CLIENTS = 5;
    private static final int TOLERATED = 3;

    private final Queue<String> closed = new ConcurrentLinkedQueue<>();
    private final Set<String> answered = ConcurrentHashMap.newKeySet();
    private volatile boolean over;

    private LargeBodies(Path folder) {
        super(folder);
    }

    public static void main(String[] args) {
        new LargeBodies(Path.of(args[0])).main();
    }

    @Override
    int play() throws Exception {
        try (Fleet fleet = new Fleet(record, 3, 3)) {
            List<ModelServer> servers = new ArrayList<>();
            for (int i = 1; i <= 3; i++) {
                servers.add(new ModelServer(record, fleet, "i-" + i, "wuno96b", i, "ragusa-a", 32, 800));
            }
            String first = configuration(1, List.of(route("r-page", "/pule252/", "unsafe", 6_000)),
                    List.of(tenant("kaje80", KEY)));
            if (!startFleet(fleet, first)) {
                return NOT_RUN;
            }
            List<Thread> steady = new ArrayList<>();
            for (Fleet.Node node : fleet.data) {
                for (int i = 0; i < STEADY_CLIENTS; i++) {
                    steady.add(start(() -> useKeptConnections(fleet, node)));
                }
            }
            Thread.sleep(4_000);
            for (Fleet.Node node : fleet.data) {
                sendLargeBodies(fleet, node);
                Thread.sleep(4_000);
            }
            over = true;
            for (Thread thread : steady) {
                thread.join(8_000);
            }
            for (ModelServer server : servers) {
                server.close();
            }
            return judge(fleet, servers);
        }
    }

    private static Thread start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Small requests, one after the other, on a connection that is kept; a new one where it has ended. */
    private void useKeptConnections(Fleet fleet, Fleet.Node node) {
        while (!over) {
            try (Http connection = new Http(node.ip, fleet.frontendPort, 1_000)) {
                boolean kept = false;
                while (!over) {
                    String id = newId();
                    connection.send("POST", "/pule252/2f", headers(id, KEY, 6_000), new byte[600]);
                    try {
                        Http.Response response = connection.receive(7_000);
                        answered.add(id);
                        record.add(node.name + " answers " + id + " with " + response.status());
                        kept = true;
                        if ("close".equals(response.headers().get("connection"))) {
                            break;
                        }
                    } catch (SocketTimeoutException e) {
                        record.add(node.name + " has not answered " + id);
                        break;
                    } catch (IOException e) {
                        if (kept) {
                            closed.add(id);
                        }
                        record.add(node.name + " closes the " + (kept ? "kept" : "new") + " connection of " + id + ": " + e);
                        break;
                    }
                }
            } catch (IOException e) {
                pause(200);
            }
        }
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** All at once; without the disruption, one after the other. */
    private void sendLargeBodies(Fleet fleet, Fleet.Node node) throws InterruptedException {
        record.say(SENDERS + " bodies of " + BODY_BYTES + " bytes to " + node.name + (trouble ? " at once" : " in turn"));
        CountDownLatch go = new CountDownLatch(1);
        List<Thread> senders = new ArrayList<>();
        for (int i = 0; i < SENDERS; i++) {
            Thread sender = start(() -> {
                String id = newId();
                try (Http connection = new Http(node.ip, fleet.frontendPort, 1_000)) {
                    go.await();
                    connection.send("POST", "/pule252/2f", headers(id, KEY, 6_000), new byte[BODY_BYTES]);
                    record.add(node.name + " answers the large " + id + " with " + connection.receive(7_000).status());
                } catch (IOException e) {
                    record.add(node.name + " does not answer the large " + id + ": " + e);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            senders.add(sender);
            if (!trouble) {
                go.countDown();
                sender.join();
            }
        }
        go.countDown();
        for (Thread sender : senders) {
            sender.join();
        }
    }

    private int judge(Fleet fleet, List<ModelServer> servers) throws Exception {
        Set<String> passedOn = servers.stream().flatMap(s -> s.runs.stream()).map(ModelServer.Run::id)
                .collect(Collectors.toSet());
        int ended = 0;
        for (Fleet.Node node : fleet.data) {
            if (!node.process().isAlive()) {
                ended++;
                record.say(node.name + " ended by itself with status " + node.process().exitValue());
                fleet.recordLog(node, 5);
            }
        }
        long lost = closed.stream().filter(passedOn::contains).count();
        record.say(answered.size() + " small requests answered; " + lost + " that were passed on to a sound server lost "
                + "their kept connection without an answer (" + TOLERATED + " are tolerated); data nodes that ended by "
                + "themselves: " + ended);
        return answered.isEmpty() ? NOT_RUN : lost > TOLERATED ? BROKEN : HELD;
    }
}
