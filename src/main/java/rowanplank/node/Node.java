package rowanplank.node;

import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import rowanplank.balancer.Balancer;
import rowanplank.balancer.BalancerApi.ListKind;
import rowanplank.balancer.BalancerApi.RequestClass;
import rowanplank.config.Addresses;
import rowanplank.config.ConfigException;
import rowanplank.config.HostList;
import rowanplank.config.NodeConfig;
import rowanplank.decision.FleetLimits;
import rowanplank.decision.DecisionDriver;
import rowanplank.discovery.DiscoveryWatch;
import rowanplank.discovery.UpstreamGroup;
import rowanplank.exchange.Transfer;
import rowanplank.fleet.FleetNode;
import rowanplank.intake.admin.AdminDoor;
import rowanplank.intake.http.Intake;
import rowanplank.ledger.Ask;
import rowanplank.ledger.Command;
import rowanplank.ledger.Result;
import rowanplank.lifecycle.Lifecycle;
import rowanplank.metrics.Counters.Count;
import rowanplank.metrics.Counters;
import rowanplank.metrics.RateLimitedLog;
import rowanplank.net.Clock;
import rowanplank.net.Loop;
import rowanplank.peer.http.Peers;

/** A node: puts its parts together, starts them, and stops them without losing what it has taken. */
public final class Node {
    /** Descriptors for all that is neither a client's nor a peer's connection. */
    private static final int OTHER_SOCKETS = 64;
    /** Clients hold a third of a node's descriptors at most: so many are kept for them that some are always free. */
    private static final int SERVED_PART = 4;

    private final NodeConfig config;
    private final Loop loop;
    private final Clock clock;
    private final RateLimitedLog log;
    private final Counters counters = new Counters();
    private final UpstreamGroup group = new UpstreamGroup();
    private final DecisionDriver decisions;
    private final Peers peers;
    private final Intake intake;
    private final Lifecycle lifecycle;
    private DiscoveryWatch watch;
    /** Watches discovery at its new address until its whole list is in; null while there is none. */
    private DiscoveryWatch nextWatch;
    private Runnable whenStopped;
    private FleetNode fleet;
    private FleetLimits bounds = FleetLimits.NONE;

    public Node(NodeConfig config, Loop loop, RateLimitedLog log) {
        this(config, loop, log, Balancer::new);
    }

    public Node(NodeConfig config, Loop loop, RateLimitedLog log, DecisionDriver.ModuleFactory module) {
        this.config = config;
        this.loop = loop;
        this.log = log;
        clock = loop.clock();
        Transfer.BufferBudget room = new Transfer.BufferBudget();
        int sockets = Math.max(16, config.sockets() - OTHER_SOCKETS);
        decisions = new DecisionDriver(config.site(), config.seed(), loop, counters, log, module);
        peers = new Peers(group, config.site().connIdle(), config.site().connectTimeout(), sockets / 3, loop, counters,
                room);
        peers.show(module);
        decisions.setSender(peers);
        lifecycle = new Lifecycle(lifecycleSettings(), new Life());
        intake = new Intake(config.site(), decisions, sockets * 2 / 3, config.sockets() / SERVED_PART, loop,
                counters, lifecycle, room, config.bodyBytes());
        watch = watch(config.discovery(), config.known().members().isEmpty() ? -1 : config.known().revision());
    }

    private DiscoveryWatch watch(InetSocketAddress address, long revision) {
        return new DiscoveryWatch(address, config.site(), config.seed(), revision, loop, counters, log, this::told);
    }

    private void told(DiscoveryWatch by, HostList list) {
        if (by == nextWatch) {
            watch.stop();
            watch = nextWatch;
            nextWatch = null;
            log.info("discovery is now at " + Addresses.format(watch.address()));
        }
        apply(list, list.complete() ? ListKind.FULL : ListKind.DELTA);
        lookAtPeers(true);
    }

