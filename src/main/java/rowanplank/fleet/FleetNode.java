package rowanplank.fleet;

import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import rowanplank.agreement.Message;
import rowanplank.agreement.RaftNode;
import rowanplank.config.Addresses;
import rowanplank.config.ConfigException;
import rowanplank.config.FleetConfig;
import rowanplank.decision.FleetLimits;
import rowanplank.decision.ServerSlots;
import rowanplank.fleet.wire.BinaryReader.MalformedException;
import rowanplank.fleet.wire.Envelope;
import rowanplank.fleet.wire.EnvelopeCodec;
import rowanplank.fleet.wire.LedgerCodec;
import rowanplank.ledger.Ask;
import rowanplank.ledger.Asker;
import rowanplank.ledger.BudgetHolder;
import rowanplank.ledger.Command;
import rowanplank.ledger.LeaseHolder;
import rowanplank.ledger.Ledger;
import rowanplank.ledger.Result;
import rowanplank.ledger.WorkHolder;
import rowanplank.membership.GossipMessage;
import rowanplank.membership.MemberUpdate;
import rowanplank.membership.Membership;
import rowanplank.metrics.RateLimitedLog;
import rowanplank.net.Loop;
import rowanplank.net.Programs;
import rowanplank.net.StateFile;
import rowanplank.net.WholeFiles;

/**
 * A node's membership in its fleet. Every node holds leases and budgets, runs the tasks and workers that depend on
 * them, and takes part in the membership protocol; a voter also has the Raft log, the ledger and the services that
 * handle requests for it. All traffic uses datagrams through one socket, and nothing blocks on a reply.
 *
 * <p>Voters are sent to at their configured addresses. Other nodes are answered at the address from which they sent
 * their request; the last {@value #MAX_REQUESTERS} of these addresses are remembered.
 */
