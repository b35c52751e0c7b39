package rowanplank.lab.check;

import java.util.Arrays;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import rowanplank.lab.trace.Event;

/**
 * What each node was told of each server, by the server's name: a process that comes back is the same to a node's list.
 * Bounds: an entry for each change that a node was told of, and one a start of a node.
 */
final class Told {
    /** The node's new life may have it from the list of its last one, which may be old. */
    private static final int UNSURE = -1;
    private static final int READY = 1;

    /** What one node was told of one server, in the order of telling. */
    private static final class History {
        private long[] at = new long[2];
        private int[] state = new int[2];
        private int size;

        void add(long when, int what) {
            if (size > 0 && state[size - 1] == what) {
                return; // the same once more
            }
            if (size == at.length) {
                at = Arrays.copyOf(at, 2 * size);
                state = Arrays.copyOf(state, 2 * size);
            }
            at[size] = when;
            state[size++] = what;
        }
    }

    /** By node, then by the server's name. */
    private final Map<Integer, Map<String, History>> histories = new LinkedHashMap<>();
    /** By node: the lives of servers of whose start it was told, and when it was. */
    private final Map<Integer, Map<Integer, Long>> starts = new LinkedHashMap<>();
    /** When each name was first heard of. */
    private final Map<String, Long> first = new LinkedHashMap<>();

    /** @param name of the server that the event is about */
    void see(Event e, String name) {
        switch (e.kind()) {
            case SERVER_STARTED -> first.putIfAbsent(name, e.at());
            case NODE_STARTED -> of(e.node()).values().forEach(h -> h.add(e.at(), UNSURE));
            case TOLD -> {
                of(e.node()).computeIfAbsent(name, n -> new History()).add(e.at(), (int) e.value());
                if (e.server() != Event.NONE && e.value() != 0) {
                    starts.computeIfAbsent(e.node(), n -> new LinkedHashMap<>()).putIfAbsent(e.server(), e.at());
                }
            }
            default -> { }
        }
    }

    private Map<String, History> of(int node) {
        return histories.computeIfAbsent(node, n -> new LinkedHashMap<>());
    }

    /**
     * Whether the node was ever told of a server of this name by then, or may have it from the list that it began with.
     *
     * @param started when the node's process did
     */
    boolean named(int node, String name, long by, long started) {
        History h = of(node).get(name);
        return first.getOrDefault(name, Node.NEVER) <= started || h != null && h.at[0] <= by;
    }

    /**
     * Since when the node had been told, at this time, that the server takes nothing new.
     *
     * @return {@link Node#NEVER} if it was not so told
     */
    long unwantedSince(int node, String name, long when) {
        History h = of(node).get(name);
        long since = Node.NEVER;
        for (int i = 0; h != null && i < h.size && h.at[i] <= when; i++) {
            boolean unwanted = h.state[i] != READY && h.state[i] != UNSURE;
            since = !unwanted ? Node.NEVER : since == Node.NEVER ? h.at[i] : since;
        }
        return since;
    }

    /** Whether the node had been told by then of the start of this life of a server. */
    boolean knewOfStart(int node, int server, long by) {
        Long at = starts.getOrDefault(node, Collections.emptyMap()).get(server);
        return at != null && at <= by;
    }
}
