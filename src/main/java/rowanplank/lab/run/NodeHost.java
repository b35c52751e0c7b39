package rowanplank.lab.run;

import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import rowanplank.config.Addresses;
import rowanplank.config.ConfigException;
import rowanplank.config.NodeConfig;
import rowanplank.lab.client.Lives;
import rowanplank.lab.day.Day.RequestClass;
import rowanplank.lab.net.Process;
import rowanplank.lab.net.SimMachine;
import rowanplank.lab.net.SimProcess;
import rowanplank.lab.site.DiscoveryAgent;
import rowanplank.lab.site.Roster;
import rowanplank.lab.trace.Event.Kind;
import rowanplank.lifecycle.Lifecycle;
import rowanplank.metrics.RateLimitedLog;
import rowanplank.node.Node;

/** A node's machine: its agent, its files, and one life of the node's process after the other. */
final class NodeHost implements NodeControl {
    private static final String FILE = "/run/balancer/config.json";
    private static final String UNUSABLE = "{\"name\":\"n0\",\"listen\":";
    /** No SIGHUP comes in a node's first second. */
    private static final Duration FIRST = Duration.ofSeconds(1);
    private static final Duration LONGEST_DEADLINE = Duration.ofSeconds(3);
    /** By then a drained node has let its clients go. */
    private static final Duration DRAINED_AFTER = Duration.ofSeconds(4);
    /** SIGKILL comes so long after SIGTERM, and the longest deadline. */
    private static final Duration KILLED_AFTER = Duration.ofMillis(700);
    /** Core time of each KiB that it reads or writes, beside that of the task. */
    private static final Duration KIB_COST = Duration.ofNanos(500);
    /** What a node at rest holds: its connection to discovery; its listener; timers of its sweeps and of that call. */
    private static final int RESTING_CONNECTIONS = 1;
    private static final int RESTING_DESCRIPTORS = 3;
    private static final int RESTING_TIMERS = 8;
    /** And for its part in a fleet: its socket; timers of that part, of its disk, and of places that are lingered over. */
    private static final int FLEET_DESCRIPTORS = 1;
    private static final int FLEET_TIMERS = 8;

    private final Stage stage;
    private final int number;
    private final int hall;
    private final NodeFactory factory;
    private final Lives lives;
    private final UniformRandomProvider seeds;
    private final SimMachine machine;
    private final DiscoveryAgent agent;
    /** Null where the nodes are no fleet. */
    private final FleetHost fleet;
    private int agentMoves;
    /** The list as it was when the node last had it. */
    private JsonObject known;
    private SimProcess process;
    private Node node;
    private long startedAt;
    private boolean stopping;
    private double cores;

    NodeHost(Stage stage, int number, Roster roster, DayRun.Manner manner, NodeFactory factory, Lives lives)
            throws IOException {
        this.stage = stage;
        this.number = number;
        this.factory = factory;
        this.lives = lives;
        fleet = manner.sharing() == null ? null : new FleetHost(stage, number, manner.sharing());
        hall = stage.map().hall(number);
        cores = stage.day().nodes().cores();
        seeds = stage.world().random("node " + number + " seeds");
        machine = stage.network().machine(NodeText.name(number), hall, SiteMap.node(number));
        SimProcess agentProcess = machine.boot(Process.unbounded("agent " + number), NodeHost::rethrow);
        agent = new DiscoveryAgent(number, roster, stage.day().discovery(), agentProcess,
                stage.world().random("agent " + number), stage.trace());
        agent.start(SiteMap.agent(number, 0));
        stage.network().join(SiteMap.ALL_PEERS, SiteMap.peer(number));
        known = agent.list();
    }

    /** Guards against figures from a site that is broken itself. */
    static void rethrow(Throwable failure) {
        throw new IllegalStateException("the laboratory failed", failure);
    }

    @Override
    public DiscoveryAgent agent() {
        return agent;
    }