    /**
     * Takes up a replaced configuration; may be called from any thread. Only discovery's address can change under a
     * running node. Peers, what was learned and open requests stay, and the old discovery counts until the new one
     * has told its whole list: guards against a node that knows of no changes in between.
     *
     * @param source reads the configuration; what it throws leaves the old one in force
     */
    public void reload(Supplier<NodeConfig> source) {
        loop.execute(() -> {
            counters.add(Count.RELOADS);
            InetSocketAddress address;
            try {
                address = source.get().discovery();
            } catch (ConfigException e) {
                counters.add(Count.RELOADS_UNUSABLE);
                log.warn("the new configuration can't be used, the old one stands: " + e.getMessage());
                return;
            }
            if (nextWatch != null && !address.equals(nextWatch.address())) {
                nextWatch.stop();
                nextWatch = null;
            }
            if (nextWatch == null && !address.equals(watch.address())) {
                nextWatch = watch(address, -1);
                nextWatch.bound(bounds);
                nextWatch.start();
            }
            log.info("configuration read anew, discovery at " + Addresses.format(address));
        });
    }

    /** The operators' door answers for this part in a fleet as well; to be called before it opens. */
    public void join(FleetNode part) {
        fleet = part;
        part.setClients(new ClientsOfTheFleet());
        decisions.useFleetLimits(part.slots(), part.bounds());
        bounds = part.bounds();
        watch.bound(bounds);
    }

    /**
     * Opens the operators' door, where there is to be one; to be called once, on the loop's thread, before the start.
     *
     * @throws IOException if the node can't listen there
     */
    public void openDoor() throws IOException {
        if (config.admin() == null) {
            return;
        }
        try {
            InetSocketAddress address = new AdminDoor(config.name(), loop, lifecycle, new Life(),
                    fleet == null ? null : new FleetsDoor(fleet)).start(config.admin());
            log.info(config.name() + " answers operators at " + Addresses.format(address));
        } catch (IOException e) {
            throw new IOException("can't listen at " + Addresses.format(config.admin()) + ": " + e.getMessage(), e);
        }
    }

    /**
     * Starts the node; to be called once, on the loop's thread.
     *
     * @throws IOException if the node can't listen at its address
     */
    public void start() throws IOException {
        if (!config.known().members().isEmpty()) {
            apply(config.known(), ListKind.CACHED);
            lookAtPeers(false);
        }
        watch.start();
        peers.start();
        intake.start();
        try {
            lifecycle.onStart(clock.now());
        } catch (UncheckedIOException e) {
            throw new IOException(e.getMessage(), e.getCause());
        }
    }

    /** Where the node listens, once it has started. */
    public InetSocketAddress address() {
        return intake.address();
    }

    /** Where a peer is to which something new may be sent; null if it is none. */
    public InetSocketAddress addressOf(long peer) {
        HostList.Member member = group.ready(peer);
        return member == null ? null : member.address();
    }

    public Counters counters() {
        return counters;
    }

    /** How many clients' connections owe nothing, and have not just been opened or answered. */
    public int clientsAtRest() {
        return intake.atRestCount();
    }

    /** What is open now: zero once all that the node took has ended. */
    public int openCount() {
        return decisions.openCount();
    }

    private void apply(HostList list, ListKind kind) {
        UpstreamGroup.Change change = group.apply(list);
        List<HostList.Member> taken = change.taken();
        if (taken.size() < list.members().size()) {
            log.warn(list.members().size() - taken.size() + " peers beyond the bound were left out");
        }
        // The module first: what is given up next is sent elsewhere, and not to others that have gone with it.
        decisions.updateServers(kind, taken.stream().map(HostList.Member::server).toList());
        peers.groupChanged(change.outdated());
    }

    private void lookAtPeers(boolean told) {
        lifecycle.onPeers(clock.now(), !group.isEmpty(), told);
    }

    /** The node's state; to be told and asked on the loop's thread. */
    public Lifecycle lifecycle() {
        return lifecycle;
    }

    /**
     * Stops the node, as {@link Lifecycle} says. May be called from any thread; a second call does nothing.
     *
     * @param stopped run when nothing is open, and in any case before the node would be killed
     */
    public void stop(Runnable stopped) {
        loop.execute(() -> {
            if (whenStopped == null) {
                whenStopped = stopped;
                log.info(config.name() + " was told to stop");
                lifecycle.onTerminate(clock.now());
            }
        });
    }

