package rowanplank.lab.run;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import rowanplank.lab.day.Fault;
import rowanplank.lab.net.Link;
import rowanplank.lab.trace.Event;
import rowanplank.lab.trace.Event.Kind;

/**
 * Brings a day's faults at their time. Of two that fall on one instant, ends come before beginnings, and then the
 * day's order holds; all of them come before anything else that is due in that instant, since they are entered before
 * the day begins. What finds its target away (a process that does not run) does not happen, and is not told.
 */
public final class Timeline {
    /** One step, at its time. */
    private record Step(long at, int place, boolean end, Runnable task) { }

    /** The ways between halls. */
    public interface Ways {
        Link link(int from, int to);
    }

    private final Ground ground;
    private final Ways ways;
    private final List<? extends NodeControl> nodes;
    private final List<ServerHost> servers;
    private int left;

    public Timeline(Ground ground, Ways ways, List<? extends NodeControl> nodes, List<ServerHost> servers) {
        this.ground = ground;
        this.ways = ways;
        this.nodes = nodes;
        this.servers = servers;
    }

    /** Enters all faults of the day, which begins now. */
    public void enter() {
        long begins = ground.nanos();
        List<Step> steps = new ArrayList<>();
        for (int i = 0; i < ground.day().faults().size(); i++) {
            Fault f = ground.day().faults().get(i);
            int place = i;
            long end = f.at().plus(f.length()).toNanos();
            boolean[] began = new boolean[1];
            steps.add(new Step(f.at().toNanos(), i, false, () -> {
                began[0] = begin(f, place);
                if (began[0] && f.length().isZero()) {
                    tell(Kind.FAULT_ENDED, f, place);
                }
            }));
            if (!f.length().isZero()) {
                steps.add(new Step(end, i, true, () -> {
                    if (began[0]) {
                        end(f);
                        tell(Kind.FAULT_ENDED, f, place);
                    }
                }));
            }
        }
        steps.sort(Comparator.comparingLong(Step::at).thenComparing(s -> !s.end).thenComparingInt(Step::place));
        left = steps.size();
        steps.forEach(s -> ground.at(begins + s.at, () -> {
            left--;
            s.task.run();
        }));
    }

    /** Whether all of it has come. */
    public boolean isOver() {
        return left == 0;
    }

    private void tell(Kind kind, Fault f, int place) {
        boolean one = f.target() != Fault.ALL;
        int node = one && (f.kind().at() == Fault.At.NODE || f.kind().at() == Fault.At.DISCOVERY) ? f.target()
                : Event.NONE;
        int server = one && f.kind().at() == Fault.At.SERVER ? servers.get(f.target()).life() : Event.NONE;
        ground.trace().tell(ground.nanos(), kind, node, server, Event.NONE, place,
                f.kind().name().toLowerCase(Locale.ROOT));
    }

    /** @return whether there was something for it to be at */
    private boolean begin(Fault f, int place) {
        boolean away = switch (f.kind()) {
            case SERVER_KILLED, SERVER_DRAINED -> serversOf(f).stream().noneMatch(ServerHost::isUp);
            case NODE_KILLED, NODE_PAUSED -> nodesOf(f).stream().noneMatch(NodeControl::isRunning);
            case NODE_RESTARTED -> nodesOf(f).stream().noneMatch(n -> n.isRunning() && !n.isStopping());
            default -> false;
        };
        if (!away) {
            tell(Kind.FAULT_BEGAN, f, place);
            start(f);
        }
        return !away;
    }