    SimMachine machine() {
        return machine;
    }

    int hall() {
        return hall;
    }

    @Override
    public boolean isRunning() {
        return process != null && process.isAlive();
    }

    private Map<String, String> environment() {
        Map<String, String> environment = new LinkedHashMap<>();
        environment.put("EDGE_NAME", NodeText.name(number));
        environment.put("EDGE_LISTEN", Addresses.format(SiteMap.listen(number)));
        environment.put("EDGE_DISCOVERY", Addresses.format(agent.address()));
        environment.put("EDGE_CONFIG", FILE);
        return environment;
    }

    private void writeFile() {
        machine.files().put(FILE, NodeText.write(stage.day(), SiteMap.places(stage.day().nodes().count()),
                number, hall, agent.address(), seeds.nextLong(), known));
    }

    @Override
    public void start() {
        if (isRunning()) {
            return;
        }
        writeFile();
        stage.tell(Kind.NODE_STARTED, number, hall, null);
        startedAt = stage.world().nanos();
        stopping = false;
        lives.started(number);
        agent.nodeStarts();
        SimProcess started = machine.boot(new Process(NodeText.name(number), stage.day().nodes().sockets(), cores,
                stage.day().nodes().taskCost(), KIB_COST), this::broke);
        process = started;
        try {
            RateLimitedLog log = new RateLimitedLog(started.clock(), this::logged);
            node = factory.create(NodeConfig.read(environment(), machine.files()), started, log);
            if (fleet != null) {
                fleet.join(node, started, log);
            }
        } catch (ConfigException e) {
            stage.tell(Kind.NODE_LOGGED, number, 1, e.getMessage());
            exit(started, 2);
            return;
        }
        Node begun = node;
        started.execute(() -> {
            try {
                if (fleet != null) {
                    fleet.start();
                }
                begun.start();
            } catch (IOException e) {
                stage.tell(Kind.NODE_LOGGED, number, 1, e.getMessage());
                stage.world().after(Duration.ZERO, () -> exit(started, 1));
            }
        });
    }

    private void broke(Throwable failure) {
        stage.tell(Kind.NODE_BROKE, number, 0, describe(failure));
    }

    private void logged(boolean warning, String line, Throwable cause) {
        stage.tell(Kind.NODE_LOGGED, number, warning ? 1 : 0, line);
        if (cause instanceof RuntimeException || cause instanceof Error) {
            broke(cause);
        }
    }

    /** What was thrown and where, in one line that is the same in every process. */
    private static String describe(Throwable failure) {
        StringBuilder text = new StringBuilder(String.valueOf(failure));
        StackTraceElement[] trace = failure.getStackTrace();
        for (int i = 0; i < Math.min(6, trace.length); i++) {
            text.append(" at ").append(trace[i].getClassName()).append('.').append(trace[i].getMethodName())
                    .append(':').append(trace[i].getLineNumber());
        }
        return text.toString();
    }

    @Override
    public void kill() {
        if (isRunning()) {
            stage.tell(Kind.NODE_KILLED, number, 0, null);
            process.kill();
            if (fleet != null) {
                fleet.killed();
            }
            ended();
        }
    }

    private void exit(SimProcess which, int status) {
        if (which.isAlive()) {
            stage.tell(Kind.NODE_ENDED, number, status, null);
            which.exit();
            ended();
        }
    }

    private void ended() {
        known = agent.list();
        agent.nodeEnds();
        node = null;
    }

    @Override
    public void stop() {
        if (!isRunning() || stopping) {
            return;
        }
        stopping = true;
        stage.tell(Kind.NODE_TOLD_TO_STOP, number, 0, null);
        SimProcess told = process;
        int[] open = {fleet == null ? 1 : 2};
        Runnable ends = () -> {
            if (--open[0] == 0) {
                stage.world().after(Duration.ZERO, () -> exit(told, 0));
            }
        };
        node.stop(ends);
        if (fleet != null) {
            fleet.stop(told, ends);
        }
        Duration longest = stage.day().classes().stream().map(RequestClass::deadline).max(Duration::compareTo)
                .filter(d -> d.compareTo(LONGEST_DEADLINE) < 0).orElse(LONGEST_DEADLINE);
        stage.world().after(longest.plus(KILLED_AFTER), () -> {
            if (told == process) {
                kill();
            }
        });
    }