    /** The order of work drains by the lifecycle, as an operator does. */
    private final class ClientsOfTheFleet implements FleetNode.Clients {
        private final Life life = new Life();

        @Override
        public void drain() {
            lifecycle.onTurn(clock.now());
        }

        @Override
        public void rejoin() {
            lifecycle.onTurnOver(clock.now());
        }

        @Override
        public boolean isEmpty() {
            return life.connections() == 0 && life.requests() == 0 && life.tries() == 0;
        }

        @Override
        public boolean isReady() {
            return lifecycle.isReady();
        }

        @Override
        public Ask.Service serviceCounts() {
            return new Ask.Service(counters.get(Count.ANSWERS_SERVED),
                    counters.get(Count.ANSWERS_REJECTED) + counters.get(Count.REQUESTS_TURNED_AWAY),
                    counters.get(Count.ANSWERS_FAILED), life.requests(), 0, 0);
        }
    }

    /** What staff ask of the fleet, in the words of its ledger. */
    private record FleetsDoor(FleetNode fleet) implements AdminDoor.FleetPart {
        @Override
        public JsonObject status() {
            return fleet.status();
        }

        @Override
        public void read(String lease, Consumer<JsonObject> told) {
            fleet.readLease(lease, r -> told.accept(r == null ? null : new JsonObject().add("lease", lease)
                    .add("held", r.kind() == Result.Kind.HELD).add("holder", r.node()).add("fence", r.value())));
        }

        @Override
        public boolean release(String lease) {
            return fleet.release(lease);
        }

        @Override
        public String changeVoters(String name, boolean add) {
            return fleet.changeVoters(name, add);
        }

        @Override
        public void say(Command.Staff words, Consumer<Result> told) {
            fleet.submitStaffCommand(words, told);
        }

        @Override
        public void work(Consumer<JsonObject> told) {
            fleet.requestWorkStatus(told);
        }

        @Override
        public JsonObject plan(List<String> machines, boolean first) {
            return fleet.plan(machines, first);
        }

        @Override
        public String resize(String budget, long whole) {
            return fleet.resize(budget, whole);
        }
    }

    private Lifecycle.Settings lifecycleSettings() {
        Duration longest = config.site().module().classes().stream().map(RequestClass::deadlineMs).map(Clock::span)
                .max(Duration::compareTo).orElse(Duration.ZERO);
        return new Lifecycle.Settings(longest, config.inheritsListener());
    }

    /** What the lifecycle asks for, carried out. */
    private final class Life implements Lifecycle.Actions, AdminDoor.Open {
        @Override
        public void accept() {
            try {
                if (config.inheritsListener()) {
                    intake.listenInherited(config.listen());
                } else {
                    intake.listen(config.listen());
                }
            } catch (IOException e) {
                throw new UncheckedIOException(
                        "can't listen at " + Addresses.format(config.listen()) + ": " + e.getMessage(), e);
            }
            log.info(config.name() + " listens at " + Addresses.format(intake.address()));
        }

        @Override
        public void acceptNoMore(boolean takeWaiting) {
            try {
                intake.acceptNoMore(takeWaiting);
            } catch (IOException e) {
                log.warn("closing the listener", e);
            }
            if (lifecycle.isWindingDown(clock.now())) {
                intake.endIdle();
            }
        }

        @Override
        public void rejectOpen() {
            decisions.stop();
        }

        @Override
        public void end(boolean quiet) {
            log.info(config.name() + (quiet ? " stopped; " : " stopped with connections open; ") + counters.line());
            whenStopped.run();
        }

        @Override
        public void wake(Duration after) {
            loop.schedule(after, () -> lifecycle.onWake(clock.now()));
        }

        @Override
        public int openCount() {
            return decisions.openCount() + intake.connectionCount();
        }

        @Override
        public int connections() {
            return intake.connectionCount();
        }

        @Override
        public int requests() {
            return decisions.openCount();
        }

        @Override
        public int tries() {
            return peers.outCount();
        }
    }
}
