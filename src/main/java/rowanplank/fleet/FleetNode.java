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
 * A node's part in its fleet: a holder of leases at every node, with the tasks that rest on them; at voters also the log,
 * the ledger and the desk. It speaks to other nodes by datagrams, one socket for all of it, and never waits for a reply.
 *
 * <p>Voters are sent to at the addresses of the file; whoever asks is answered where it asked from. The last
 * {@value #MAX_REQUESTERS} of those are remembered.
 */
public final class FleetNode {
    private static final int MAX_REQUESTERS = 4096;
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(150);
    private static final Duration PARK = Duration.ofSeconds(1);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(400);
    /** So often a line says that datagrams were dropped, at the most. */
    private static final Duration DROP_LOG_INTERVAL = Duration.ofSeconds(10);
    /** What staff ask is answered within this time, or given up. */
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);

    /** What it has of the machine. */
    public record Platform(Loop loop, StateFile.Files files, WholeFiles statusFiles, Programs programs, RateLimitedLog log) { }

    /** The node's clients, as the order of work takes them from it and gives them back. */
    public interface Clients {
        Clients NONE = withReadyCheck(() -> false);

        /** Take no clients any more, and let go those that are there. */
        void drain();

        /** For the fleet it may take clients. */
        void rejoin();

        /** Whether no client, no request and no try is open. */
        boolean isEmpty();

        /** Whether the node takes clients. */
        boolean isReady();

        /** What has been answered since the process began, and is open now; null where that is not counted. */
        default Ask.Service serviceCounts() {
            return null;
        }

        /** Clients that are nowhere, but for what says whether they are served. */
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
    /** Its session's number of this process: no other one's is below zero. */
    private final long budgetsIncarnation;
    private final BudgetHolder budgets;
    private final WorkerRunner workers;
    /** Null before the start, and where it has no part in an order of work. */
    private WorkHolder work;
    private final ServiceWindow serviceWindow = new ServiceWindow();
    /** The latest version of the ledger's entries that each voter's process has said it understands. */
    private final Map<String, Integer> understoodVersions = new TreeMap<>();
    /** Null where places at page servers are not shared. */
    private final SlotLimiter slots;
    private final RateLimiter rateLimiter;
    private final Asker asker;
    private final Membership members;
    private final TaskRunner tasks;
    /** Who waits for an answer of the asker. */
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
    /** Where another process is that says it is this node, and since when it has been heard of. */
    private String duplicateAddress;
    private Instant duplicateSince;
    private Instant duplicateLastHeard;

    /** @param incarnation tells this process from all others of the node's name, before and after it */
    public FleetNode(FleetConfig config, long incarnation, FleetComponents parts, Platform machine) {
        this.config = config;
        this.incarnation = incarnation;
        this.components = parts;
        this.platform = machine;
        loop = machine.loop();
        codec = new EnvelopeCodec(config.name());
        executor = new SerialExecutor(this::scheduleWakeUp, this::onUnexpectedFailure);
        LeaseHolder.Settings settings = new LeaseHolder.Settings(config.node(), incarnation,
                List.copyOf(config.addresses().keySet()), RETRY_INTERVAL, PARK, config.timing().session());
        holder = parts.leaseHolder(settings, loop.clock().now(), new LeaseActions());
        budgetsIncarnation = -incarnation;
        budgets = parts.budgetHolder(new BudgetHolder.Settings(config.node(), budgetsIncarnation,
                List.copyOf(config.addresses().keySet()), RETRY_INTERVAL, config.sharing().part(), config.sharing().longestUse(),
                config.timing().drift()), loop.clock().now(), new BudgetActions());
        asker = new Asker(settings, REQUEST_TIMEOUT, new RequestActions());
        members = parts.membership(new Membership.Settings(config.node(), Addresses.format(config.advertised()),
                incarnation, knownAddresses(), config.timing().probe(), incarnation), loop.clock().now(), new MembershipActions());
        Programs programs = new StatusFileProgram(() -> this.config.pictures(), this::status, machine.statusFiles(),
                machine.log(), machine.programs());
        tasks = new TaskRunner(config, loop, programs, machine.log(), parts, holder, () -> executor.run(this::runTasks));
        slots = config.sharing().places() == null ? null
                : new SlotLimiter(config.sharing().places(), config.node(), loop, budgets, () -> executor.run(this::applyBudgets),
                        () -> executor.run(() -> budgets.onTime(loop.clock().now())));
        rateLimiter = new RateLimiter(config.sharing(), loop, budgets);
        workers = new WorkerRunner(config.node(), loop, machine.programs(), machine.log(), parts, budgets,
                () -> executor.run(this::runTasks));
    }

    /** Where this node reaches others, whatever they say of themselves. */
    private Map<String, String> knownAddresses() {
        Map<String, String> reached = new TreeMap<>();
        config.addresses().forEach((name, address) -> reached.put(name, Addresses.format(address)));
        config.members().forEach((name, address) -> reached.put(name, Addresses.format(address)));
        return reached;
    }

    /** What bounds this node's tries at page servers. */
    public ServerSlots slots() {
        return slots == null ? ServerSlots.NONE : slots;
    }

    /** What bounds its tries beyond the first, and its calls to discovery. */
    public FleetLimits bounds() {
        return rateLimiter;
    }

    /** What says whether this node takes clients; to be told before the start. */
    public void setReadyCheck(BooleanSupplier ready) {
        setClients(Clients.withReadyCheck(ready));
    }

    /** Whom this node serves; to be told before the start. */
    public void setClients(Clients all) {
        clients = all;
    }

    /**
     * Takes part from now on; to be called once, on the loop's thread.
     *
     * @throws IOException with one line, if its state or its address can't be used
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
            executor.run(() -> work = components.workHolder(new WorkHolder.Settings(config.node(), incarnation, order.machine(),
                    order.hall(), List.copyOf(config.addresses().keySet()), POLL_INTERVAL, Voter.TURN_VALIDITY, order.settle(),
                    order.servesAlone(), order.aloneAfter()), loop.clock().now(), new WorkActions()));
        }
    }

    /** Budgets and workers as the file has them now. */
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
     * Ends its tasks, then gives back what it holds, then hands on leadership where it leads.
     *
     * @param done run once it is done, or after so long at the most
     */
    public void stop(Duration most, Runnable done) {
        whenStopped = done;
        loop.schedule(most, this::end);
        executor.run(members::leave);
        tasks.finish(() -> workers.finish(() -> executor.run(() -> {
            tasksFinished = true;
            holder.leaveAll(loop.clock().now());
            releaseBudgets();
        })));
    }

    /** Guards requests that are served on while the process ends: they need their places as long as there are any. */
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

    /** No election is to be waited for; and whoever takes over may need this one's vote. */
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

    /** What must never be: a voter that has seen it takes no part any more; what it holds it may renew elsewhere. */
    private void onUnexpectedFailure(Throwable e) {
        platform.log().warn("the fleet's part failed", e);
        if (voter != null) {
            halt(e + "; this voter takes no part any more");
        }
    }

    // ---- time

    /** Nothing waits any more: until something comes, or is due. */
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
        budgets.onTime(now); // what has ended may be given back
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

    /** Guards the log: another fleet's node that was given this address sends on and on. */
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
                FleetNode.this.send(address, Envelope.of(config.node(), incarnation, components.understoodVersion(), message));
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
            platform.log().info(config.node() + " takes no clients for the fleet's order of work");
            clients.drain();
        }

        @Override
        public void rejoin() {
            platform.log().info(config.node() + " may take clients, as the fleet's order of work has it");
            clients.rejoin();
            serviceWindow.clear();
        }

        @Override
        public Ask.Service service() {
            Ask.Service all = clients.serviceCounts();
            return all == null ? null : serviceWindow.addSample(loop.clock().now(), slots == null ? all : slots.withSlots(all));
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
            send(config.addresses().get(target), Envelope.of(config.node(), ask.incarnation(), components.understoodVersion(),
                    LedgerCodec.downgrade(ask, Math.min(components.understoodVersion(), understoodVersions.getOrDefault(target, LedgerCodec.FIRST_VERSION)))));
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
                FleetNode.this.send(Addresses.parse(address), Envelope.of(config.node(), incarnation, components.understoodVersion(), note));
            } catch (ConfigException e) {
                datagramsDropped++; // a member says that it is at no address at all
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
     * What is heard of once may be old; what goes on to be heard of is there, and no voter may be there twice. A twin that
     * was silent for a session's length was ended: one that is there later is another one, and is waited for anew.
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
            platform.log().info("lease " + lease + " under fence " + fence + " is over for " + config.node());
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

    // ---- told anew

    /**
     * Takes up what another file says of leases, tasks, the picture, and nodes that may vote one day; of all else
     * nothing may differ. On the loop's thread.
     *
     * @return null where it is in force; else what differs and needs a restart, and nothing has changed
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
        config.leases().stream().filter(l -> l.name().equals(lease)).forEach(l -> holder.want(now, l.name(), l.length()));
    }

    // ---- asked by staff

    /**
     * Who holds a lease, as of a moment after this call: whatever was granted or ended before it is seen.
     *
     * @param told what a leader said, never within this call; null where none could be found in time
     */
    public void readLease(String lease, Consumer<Result> told) {
        ask(new Ask.Read(lease), told);
    }

    /**
     * Staff's word on the order of work, at whichever node. The same number twice is done once.
     *
     * @param told what came of it, never within this call; null where it is not known: to be asked again by its number
     */
    public void submitStaffCommand(Command.Staff words, Consumer<Result> told) {
        ask(new Ask.Staff(words), told);
    }

    /**
     * The order that would follow if these machines were asked for now, and why each waits.
     *
     * @return null where this node has no ledger, or does not know one of them
     */
    public JsonObject plan(List<String> machines, boolean first) {
        if (voter == null || config.order() == null || machines.stream().anyMatch(m -> voter.ledger().work().nodesOf(m).isEmpty())) {
            return null;
        }
        return new JsonObject().add("plan", WorkStatusJson.plan(voter.waits(work == null ? "" : work.standing(), machines, first)));
    }

    private void ask(Ask.What what, Consumer<Result> told) {
        Instant now = loop.clock().now();
        executor.run(() -> {
            long number = asker.ask(now, what);
            if (number == 0) {
                loop.execute(() -> told.accept(null));
            } else {
                pendingRequests.put(number, told);
                asker.onTime(now);
            }
        });
    }

    /**
     * Has this node give back a lease in order: its tasks end first. It asks for it again after twice its length, so
     * that another may have it meanwhile.
     *
     * @return whether it holds it
     */
    public boolean release(String lease) {
        if (holder.fence(lease) == 0) {
            return false;
        }
        Duration length = config.leases().stream().filter(l -> l.name().equals(lease)).findFirst().orElseThrow().length();
        long fence = holder.fence(lease);
        tasks.finish(lease, () -> executor.run(() -> {
            if (holder.fence(lease) == fence) {
                holder.leave(loop.clock().now(), lease);
            }
        }));
        loop.schedule(length.multipliedBy(2), () -> executor.run(() -> {
            if (!tasksFinished) { // at the length that the file has by then, where it still has it
                config.leases().stream().filter(l -> l.name().equals(lease))
                        .forEach(l -> holder.want(loop.clock().now(), l.name(), l.length()));
            }
        }));
        return true;
    }

    /**
     * Has a node vote, or not any more.
     *
     * @return null where the change was taken, and is in force once {@link #status} shows it as decided; else why not
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
     * Changes the whole of a budget; in force once enough has come back.
     *
     * @return null where the change was taken; else why not
     */
    public String resize(String name, long whole) {
        if (voter == null || haltReason != null || !voter.raftNode().isEstablished()) {
            return notLeading();
        }
        for (FleetConfig.Budget b : config.sharing().budgets()) {
            if (b.name().equals(name)) {
                return voter.resize(name, BudgetMapping.totalShare(b, whole, config.sharing()));
            }
        }
        return "there is no budget of that name in this node's file: " + name;
    }

    private String notLeading() {
        String leader = voter == null || haltReason != null ? null : voter.raftNode().leader();
        return "this node does not lead" + (leader == null ? "" : "; ask " + leader);
    }

    /** What this voter knows of the order of work. */
    private JsonObject workStatus() {
        String told = work == null ? "" : work.standing();
        return WorkStatusJson.status(voter.ledger().work(), haltReason == null ? voter.standing(told) : "this voter takes no part any more",
                voter.waits(told, List.of(), false));
    }

    /**
     * The order of work as the leader knows it; where none answers, as this voter does.
     *
     * @param told never within this call; null where nobody could say
     */
    public void requestWorkStatus(Consumer<JsonObject> told) {
        if (config.order() == null) {
            loop.execute(() -> told.accept(null));
            return;
        }
        new PagedJsonReader((from, piece) -> ask(new Ask.Look(from), piece),
                whole -> told.accept(whole == null && voter != null ? workStatus() : whole)).start();
    }

    /** All that a person wants to know of this node's part, as of now at this node. */
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
        if (duplicateAddress != null && !now.isAfter(duplicateLastHeard.plus(config.timing().session().multipliedBy(10)))) {
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
            o.add("parts", BudgetMapping.nodeStatus(budgets, config.sharing(), now)).add("workers_begun", workers.startCount());
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