    private void start(Fault f) {
        double size = f.size();
        switch (f.kind()) {
            case SLOW, PAUSES, ERRORS, SPOILT, EXTRAS, RESETS, SILENT, REPORTS_LATE, REPORTS_BROKEN ->
                    atServers(f, s -> s.begin(f.kind(), size));
            case SERVER_KILLED -> atServers(f, s -> killServer(s, f));
            case SERVER_VANISHED -> atServers(f, ServerHost::vanish);
            case SERVER_DRAINED -> atServers(f, s -> {
                if (s.isUp()) {
                    s.drain(ground.nanos() + f.length().toNanos());
                }
            });
            case SERVER_REPLACED -> atServers(f, s -> s.replace(size == 1));
            case DISCOVERY_STALE -> atNodes(f, n -> n.agent().stale(ServerHost.millis(size)));
            case DISCOVERY_OUTAGE -> atNodes(f, n -> n.agent().outage(true));
            case DISCOVERY_HALF -> atNodes(f, n -> n.agent().halves(size));
            case DISCOVERY_MALFORMED -> atNodes(f, n -> n.agent().malformed(size));
            case DISCOVERY_MOVED -> atNodes(f, NodeControl::moveAgent);
            case NODE_KILLED -> atNodes(f, n -> killNode(n, f));
            case NODE_RESTARTED -> atNodes(f, n -> restart(n, f));
            case NODE_VANISHED -> atNodes(f, NodeControl::vanish);
            case NODE_PAUSED -> atNodes(f, n -> n.pause(f.length()));
            case NODE_RELOADED -> atNodes(f, n -> n.reload(size == 0));
            case NODE_DRAINED -> atNodes(f, NodeControl::drain);
            case NODE_SHORT -> atNodes(f, n -> n.cores(size));
            case CUT -> atLinks(f, l -> l.cut(true));
            case LOSS -> atLinks(f, l -> l.loss(size));
            case DELAY -> atLinks(f, l -> l.delay(ServerHost.millis(size)));
            case SPIKE, SKEW, BAD_CLIENTS, SILENT_CLIENTS -> { } // clients know them beforehand
        }
    }

    private void killServer(ServerHost server, Fault f) {
        if (server.isUp()) {
            server.kill();
            Duration away = f.length().isZero() ? ground.day().servers().restartAfter() : f.length();
            ground.after(away, server::startAgain);
        }
    }

    private void killNode(NodeControl node, Fault f) {
        if (node.isRunning()) {
            node.kill();
            ground.after(f.length(), node::start);
        }
    }

    private void restart(NodeControl node, Fault f) {
        if (node.isRunning()) {
            node.stop();
            ground.after(f.length(), () -> startOnceEnded(node));
        }
    }

    private void startOnceEnded(NodeControl node) {
        if (node.isStopping()) {
            ground.after(Duration.ofMillis(1), () -> startOnceEnded(node));
        } else {
            node.start();
        }
    }

    private void end(Fault f) {
        switch (f.kind()) {
            case SLOW, PAUSES, ERRORS, SPOILT, EXTRAS, RESETS, SILENT, REPORTS_LATE, REPORTS_BROKEN ->
                    atServers(f, s -> s.end(f.kind()));
            case SERVER_VANISHED -> atServers(f, ServerHost::appear);
            case DISCOVERY_STALE -> atNodes(f, n -> n.agent().stale(Duration.ZERO));
            case DISCOVERY_OUTAGE -> atNodes(f, n -> n.agent().outage(false));
            case DISCOVERY_HALF -> atNodes(f, n -> n.agent().halves(0));
            case DISCOVERY_MALFORMED -> atNodes(f, n -> n.agent().malformed(0));
            case NODE_VANISHED -> atNodes(f, NodeControl::appear);
            case NODE_DRAINED -> atNodes(f, NodeControl::rejoin);
            case NODE_SHORT -> atNodes(f, n -> n.cores(1));
            case CUT -> atLinks(f, l -> l.cut(false));
            case LOSS -> atLinks(f, l -> l.loss(0));
            case DELAY -> atLinks(f, l -> l.delay(Duration.ZERO));
            default -> { } // it ends by itself
        }
    }

    private List<ServerHost> serversOf(Fault f) {
        return f.target() == Fault.ALL ? servers : List.of(servers.get(f.target()));
    }

    private List<? extends NodeControl> nodesOf(Fault f) {
        return f.target() == Fault.ALL ? nodes : List.of(nodes.get(f.target()));
    }

    private void atServers(Fault f, Consumer<ServerHost> task) {
        serversOf(f).forEach(task);
    }

    private void atNodes(Fault f, Consumer<NodeControl> task) {
        nodesOf(f).forEach(task);
    }

    /** All links: those between different halls. */
    private void atLinks(Fault f, Consumer<Link> task) {
        int halls = ground.day().halls().size();
        for (int i = 0; i < halls * halls; i++) {
            if (f.target() == i || f.target() == Fault.ALL && i / halls != i % halls) {
                task.accept(ways.link(i / halls, i % halls));
            }
        }
    }
}