public final class FleetNode {
    private static final int MAX_REQUESTERS = 4096;
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(150);
    /** How long a request for a held lease may wait at the leader. */
    private static final Duration PARK = Duration.ofSeconds(1);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(400);
    /** The minimum time between log lines about dropped datagrams. */
    private static final Duration DROP_LOG_INTERVAL = Duration.ofSeconds(10);
    /** How long an operator's request is tried before it is given up. */
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);

    /**
     * What a fleet node uses of its process and host.
     *
     * @param loop the event loop, on whose thread everything runs
     * @param files opens a voter's state file
     * @param statusFiles writes status files
     * @param programs starts the programs of tasks and workers
     * @param log the process's log
     */
    public record Platform(Loop loop, StateFile.Files files, WholeFiles statusFiles, Programs programs,
            RateLimitedLog log) { }

    /** The node's clients, which planned maintenance drains and lets in again. */
    public interface Clients {
        Clients NONE = withReadyCheck(() -> false);

        /** Stops accepting clients and disconnects the current ones gracefully. */
        void drain();

        /** Allows clients again as far as the fleet is concerned. */
        void rejoin();

        /** Whether no client connection, request or attempt is open. */
        boolean isEmpty();

        /** Whether the node accepts clients. */
        boolean isReady();

        /** Counts of requests since the process started, and what is open now; null if that is not counted. */
        default Ask.Service serviceCounts() {
            return null;
        }

        /** A node without clients of its own whose readiness is given by a check. */
        static Clients withReadyCheck(BooleanSupplier ready) {
            return new Clients() {
                @Override
                public void drain() { }

                @Override
                public void rejoin() { }

                @Override
                public boolean isEmpty() {
                    return true;
                }

                @Override
                public boolean isReady() {
                    return ready.getAsBoolean();
                }
            };
        }
    }

    private FleetConfig config;
    private final long incarnation;
    private final FleetComponents components;
    private final Platform platform;
    private final Loop loop;
    private final EnvelopeCodec codec;
    private final SerialExecutor executor;
    private final LeaseHolder holder;
    /** The incarnation of the budget session of this process. It is negative, unlike those of all other sessions. */
    private final long budgetsIncarnation;
    private final BudgetHolder budgets;
    private final WorkerRunner workers;
    /** Null before the start, and if no maintenance plan is configured. */
    private WorkHolder work;
    private final ServiceWindow serviceWindow = new ServiceWindow();
    /** The latest version of ledger entries that each voter's process has said it understands. */
    private final Map<String, Integer> understoodVersions = new TreeMap<>();
    /** Null if slots at back-end servers are not shared. */
    private final SlotLimiter slots;
    private final RateLimiter rateLimiter;
    private final Asker asker;
    private final Membership members;
    private final TaskRunner tasks;
    /** Receivers of the results of the requests in progress, by request number. */
    private final Map<Long, Consumer<Result>> pendingRequests = new TreeMap<>();
    private final Map<Long, InetSocketAddress> requesters = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, InetSocketAddress> eldest) {
            return size() > MAX_REQUESTERS;
        }
    };
    private Loop.Datagrams socket;
    private Voter voter;
    private Loop.Timer timer;
    private String haltReason;
    private boolean tasksFinished;
    private boolean ending;
    private boolean stopped;
    private Runnable whenStopped;
    private long datagramsDropped;
    private Clients clients = Clients.NONE;
    private Instant lastDropLogged;
    private long datagramsSent;
    private long bytesSent;
    /** The address of another process that uses the name of this node; see {@link #onDuplicateName}. */
    private String duplicateAddress;
    private Instant duplicateSince;
    private Instant duplicateLastHeard;

    /**
     * Creates a node, which takes part once {@link #start} is called.
     *
     * @param incarnation a number that distinguishes this process from all earlier and later ones of the node's name
     */
    public FleetNode(FleetConfig config, long incarnation, FleetComponents components, Platform platform) {
        this.config = config;
        this.incarnation = incarnation;
        this.components = components;
        this.platform = platform;
        loop = platform.loop();
        codec = new EnvelopeCodec(config.name());
        executor = new SerialExecutor(this::scheduleWakeUp, this::onUnexpectedFailure);
        LeaseHolder.Settings settings = new LeaseHolder.Settings(config.node(), incarnation,
                List.copyOf(config.addresses().keySet()), RETRY_INTERVAL, PARK, config.timing().session());
        holder = components.leaseHolder(settings, loop.clock().now(), new LeaseActions());
        budgetsIncarnation = -incarnation;
        budgets = components.budgetHolder(new BudgetHolder.Settings(config.node(), budgetsIncarnation,
                List.copyOf(config.addresses().keySet()), RETRY_INTERVAL, config.sharing().part(),
                config.sharing().longestUse(), config.timing().drift()), loop.clock().now(), new BudgetActions());
        asker = new Asker(settings, REQUEST_TIMEOUT, new RequestActions());
        members = components.membership(new Membership.Settings(config.node(), Addresses.format(config.advertised()),
                incarnation, knownAddresses(), config.timing().probe(), incarnation), loop.clock().now(),
                new MembershipActions());
        Programs programs = new StatusFileProgram(() -> this.config.pictures(), this::status, platform.statusFiles(),
                platform.log(), platform.programs());
        tasks = new TaskRunner(config, loop, programs, platform.log(), components, holder,
                () -> executor.run(this::runTasks));
        slots = config.sharing().places() == null ? null
                : new SlotLimiter(config.sharing().places(), config.node(), loop, budgets,
                        () -> executor.run(this::applyBudgets),
                        () -> executor.run(() -> budgets.onTime(loop.clock().now())));
        rateLimiter = new RateLimiter(config.sharing(), loop, budgets);
        workers = new WorkerRunner(config.node(), loop, platform.programs(), platform.log(), components, budgets,
                () -> executor.run(this::runTasks));
    }

    /** The configured addresses of other nodes, which take precedence over announced ones. */
    private Map<String, String> knownAddresses() {
        Map<String, String> known = new TreeMap<>();
        config.addresses().forEach((name, address) -> known.put(name, Addresses.format(address)));
        config.members().forEach((name, address) -> known.put(name, Addresses.format(address)));
        return known;
    }

    /** The limits of this node's concurrent attempts at back-end servers. */
    public ServerSlots slots() {
        return slots == null ? ServerSlots.NONE : slots;
    }

    /** The limits of this node's retries and of its calls to discovery. */
    public FleetLimits bounds() {
        return rateLimiter;
    }

    /** Sets the check whether this node accepts clients; to be called before the start. */
    public void setReadyCheck(BooleanSupplier ready) {
        setClients(Clients.withReadyCheck(ready));
    }

    /** Sets the clients of this node; to be called before the start. */
    public void setClients(Clients all) {
        clients = all;
    }

    /**
     * Starts taking part in the fleet; to be called once, on the loop's thread.
     *
     * @throws IOException with a one-line message if the state file or the listening address cannot be used
     */
    public void start() throws IOException {
        if (config.isVoter()) {
            StateFile file = components.files(platform.files()).open(config.directory(), loop,
                    e -> halt("the disk failed: " + e.getMessage() + "; this voter takes no part any more"));
            voter = new Voter(config, incarnation, components, file, executor, new VoterEnvironment());
        }
        try {
            socket = loop.datagrams(config.listen(), EnvelopeCodec.MAX_DATAGRAM_BYTES, this::onDatagram);
        } catch (IOException e) {
            throw new IOException("can't listen at " + Addresses.format(config.listen()) + ": " + e.getMessage(), e);
        }
        platform.log().info(config.node() + " takes part in fleet " + config.name() + " at "
                + Addresses.format(socket.address()) + (voter == null ? "" : " as a voter"));
        executor.run(() -> config.leases().forEach(l -> holder.want(loop.clock().now(), l.name(), l.length())));
        executor.run(this::applyBudgets);
        if (config.order() != null) {
            FleetConfig.Order order = config.order();
            executor.run(() -> work = components.workHolder(new WorkHolder.Settings(config.node(), incarnation,
                    order.machine(), order.hall(), List.copyOf(config.addresses().keySet()), POLL_INTERVAL,
                    Voter.TURN_VALIDITY, order.settle(), order.servesAlone(), order.aloneAfter()),
                    loop.clock().now(), new WorkActions()));
        }
    }

    /** Applies the budgets and workers of the current configuration. */
    private void applyBudgets() {
        Instant now = loop.clock().now();
        FleetConfig.Sharing sharing = config.sharing();
        Map<String, Command.Define> used = BudgetMapping.definitionsByName(sharing);
        used.putAll(slots == null ? new TreeMap<>() : slots.budgets(sharing));
        budgets.budgets(now, used, sharing.longestUse());
        WorkerRunner.requestedShares(sharing.budgets(), sharing.workers()).forEach(budgets::wish);
        rateLimiter.requestShares();
        if (slots != null) {
            slots.requestShares();
        }
        budgets.onTime(now);
        workers.replace(now, sharing.workers());
        executor.runLater(this::runTasks);
    }

    /**
     * Ends the tasks and workers, then releases leases and budgets, then transfers leadership if this node is the
     * leader.
     *
     * @param timeout the longest time to take
     * @param done run when all of that is done, or when that time is over
     */
    public void stop(Duration timeout, Runnable done) {
        whenStopped = done;
        loop.schedule(timeout, this::end);
        executor.run(members::leave);
        tasks.finish(() -> workers.finish(() -> executor.run(() -> {
            tasksFinished = true;
            holder.leaveAll(loop.clock().now());
            releaseBudgets();
        })));
    }

    /**
     * Releases the budgets once no client is left: requests that are still being served while the process ends need
     * their slots.
     */
    private void releaseBudgets() {
        if (slots == null || clients.isEmpty()) {
            budgets.leave(loop.clock().now());
        } else if (!stopped) {
            loop.schedule(config.timing().heartbeat(), () -> executor.run(this::releaseBudgets));
        }
    }

    private void endWhenIdle() {
        if (voter != null && haltReason == null && voter.raftNode().role() == RaftNode.Role.LEADER
                && voter.raftNode().transferLeadership(loop.clock().now())) {
            Instant latest = loop.clock().now().plus(config.timing().election());
            loop.schedule(config.timing().heartbeat(), () -> endAfterTransfer(latest));
        } else {
            end();
        }
    }

    /**
     * Waits for another leader before ending, so that the fleet need not wait for an election timeout, and because the
     * new leader may need this node's vote.
     */
    private void endAfterTransfer(Instant latest) {
        if (!stopped && haltReason == null && voter.raftNode().role() == RaftNode.Role.LEADER
                && loop.clock().now().isBefore(latest)) {
            loop.schedule(config.timing().heartbeat(), () -> endAfterTransfer(latest));
        } else {
            end();
        }
    }

    private void end() {
        if (!stopped) {
            stopped = true;
            try {
                close();
            } finally {
                whenStopped.run();
            }
        }
    }

    private void close() {
        if (timer != null) {
            timer.cancel();
        }
        try {
            socket.close();
        } catch (IOException e) {
            platform.log().warn("closing the fleet's socket", e);
        }
        if (voter != null && haltReason == null) {
            voter.close();
        }
    }

    private void halt(String why) {
        if (haltReason == null && !stopped) {
            haltReason = why;
            platform.log().warn(why);
            voter.close();
        }
    }

    /**
     * Handles an unexpected exception. A voter stops voting, since its state may be inconsistent; leases can be
     * renewed with the other voters.
     */
    private void onUnexpectedFailure(Throwable e) {
        platform.log().warn("the fleet node failed unexpectedly", e);
        if (voter != null) {
            halt(e + "; this voter takes no part any more");
        }
    }

    // ---- time

    /**
     * Called whenever no event is left to run: schedules the next wake-up, and ends the node if it is stopping and has
     * released everything.
     */
    private void scheduleWakeUp() {
        if (timer != null) {
            timer.cancel();
            timer = null;
        }
        if (stopped) {
            return;
        }
        if (tasksFinished && holder.isIdle() && budgets.isIdle() && !ending) {
            ending = true;
            loop.execute(this::endWhenIdle);
        }
        Instant due = earlier(earlier(holder.due(), asker.due()), earlier(tasks.due(), members.due()));
        due = earlier(due, earlier(budgets.due(), workers.due()));
        due = earlier(due, work == null ? null : work.due());
        due = earlier(due, slots == null || tasksFinished ? null : slots.due());
        due = earlier(due, tasksFinished ? null : rateLimiter.due());
        due = earlier(due, voter == null || haltReason != null ? null : voter.due());
        if (due != null) {
            timer = loop.schedule(Duration.between(loop.clock().now(), due), this::onWakeUp);
        }
    }

    private static Instant earlier(Instant a, Instant b) {
        return a == null || b != null && b.isBefore(a) ? b : a;
    }

    private void onWakeUp() {
        timer = null;
        Instant now = loop.clock().now();
        executor.run(() -> {
            holder.onTime(now);
            asker.onTime(now);
            rateLimiter.onTime(now);
            if (slots != null) {
                slots.onTime(now);
            }
            budgets.onTime(now);
            if (work != null) {
                work.onTime(now);
            }
            members.setServing(clients.isReady());
            members.onTime(now);
            executor.runLater(this::runTasks);
            if (voter != null && haltReason == null) {
                voter.onTime(now);
            }
        });
    }

    private void runTasks() {
        Instant now = loop.clock().now();
        budgets.onTime(now); // uses that have ended may be released
        tasks.onTime(now);
        workers.onTime(now);
    }

    // ---- datagrams

    private void onDatagram(InetSocketAddress from, ByteBuffer payload) {
        Envelope e;
        try {
            e = codec.read(payload);
        } catch (MalformedException problem) {
            datagramsDropped++;
            logDropped(from, problem);
            return;
        }
        Instant now = loop.clock().now();
        if (config.addresses().containsKey(e.sender())) {
            understoodVersions.put(e.sender(), e.understoodVersion());
        }
        if (e.answer() != null) {
            executor.run(() -> onAnswer(now, e.answer()));
        } else if (e.ask() != null) {
            requesters.remove(e.incarnation());
            requesters.put(e.incarnation(), from);
            onRequest(now, e.ask());
        } else if (e.gossip() != null) {
            executor.run(() -> members.onMessage(now, e.sender(), Addresses.format(from), e.gossip()));
        } else if (voter != null && haltReason == null && config.addresses().containsKey(e.sender())
                && !e.sender().equals(config.node())) {
            voter.onUnderstoodVersion(e.sender(), e.understoodVersion());
            voter.onMessage(now, e.sender(), e.message());
        }
    }

    private void send(InetSocketAddress to, Envelope e) {
        ByteBuffer bytes = codec.write(e);
        datagramsSent++;
        bytesSent += bytes.remaining();
        socket.send(to, bytes);
    }

    /** Logs dropped datagrams at a limited rate, since a misconfigured node of another fleet may keep sending. */
    private void logDropped(InetSocketAddress from, MalformedException problem) {
        Instant now = loop.clock().now();
        if (lastDropLogged == null || !now.isBefore(lastDropLogged.plus(DROP_LOG_INTERVAL))) {
            lastDropLogged = now;
            platform.log().warn("a datagram from " + Addresses.format(from) + " was dropped: " + problem.getMessage()
                    + "; " + datagramsDropped + " so far");
        }
    }

    private void onAnswer(Instant now, Ask.Answer answer) {
        if (answer.incarnation() == budgetsIncarnation) {
            budgets.onAnswer(now, answer);
        } else if (answer.number() >= WorkHolder.FIRST_NUMBER) {
            if (work != null) {
                work.onAnswer(now, answer);
            }
        } else if (answer.number() >= Asker.FIRST_NUMBER) {
            asker.onAnswer(now, answer);
        } else {
            holder.onAnswer(now, answer);
        }
    }

    private void onRequest(Instant now, Ask ask) {
        if (voter != null && haltReason == null && voter.onAsk(now, ask)) {
            return;
        }
        String leader = voter == null || haltReason != null ? null : voter.raftNode().leader();
        answer(ask, new Ask.Answer(ask.incarnation(), ask.number(), new Result(Result.Kind.NOT_LEADER, 0,
                leader == null || leader.equals(config.node()) ? "" : leader)));
    }

    private void answer(Ask ask, Ask.Answer answer) {
        deliver(answer);
    }

    private void deliver(Ask.Answer answer) {
        if (Math.abs(answer.incarnation()) == incarnation) {
            executor.runLater(() -> onAnswer(loop.clock().now(), answer));
            return;
        }
        InetSocketAddress to = requesters.get(answer.incarnation());
        if (to != null) {
            send(to, Envelope.of(config.node(), incarnation, components.understoodVersion(), answer));
        }
    }

    private final class VoterEnvironment implements Voter.Environment {
        @Override
        public void send(String to, Message message) {
            InetSocketAddress address = config.addresses().get(to);
            if (address != null) {
                FleetNode.this.send(address,
                        Envelope.of(config.node(), incarnation, components.understoodVersion(), message));
            }
        }

        @Override
        public void answer(Ask ask, Ask.Answer answer) {
            FleetNode.this.answer(ask, answer);
        }

        @Override
        public void deliver(Ask.Answer answer) {
            FleetNode.this.deliver(answer);
        }

        @Override
        public void halt(String why) {
            FleetNode.this.halt(why);
        }

        @Override
        public boolean serves(String node) {
            if (node.equals(config.node())) {
                return clients.isReady();
            }
            return members.members().stream().anyMatch(m -> m.update().name().equals(node)
                    && m.update().state() == MemberUpdate.State.ALIVE && m.update().serves());
        }

        @Override
        public boolean isAlive(String node) {
            return node.equals(config.node()) || members.members().stream().anyMatch(m -> m.update().name().equals(node)
                    && m.update().state() != MemberUpdate.State.DEAD);
        }

        @Override
        public Instant now() {
            return loop.clock().now();
        }

        @Override
        public Instant wallClockNow() {
            return loop.wall().now();
        }

        @Override
        public String workStatusText() {
            return PagedJsonReader.toAsciiJson(workStatus().toString());
        }
    }

    private final class WorkActions implements WorkHolder.Actions {
        @Override
        public void ask(String target, Ask ask) {
            FleetNode.this.ask(target, ask);
        }

        @Override
        public void drain() {
            platform.log().info(config.node() + " stops accepting clients for planned maintenance");
            clients.drain();
        }

        @Override
        public void rejoin() {
            platform.log().info(config.node() + " may accept clients again after planned maintenance");
            clients.rejoin();
            serviceWindow.clear();
        }

        @Override
        public Ask.Service service() {
            Ask.Service all = clients.serviceCounts();
            return all == null ? null : serviceWindow.addSample(loop.clock().now(), slots == null ? all
                    : slots.withSlots(all));
        }

        @Override
        public boolean isEmpty() {
            return clients.isEmpty();
        }

        @Override
        public boolean isReady() {
            return clients.isReady();
        }
    }

    private void ask(String target, Ask ask) {
        if (target.equals(config.node())) {
            executor.runLater(() -> onRequest(loop.clock().now(), ask));
        } else {
            send(config.addresses().get(target),
                    Envelope.of(config.node(), ask.incarnation(), components.understoodVersion(),
                    LedgerCodec.downgrade(ask, Math.min(components.understoodVersion(),
                            understoodVersions.getOrDefault(target, LedgerCodec.FIRST_VERSION)))));
        }
    }

    private final class BudgetActions implements BudgetHolder.Actions {
        @Override
        public void ask(String target, Ask ask) {
            FleetNode.this.ask(target, ask);
        }

        @Override
        public void more(String budget) {
            executor.runLater(() -> {
                workers.onBudgetIncreased(loop.clock().now(), budget);
                runTasks();
            });
        }
    }

    private final class RequestActions implements Asker.Actions {
        @Override
        public void ask(String target, Ask ask) {
            FleetNode.this.ask(target, ask);
        }

        @Override
        public void answered(long number, Result result) {
            pendingRequests.remove(number).accept(result);
        }
    }

    private final class MembershipActions implements Membership.Actions {
        @Override
        public void send(String address, GossipMessage note) {
            try {
                FleetNode.this.send(Addresses.parse(address),
                        Envelope.of(config.node(), incarnation, components.understoodVersion(), note));
            } catch (ConfigException e) {
                datagramsDropped++; // the member announces an address that cannot be parsed
            }
        }

        @Override
        public void memberChanged(MemberUpdate news) {
            platform.log().info(news.name() + " at " + news.address() + " is "
                    + news.state().name().toLowerCase(Locale.ROOT) + (news.serves() ? ", and serves" : ""));
        }

        @Override
        public void duplicateName(String address) {
            FleetNode.this.onDuplicateName(address);
        }
    }

    /**
     * Handles the report of another process that uses this node's name. A single report may be outdated, so only
     * reports that continue for longer than a session's length count; then a voter halts, as no voter may run twice.
     * If there were no reports for a session's length, the earlier duplicate has ended, and a later one starts the
     * wait again.
     */
    private void onDuplicateName(String address) {
        Instant now = loop.clock().now();
        Duration session = config.timing().session();
        boolean another = !address.equals(duplicateAddress) || now.isAfter(duplicateLastHeard.plus(session));
        duplicateAddress = address;
        duplicateLastHeard = now;
        if (another) {
            duplicateSince = now;
        } else if (now.isAfter(duplicateSince.plus(session))) {
            platform.log().warn("another process calls itself " + config.node() + ", at " + address);
            if (voter != null) {
                halt("another process calls itself " + config.node() + ", at " + address
                        + "; this voter takes no part any more");
            }
        }
    }

    private final class LeaseActions implements LeaseHolder.Actions {
        @Override
        public void ask(String target, Ask ask) {
            FleetNode.this.ask(target, ask);
        }

        @Override
        public void granted(String lease, long fence) {
            platform.log().info("lease " + lease + " is held by " + config.node() + " under fence " + fence);
            executor.runLater(() -> {
                Instant now = loop.clock().now();
                tasks.leaseGranted(now, lease);
                tasks.onTime(now);
            });
        }

        @Override
        public void over(String lease, long fence) {
            platform.log().info("lease " + lease + " under fence " + fence + " has ended for " + config.node());
            tasks.leaseEnded(lease);
        }

        @Override
        public void claimed(String task, long period, Result result) {
            executor.runLater(() -> {
                Instant now = loop.clock().now();
                tasks.periodClaimed(now, task, period, result);
                tasks.onTime(now);
            });
        }
    }

    // ---- configuration

    /**
     * Applies a changed configuration. Leases, tasks, workers, budgets, the status file directory and nodes that may
     * become voters may change; everything else needs a restart. To be called on the loop's thread.
     *
     * @return null if the configuration is in force; else what differs and needs a restart, in which case nothing was
     *     changed
     */
    public String reload(FleetConfig fresh) {
        String fixed = config.fixedDifference(fresh);
        if (fixed != null || stopped || whenStopped != null) {
            return fixed == null ? "the node is ending" : fixed;
        }
        FleetConfig before = config;
        config = fresh;
        executor.run(() -> {
            Instant now = loop.clock().now();
            List<String> names = List.copyOf(fresh.addresses().keySet());
            holder.voters(names);
            asker.voters(names);
            members.setKnownAddresses(knownAddresses());
            for (FleetConfig.Lease l : before.leases()) {
                if (!fresh.leases().contains(l)) {
                    tasks.finish(l.name(), () -> executor.run(() -> leave(l.name())));
                }
            }
            tasks.replace(now, fresh.tasks());
            budgets.voters(names);
            if (work != null) {
                work.voters(names);
            }
            applyBudgets();
            fresh.leases().stream().filter(l -> !before.leases().contains(l))
                    .forEach(l -> holder.want(now, l.name(), l.length()));
        });
        return null;
    }

    private void leave(String lease) {
        Instant now = loop.clock().now();
        holder.leave(now, lease);
        config.leases().stream().filter(l -> l.name().equals(lease))
                .forEach(l -> holder.want(now, l.name(), l.length()));
    }

    // ---- operators' requests

    /**
     * Reads who holds a lease, linearizably: whatever was granted or ended before this call is seen.
     *
     * @param receiver receives the leader's result, never within this call; null if no leader could be reached in time
     */
    public void readLease(String lease, Consumer<Result> receiver) {
        ask(new Ask.Read(lease), receiver);
    }

    /**
     * Sends an operator's command on the maintenance plan to the leader, from any node. Repeating a command with the
     * same id has no further effect.
     *
     * @param command the command
     * @param receiver receives the result, never within this call; null if it is not known, in which case the command
     *     should be repeated with its id
     */
    public void submitStaffCommand(Command.Staff command, Consumer<Result> receiver) {
        ask(new Ask.Staff(command), receiver);
    }

    /**
     * The order in which machines would be taken out if these were requested now, with the reason why each has to
     * wait.
     *
     * @param first whether they would be placed at the front
     * @return null if this node is not a voter, has no maintenance plan, or does not know one of the machines
     */
    public JsonObject plan(List<String> machines, boolean first) {
        if (voter == null || config.order() == null
                || machines.stream().anyMatch(m -> voter.ledger().work().nodesOf(m).isEmpty())) {
            return null;
        }
        return new JsonObject().add("plan",
                WorkStatusJson.plan(voter.waits(work == null ? "" : work.standing(), machines, first)));
    }

    private void ask(Ask.What what, Consumer<Result> receiver) {
        Instant now = loop.clock().now();
        executor.run(() -> {
            long number = asker.ask(now, what);
            if (number == 0) {
                loop.execute(() -> receiver.accept(null));
            } else {
                pendingRequests.put(number, receiver);
                asker.onTime(now);
            }
        });
    }

    /**
     * Releases a lease in order: its tasks end first. The node requests the lease again after twice its length, so
     * that another node may get it meanwhile.
     *
     * @return whether this node holds the lease
     */
    public boolean release(String lease) {
        if (holder.fence(lease) == 0) {
            return false;
        }
        Duration length = config.leases().stream().filter(l -> l.name().equals(lease)).findFirst().orElseThrow()
                .length();
        long fence = holder.fence(lease);
        tasks.finish(lease, () -> executor.run(() -> {
            if (holder.fence(lease) == fence) {
                holder.leave(loop.clock().now(), lease);
            }
        }));
        loop.schedule(length.multipliedBy(2), () -> executor.run(() -> {
            if (!tasksFinished) { // with its then configured length, if it is still configured
                config.leases().stream().filter(l -> l.name().equals(lease))
                        .forEach(l -> holder.want(loop.clock().now(), l.name(), l.length()));
            }
        }));
        return true;
    }

    /**
     * Adds or removes a voter.
     *
     * @return null if the change was accepted; it is in force once {@link #status} shows it as committed. Otherwise
     *     why it was not
     */
    public String changeVoters(String name, boolean add) {
        if (voter == null || haltReason != null || !voter.raftNode().isEstablished()) {
            return notLeading();
        }
        if (add && !config.addresses().containsKey(name)) {
            return "no address of " + name + " is known here: it has to stand in [fleet.peers] at all nodes";
        }
        if (voter.raftNode().voters().contains(name) == add) {
            return name + (add ? " votes already" : " does not vote");
        }
        if (!add && voter.raftNode().voters().size() == 1) {
            return name + " is the only voter";
        }
        return voter.changeVoters(loop.clock().now(), name, add) ? null
                : "the change before it is not decided yet: ask again";
    }

    /**
     * Changes the total of a budget. A reduction takes effect once enough of it has been returned.
     *
     * @return null if the change was accepted, otherwise why it was not
     */
    public String resize(String name, long total) {
        if (voter == null || haltReason != null || !voter.raftNode().isEstablished()) {
            return notLeading();
        }
        for (FleetConfig.Budget b : config.sharing().budgets()) {
            if (b.name().equals(name)) {
                return voter.resize(name, BudgetMapping.totalShare(b, total, config.sharing()));
            }
        }
        return "there is no budget of that name in this node's file: " + name;
    }

    private String notLeading() {
        String leader = voter == null || haltReason != null ? null : voter.raftNode().leader();
        return "this node does not lead" + (leader == null ? "" : "; ask " + leader);
    }

    /** The state of the maintenance plan as this voter knows it. */
    private JsonObject workStatus() {
        String standing = work == null ? "" : work.standing();
        return WorkStatusJson.status(voter.ledger().work(), haltReason == null ? voter.standing(standing)
                : "this voter takes no part any more", voter.waits(standing, List.of(), false));
    }

    /**
     * Requests the state of the maintenance plan from the leader, or uses this voter's own if the leader does not
     * answer.
     *
     * @param receiver receives it, never within this call; null if it is not available
     */
    public void requestWorkStatus(Consumer<JsonObject> receiver) {
        if (config.order() == null) {
            loop.execute(() -> receiver.accept(null));
            return;
        }
        new PagedJsonReader((from, page) -> ask(new Ask.Look(from), page),
                status -> receiver.accept(status == null && voter != null ? workStatus() : status)).start();
    }

    /** The status of this node for operators, as of now. */
    public JsonObject status() {
        Instant now = loop.clock().now();
        JsonObject o = new JsonObject().add("fleet", config.name()).add("node", config.node())
                .add("incarnation", incarnation).add("datagrams_dropped", datagramsDropped)
                .add("datagrams_sent", datagramsSent).add("bytes_sent", bytesSent);
        if (haltReason != null) {
            o.add("halted", haltReason);
        }
        if (voter != null) {
            voterStatus(o, voter.raftNode(), voter.ledger());
            if (config.order() != null) {
                o.add("work", workStatus());
            }
        } else {
            o.add("role", "client").add("asks", holder.target());
            if (holder.answered() != null) {
                o.add("answered_ms", Duration.between(holder.answered(), now).toMillis());
            }
        }
        if (duplicateAddress != null
                && !now.isAfter(duplicateLastHeard.plus(config.timing().session().multipliedBy(10)))) {
            o.add("twin", duplicateAddress);
        }
        JsonArray met = new JsonArray();
        for (Membership.MemberState m : members.members()) {
            met.add(new JsonObject().add("name", m.update().name()).add("at", m.update().address())
                    .add("state", m.update().state().name().toLowerCase(Locale.ROOT)).add("serves", m.update().serves())
                    .add("for_ms", Duration.between(m.since(), now).toMillis()));
        }
        o.add("serves", members.self().serves()).add("members", met);
        JsonArray held = new JsonArray();
        for (FleetConfig.Lease l : config.leases()) {
            if (holder.fence(l.name()) != 0) {
                held.add(new JsonObject().add("lease", l.name()).add("fence", holder.fence(l.name()))
                        .add("left_ms", Duration.between(now, holder.until(l.name())).toMillis()));
            }
        }
        if (work != null) {
            o.add("turn", WorkStatusJson.own(config.order().machine(), work));
        }
        if (config.sharing().places() != null || !config.sharing().budgets().isEmpty()) {
            o.add("parts", BudgetMapping.nodeStatus(budgets, config.sharing(), now))
                    .add("workers_begun", workers.startCount());
        }
        return o.add("holds", held).add("runs_begun", tasks.startCount()).add("runs_ended", tasks.ended());
    }

    private static void voterStatus(JsonObject o, RaftNode a, Ledger l) {
        o.add("role", a.role().name().toLowerCase(Locale.ROOT)).add("term", a.term())
                .add("leader", a.leader() == null ? "" : a.leader())
                .add("last", a.lastIndex()).add("decided", a.commitIndex()).add("applied", l.applied())
                .add("chain", Long.toHexString(l.chain())).add("behind_snapshot", a.logSize());
        JsonArray voters = new JsonArray();
        Map<String, Long> matches = a.matchIndexes();
        for (String v : a.voters()) {
            JsonObject one = new JsonObject().add("name", v).add("lost_memory", a.regressedVoters().contains(v));
            if (matches.containsKey(v)) {
                one.add("lag", a.lastIndex() - matches.get(v));
            }
            voters.add(one);
        }
        o.add("voters", voters).add("voters_decided", a.isVoterChangeCommitted());
        JsonArray leases = new JsonArray();
        for (Ledger.Lease lease : l.leases()) {
            leases.add(new JsonObject().add("lease", lease.name()).add("fence", lease.fence())
                    .add("holder", l.session(lease.session()).node()));
        }
        JsonArray runs = new JsonArray();
        l.runs().forEach(r -> runs.add(new JsonObject().add("task", r.task()).add("period", r.period())
                .add("fence", r.fence())));
        o.add("leases", leases).add("runs", runs).add("budgets", BudgetMapping.ledgerStatus(l));
    }
}
