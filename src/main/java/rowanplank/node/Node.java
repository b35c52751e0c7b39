package rowanplank.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.function.Supplier;
import rowanplank.balancer.Balancer;
import rowanplank.balancer.BalancerApi.ListKind;
import rowanplank.balancer.BalancerApi.RequestClass;
import rowanplank.config.Addresses;
import rowanplank.config.ConfigException;
import rowanplank.config.HostList;
import rowanplank.config.NodeConfig;
import rowanplank.decision.Decisions;
import rowanplank.discovery.DiscoveryWatch;
import rowanplank.discovery.UpstreamGroup;
import rowanplank.intake.http.Intake;
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
    /** So long after it was told to stop, new connections may still come. */
    private static final Duration STILL_ACCEPTING = Duration.ofMillis(500);
    private static final Duration LONGEST_DEADLINE = Duration.ofSeconds(3);
    /** Beyond the longest deadline: 0.7 s are granted before the node is killed. */
    private static final Duration STOPS_WITHIN = Duration.ofMillis(500);
    /** The end of that time, in which connections are closed with their answers. */
    private static final Duration WINDING_DOWN = Duration.ofMillis(450);
    private static final Duration LAST_ANSWERS = Duration.ofMillis(150);
    private static final Duration LOOK_AGAIN = Duration.ofMillis(10);
    /**
     * With only the list of its last life a node serves if discovery says nothing for so long. Short: while its front
     * has no node to send to, all its clients' requests fail, and what is gone shows by its first refused connection.
     */
    private static final Duration PATIENCE = Duration.ofMillis(250);

    private final NodeConfig config;
    private final Loop loop;
    private final Clock clock;
    private final RateLimitedLog log;
    private final Counters counters = new Counters();
    private final UpstreamGroup group = new UpstreamGroup();
    private final Decisions decisions;
    private final Peers peers;
    private final Intake intake;
    private DiscoveryWatch watch;
    /** Watches discovery at its new address until its whole list is in; null while there is none. */
    private DiscoveryWatch nextWatch;
    private Instant started;
    private boolean listed;
    private boolean stopping;
    private Runnable whenStopped;

    public Node(NodeConfig config, Loop loop, RateLimitedLog log) {
        this(config, loop, log, Balancer::new);
    }

    public Node(NodeConfig config, Loop loop, RateLimitedLog log, Decisions.Module module) {
        this.config = config;
        this.loop = loop;
        this.log = log;
        clock = loop.clock();
        int sockets = Math.max(16, config.sockets() - OTHER_SOCKETS);
        decisions = new Decisions(config.site(), config.seed(), loop, counters, log, module);
        peers = new Peers(group, config.site().connIdle(), config.site().connectTimeout(), sockets / 3, loop, counters);
        peers.show(module);
        decisions.sendThrough(peers);
        intake = new Intake(config.site(), decisions, sockets * 2 / 3, config.sockets() / SERVED_PART, loop,
                counters, this::ready);
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
        listed = true;
        apply(list, list.complete() ? ListKind.FULL : ListKind.DELTA);
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
                nextWatch.start();
            }
            log.info("configuration read anew, discovery at " + Addresses.format(address));
        });
    }

    /**
     * Starts the node; to be called once, on the loop's thread.
     *
     * @throws IOException if the node can't listen at its address
     */
    public void start() throws IOException {
        started = clock.now();
        if (!config.known().members().isEmpty()) {
            apply(config.known(), ListKind.CACHED);
        }
        watch.start();
        peers.start();
        try {
            intake.start(config.listen());
        } catch (IOException e) {
            throw new IOException("can't listen at " + Addresses.format(config.listen()) + ": " + e.getMessage(), e);
        }
        log.info(config.name() + " listens at " + Addresses.format(intake.address()));
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
        peers.groupChanged(change.outdated());
        decisions.servers(kind, taken.stream().map(HostList.Member::server).toList());
    }

    private boolean ready() {
        boolean patient = Duration.between(started, clock.now()).compareTo(PATIENCE) < 0;
        return !stopping && !group.isEmpty() && (listed || !patient);
    }

    /**
     * Stops the node: serves on while clients hold connections, then closes each one with its answer. Guards the
     * clients that it has: for as long as their front takes the node for alive, they find no other one. May be called
     * from any thread; a second call does nothing.
     *
     * @param stopped run when nothing is open, and in any case before the node would be killed
     */
    public void stop(Runnable stopped) {
        Duration longest = config.site().module().classes().stream().map(RequestClass::deadlineMs).map(Clock::span)
                .max(Duration::compareTo).filter(d -> d.compareTo(LONGEST_DEADLINE) < 0).orElse(LONGEST_DEADLINE);
        Duration all = longest.plus(STOPS_WITHIN);
        loop.execute(() -> {
            if (stopping) {
                return;
            }
            stopping = true;
            whenStopped = stopped;
            log.info(config.name() + " was told to stop");
            Instant atMost = clock.now().plus(all).minus(WINDING_DOWN);
            loop.schedule(STILL_ACCEPTING, () -> awaitNoClients(atMost));
            loop.schedule(all.minus(LAST_ANSWERS), decisions::rejectAll);
            loop.schedule(all, () -> finish(" stopped with connections open; "));
        });
    }

    private void finish(String how) {
        if (whenStopped != null) {
            log.info(config.name() + how + counters.line());
            Runnable told = whenStopped;
            whenStopped = null;
            told.run();
        }
    }

    private void awaitNoClients(Instant atMost) {
        if (intake.connectionCount() > 0 && clock.now().isBefore(atMost)) {
            loop.schedule(LOOK_AGAIN, () -> awaitNoClients(atMost));
        } else {
            closeIntake();
        }
    }

    private void closeIntake() {
        try {
            intake.close();
        } catch (IOException e) {
            log.warn("closing the listener", e);
        }
        awaitQuiet();
    }

    private void awaitQuiet() {
        if (decisions.openCount() == 0 && intake.connectionCount() == 0) {
            finish(" stopped; ");
        } else {
            loop.schedule(LOOK_AGAIN, this::awaitQuiet);
        }
    }
}