    @Override
    public boolean isStopping() {
        return isRunning() && stopping;
    }

    @Override
    public void reload(boolean usable) {
        whenSettled(() -> {
            writeFile();
            if (!usable) {
                machine.files().put(FILE, UNUSABLE);
            }
            hangUp();
        });
    }

    @Override
    public void moveAgent() {
        whenSettled(() -> {
            agentMoves++;
            try {
                agent.moveTo(SiteMap.agent(number, agentMoves));
            } catch (IOException e) {
                rethrow(e);
            }
            writeFile();
            hangUp();
        });
    }

    private void whenSettled(Runnable task) {
        long from = isRunning() ? startedAt + FIRST.toNanos() : 0;
        if (from <= stage.world().nanos()) {
            task.run();
        } else {
            stage.world().at(from, () -> whenSettled(task));
        }
    }

    private void hangUp() {
        if (isRunning() && !stopping) {
            stage.tell(Kind.NODE_TOLD_TO_RELOAD, number, 0, null);
            Map<String, String> environment = environment();
            node.reload(() -> NodeConfig.reread(environment, machine.files()));
        }
    }

    @Override
    public void drain() {
        if (isRunning() && !stopping) {
            stage.tell(Kind.NODE_TOLD_TO_DRAIN, number, 0, null);
            Node told = node;
            SimProcess of = process;
            of.execute(() -> told.lifecycle().onEvacuate(of.clock().now()));
            stage.world().after(DRAINED_AFTER, () -> lookAtDrain(told, of));
        }
    }

    private void lookAtDrain(Node drained, SimProcess of) {
        if (drained == node && drained.lifecycle().state() == Lifecycle.State.DRAINING) {
            int kept = drained.clientsAtRest() + (drained.lifecycle().isUp(of.clock().now()) ? 1 : 0);
            if (kept > 0) {
                stage.tell(Kind.NODE_KEPT, number, kept, null);
            }
        }
    }

    @Override
    public void rejoin() {
        if (isRunning() && !stopping) {
            stage.tell(Kind.NODE_TOLD_TO_REJOIN, number, 0, null);
            Node told = node;
            SimProcess of = process;
            of.execute(() -> told.lifecycle().onRejoin(of.clock().now()));
        }
    }

    @Override
    public void vanish() {
        stage.tell(Kind.NODE_VANISHED, number, 0, null);
        machine.vanish();
    }

    @Override
    public void appear() {
        machine.appear();
        stage.tell(Kind.NODE_RETURNED, number, 0, null);
    }

    @Override
    public void pause(Duration length) {
        if (isRunning()) {
            process.pause(length);
        }
    }

    @Override
    public void cores(double share) {
        cores = stage.day().nodes().cores() * share;
        if (isRunning()) {
            process.cores(cores);
        }
    }

    /** Tells what it still holds, all clients having gone, beyond what a node at rest does. */
    void tellHeld() {
        if (isRunning()) {
            held("requests", node.openCount());
            held("connections", process.openConnections() - RESTING_CONNECTIONS);
            held("descriptors", process.descriptors() - RESTING_DESCRIPTORS - (fleet == null ? 0 : FLEET_DESCRIPTORS));
            held("timers", process.pendingTimers() - RESTING_TIMERS - (fleet == null ? 0 : FLEET_TIMERS));
        }
    }

    private void held(String what, int count) {
        if (count > 0) {
            stage.tell(Kind.NODE_HELD, number, count, what);
        }
    }
}
