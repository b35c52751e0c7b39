package rowanplank.lab.check;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import rowanplank.lab.day.Fault;
import rowanplank.lab.trace.Event;
import rowanplank.lab.trace.Recent;

/** The site as the events have told it so far: nodes, servers, what nodes were told, and what goes wrong where. */
final class Picture {
    private static final int RECENT_FAULTS = 8;

    final Told told = new Told();
    /** The last faults that began or ended. */
    final Recent faults = new Recent(RECENT_FAULTS);
    private final Figures figures;
    /** Looked up, and gone through only to do the same to each. */
    private final Map<Integer, Node> nodes = new LinkedHashMap<>();
    private final Map<Integer, Server> servers = new LinkedHashMap<>();
    /** While any fault keeps up what is sent. */
    final Spans held = new Spans();
    /** Where it was not said which one. */
    private final Spans allServersVanished = new Spans();
    private long now;
    /** By pair of halls, one way. */
    private final Map<Integer, Spans> ways = new LinkedHashMap<>();

    Picture(Figures figures) {
        this.figures = figures;
    }

    Node node(int number) {
        return nodes.computeIfAbsent(number, n -> new Node());
    }

    Server server(int number) {
        return servers.computeIfAbsent(number, n -> new Server());
    }

    /** The name of the server that the event is about. */
    String name(Event e) {
        return e.server() == Event.NONE ? e.text() : server(e.server()).name;
    }

    /** When the last event was told. */
    long now() {
        return now;
    }

    void see(Event e) {
        now = e.at();
        if (isOfOneRequest(e)) {
            return;
        }
        if (e.node() != Event.NONE) {
            node(e.node()).see(e);
        }
        if (e.server() != Event.NONE) {
            server(e.server()).see(e);
        }
        told.see(e, name(e));
        switch (e.kind()) {
            case FAULT_BEGAN, FAULT_ENDED -> fault(e);
            default -> { }
        }
    }

    private static boolean isOfOneRequest(Event e) {
        return switch (e.kind()) {
            case ARRIVED, ASKED, ASKED_AGAIN, ANSWERED, CUT_SHORT, GAVE_UP, NOT_CONNECTED, SENT_ANEW, BAD_BEGAN,
                    BAD_ENDED, BAD_SERVED, TRY_BEGAN, TRY_CAME, TRY_RUNS, TRY_OFFERED_COLD, TRY_ANSWERED, TRY_WITHDRAWN,
                    TRY_LOST, PROBED, DATAGRAM -> true;
            default -> false;
        };
    }

    private void fault(Event e) {
        faults.tell(e);
        if (e.value() < 0 || e.value() >= figures.faults().size()) {
            return;
        }
        Fault fault = figures.faults().get((int) e.value());
        Consumer<Spans> change = e.kind() == Event.Kind.FAULT_BEGAN ? spans -> spans.begin(e.at())
                : spans -> spans.end(e.at() + Figures.after(fault).toNanos());
        if (Figures.holdsUp(fault)) {
            change.accept(held);
        }
        switch (fault.kind()) {
            case NODE_PAUSED -> nodes(e, fault, n -> change.accept(n.paused));
            case NODE_SHORT -> nodes(e, fault, n -> change.accept(n.coreShort));
            case SERVER_VANISHED -> change.accept(
                    e.server() == Event.NONE ? allServersVanished : server(e.server()).vanished);
            case CUT, LOSS, DELAY -> change.accept(way(fault.target()));
            default -> { }
        }
    }

    private void nodes(Event e, Fault fault, Consumer<Node> what) {
        int target = e.node() != Event.NONE ? e.node() : fault.target();
        if (target == Fault.ALL) {
            nodes.values().forEach(what);
        } else {
            what.accept(node(target));
        }
    }

    private Spans way(int pairOfHalls) {
        return ways.computeIfAbsent(pairOfHalls, p -> new Spans());
    }

    /** Whether what a node did to a server could be unseen, or seen late, between the two times. */
    boolean disturbed(int node, int server, long from, long to) {
        Node n = node(node);
        Server s = server(server);
        int halls = figures.halls();
        return n.vanished.touches(from, to) || s.vanished.touches(from, to) || allServersVanished.touches(from, to)
                || disturbed(n.hall * halls + s.hall, from, to) || disturbed(s.hall * halls + n.hall, from, to)
                || disturbed(Fault.ALL, from, to);
    }

    private boolean disturbed(int pairOfHalls, long from, long to) {
        Spans spans = ways.get(pairOfHalls);
        return spans != null && spans.touches(from, to);
    }
}
