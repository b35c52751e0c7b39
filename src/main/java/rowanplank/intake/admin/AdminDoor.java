package rowanplank.intake.admin;

import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Consumer;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import rowanplank.ledger.Command;
import rowanplank.ledger.Result;
import rowanplank.lifecycle.Lifecycle;
import rowanplank.net.Clock;
import rowanplank.net.Loop;

/**
 * Where operators ask and tell the node: ready, evacuate, rejoin. It has connections of its own, so that no crowd of
 * clients keeps an operator out; where all are taken, the one that was opened first gives way, but for a last look at
 * what it has sent. An accept and a call cost O(1).
 */
public final class AdminDoor {
    /** So many connections are open at once; within the descriptors that no other side's connections have. */
    static final int MOST_CONNECTIONS = 16;
    private static final int BACKLOG = 128;
    /** A call that has not come whole by then is answered with 408. */
    private static final Duration SLOWEST_CALL = Duration.ofSeconds(5);
    private static final Duration SWEEP = Duration.ofMillis(250);

    /** What is open in the node, for a person who waits for a drain to end. */
    public interface Open {
        int connections();

        int requests();

        int tries();
    }

    /** The node's part in its fleet, as staff ask and tell it. */
    public interface FleetPart {
        JsonObject status();

        /** @param told who holds the lease, as of now or later, never within this call; null where nobody could say */
        void read(String lease, Consumer<JsonObject> told);

        /** Has a node vote, or not any more. @return null where the change was taken; else why not */
        String changeVoters(String name, boolean add);

        /**
         * Staff's word on the order of work.
         *
         * @param told what came of it, never within this call; null where it is not known
         */
        void say(Command.Staff words, Consumer<Result> told);

        /** @param told the order of work, never within this call; null where nobody could say */
        void work(Consumer<JsonObject> told);

        /** The order of work that would follow if these were asked for. @return null where that is not known here */
        JsonObject plan(List<String> machines, boolean first);

        /** Changes the whole of a budget. @return null where the change was taken; else why not */
        String resize(String budget, long whole);

        /** Has the node give the lease back. @return whether it holds it */
        boolean release(String lease);
    }

    private final String name;
    final Loop loop;
    private final Clock clock;
    private final Lifecycle lifecycle;
    private final Open open;
    private final FleetPart fleet;
    /** In the order of their opening. */
    private final Set<AdminConnection> connections = new LinkedHashSet<>();

    /** @param fleet null where the node has no part in one */
    public AdminDoor(String name, Loop loop, Lifecycle lifecycle, Open open, FleetPart fleet) {
        this.name = name;
        this.loop = loop;
        clock = loop.clock();
        this.lifecycle = lifecycle;
        this.open = open;
        this.fleet = fleet;
    }

    /**
     * Answers calls from now on, whether the node can serve or not; to be called on the loop's thread.
     *
     * @return where it listens
     * @throws IOException if it can't listen there
     */
    public InetSocketAddress start(InetSocketAddress address) throws IOException {
        Loop.Listening listening = loop.listen(address, BACKLOG, this::accept);
        loop.schedule(SWEEP, this::sweep);
        return listening.address();
    }

    private Connection accept(EndPoint endPoint) {
        if (connections.size() >= MOST_CONNECTIONS) {
            connections.iterator().next().giveWay();
        }
        AdminConnection connection = new AdminConnection(endPoint, this, clock.now());
        connections.add(connection);
        return connection;
    }

    private void sweep() {
        Instant before = clock.now().minus(SLOWEST_CALL);
        List<AdminConnection> late = new ArrayList<>();
        for (AdminConnection c : connections) {
            if (c.opened().isBefore(before)) {
                late.add(c);
            }
        }
        late.forEach(AdminConnection::timeUp);
        loop.schedule(SWEEP, this::sweep);
    }

    void over(AdminConnection connection) {
        connections.remove(connection);
    }

    boolean isReady() {
        return lifecycle.isReady();
    }

    void evacuate() {
        lifecycle.onEvacuate(clock.now());
    }

    void rejoin() {
        lifecycle.onRejoin(clock.now());
    }

    /** The node's name. */
    String name() {
        return name;
    }

    /** Null where this node has no part in one. */
    FleetPart fleet() {
        return fleet;
    }

    /** What a person wants to know of the node now. */
    String state() {
        Instant now = clock.now();
        JsonObject text = new JsonObject().add("state", lifecycle.state().name().toLowerCase(Locale.ROOT))
                .add("up", lifecycle.isUp(now)).add("ready", lifecycle.isReady());
        if (lifecycle.since() != null) {
            text.add("since", lifecycle.since().toString())
                    .add("for_ms", Duration.between(lifecycle.since(), now).toMillis());
        }
        return text.add("connections", open.connections()).add("requests", open.requests())
                .add("tries", open.tries()).add("longest_turn_us", loop.longestTurn().toNanos() / 1000) + "\n";
    }
}
