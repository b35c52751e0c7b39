package rowanplank.lab.client;

import java.time.Duration;
import java.util.List;
import java.util.function.Function;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ContinuousSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import rowanplank.lab.day.Day.RequestClass;
import rowanplank.lab.site.Works;
import rowanplank.lab.trace.Event;
import rowanplank.lab.trace.Event.Kind;
import rowanplank.net.Loop;

/**
 * Clients that mean no good, of the kinds that {@link BadKind} lists. Each connection is one client: BAD_BEGAN when it
 * is up, BAD_ENDED at the first answer of 400 or above, at the connection's end, or when it leaves with neither;
 * BAD_SERVED at each answer of 2xx to what may not be served. What can't connect is not told.
 *
 * <p>They begin at given rates, known beforehand: a Poisson process for each span of time, with a source of chance of
 * its own ({@code bad.0}, {@code bad.1}, ... in the order of the calls), from which kind, node and all that is sent
 * are drawn too, so that no answer moves it.
 *
 * <p>Numbers: each has the {@value #NUMBERS} from its own on, the first at {@link #FIRST_NUMBER}; ids in what it sends
 * are of these. Page servers know only those of {@link BadKind#PIPELINED}, each of which may be served, and those of
 * the victims of {@link BadKind#OTHERS_ID}: requests like any other, of which nothing is told. An answer of 2xx to
 * another's id counts as served only while the victim has no answer; a request that has been answered is open no more.
 *
 * <p>Bounds: {@value #MOST_OPEN} connections; beyond that none begin. Each stays {@code stays} at most.
 */
public final class BadClients {
    /** The first number that no usual request has. */
    public static final long FIRST_NUMBER = 1L << 47;
    /** How many numbers each has. */
    public static final int NUMBERS = 1 << 10;

    private static final int MOST_OPEN = 1 << 13;
    private static final int ERROR = 400;
    /** A victim's request is surely at the node by then, and not yet answered. */
    private static final Duration VICTIM_AHEAD = Duration.ofMillis(20);
    private static final BadKind[] KINDS = BadKind.values();

    /**
     * How bad they are.
     *
     * @param longBody the bytes of a very long body, and of a head without end
     * @param atOnce how many requests one sends at once, {@link #NUMBERS} at most
     * @param crowd how many silent ones connect at once, where none but silent ones begin
     * @param repeats how often one sends the same again
     * @param stays how long one waits for an error or a close; they are owed one in less
     */
    public record Measures(int longBody, int atOnce, int crowd, int repeats, Duration stays) {
        public static final Measures USUAL = new Measures(4 << 20, 300, 100, 200, Duration.ofSeconds(10));

        public Measures {
            if (atOnce > NUMBERS) {
                throw new IllegalArgumentException("more than " + NUMBERS + " requests at once");
            }
        }
    }

    private final Loop loop;
    private final Witness witness;
    private final List<Target> nodes;
    private final Measures measures;
    private final BadScripts scripts;
    private final Function<String, UniformRandomProvider> random;
    private long next = FIRST_NUMBER;
    private int spans;
    private int pending;
    private int open;
    private boolean closed;

    /** @param random a source of chance of its own for each name */
    public BadClients(Loop loop, Witness witness, List<Target> nodes, List<RequestClass> classes, Works works,
            Measures measures, Function<String, UniformRandomProvider> random) {
        this.loop = loop;
        this.witness = witness;
        this.nodes = List.copyOf(nodes);
        this.measures = measures;
        this.random = random;
        scripts = new BadScripts(classes, works, measures);
    }

    /** Some of all kinds connect from {@code from} on, for {@code length}, so many a second over all nodes. */
    public void begin(Duration from, Duration length, double rate) {
        new Span(from.plus(length), rate, 1, chance -> KINDS[chance.nextInt(KINDS.length)]).await(from.toNanos());
    }

    /** The same for silent ones alone, which come in crowds. */
    public void beginSilent(Duration from, Duration length, double rate) {
        new Span(from.plus(length), rate, measures.crowd(), chance -> BadKind.SILENT).await(from.toNanos());
    }

    /** Connections that are up or being opened. */
    public int open() {
        return open;
    }

    /** Whether none is open and none will begin. */
    public boolean atRest() {
        return open == 0 && pending == 0;
    }

    /** No more begin; those there are leave in their time. */
    public void close() {
        closed = true;
    }

    /** One of them begins now, at a node. */
    void start(BadKind kind, Target node, UniformRandomProvider chance) {
        long number = next;
        next += NUMBERS;
        BadScript script = scripts.of(kind, number, chance);
        switch (kind) {
            case OTHERS_ID -> {
                Victim victim = new Victim(node, number, script);
                connect(node, scripts.victim(number), victim);
            }
            case REPEATED -> repeat(node, new Again(script.pieces().next()));
            default -> connect(node, script, new Bad(kind, node, number, script.mayBeServed()));
        }
    }

    private void repeat(Target node, Again again) {
        long number = next;
        next += NUMBERS;
        BadScript script = new BadScript(List.of(again.message).iterator(), BadScript.Then.STAY, false);
        connect(node, script, new Repeating(node, number, again));
    }

    private void connect(Target node, BadScript script, BadConnection.Owner owner) {
        if (closed || open >= MOST_OPEN) {
            return;
        }
        open++;
        loop.connect(node.address(), measures.stays(), new Loop.Connector() {
            @Override
            public Connection connected(EndPoint endPoint) {
                return new BadConnection(endPoint, loop, script, measures.stays(), owner);
            }

            @Override
            public void failed(Throwable cause) {
                open--;
            }
        });
    }

    /** One span of time in which they begin. */
    private final class Span {
        private final UniformRandomProvider chance = random.apply("bad." + spans++);
        private final ContinuousSampler gap = ZigguratSampler.Exponential.of(chance);
        private final long until;
        private final double mean;
        private final int crowd;
        private final Function<UniformRandomProvider, BadKind> kind;

        Span(Duration until, double rate, int crowd, Function<UniformRandomProvider, BadKind> kind) {
            this.until = until.toNanos();
            this.crowd = crowd;
            this.kind = kind;
            mean = crowd / rate * 1e9;
            pending++;
        }

        /** @param after when the last ones began: nanoseconds since the beginning */
        void await(double after) {
            double at = after + gap.sample() * mean;
            if (!(at < until) || closed) { // also where the rate is zero
                pending--;
                return;
            }
            loop.schedule(Duration.ofNanos(Math.max(0, (long) at - witness.now())), () -> {
                for (int i = 0; i < crowd; i++) {
                    start(kind.apply(chance), nodes.get(chance.nextInt(nodes.size())), chance);
                }
                await(at);
            });
        }
    }

    /** A bad client, and what is told of it. */
    private class Bad implements BadConnection.Owner {
        final Target node;
        private final BadKind kind;
        private final long number;
        private final boolean mayBeServed;
        private boolean ended;

        Bad(BadKind kind, Target node, long number, boolean mayBeServed) {
            this.kind = kind;
            this.node = node;
            this.number = number;
            this.mayBeServed = mayBeServed;
        }

        boolean mayBeServed() {
            return mayBeServed;
        }

        @Override
        public void opened() {
            witness.tell(Kind.BAD_BEGAN, node.node(), number, Event.NONE, kind.name());
        }

        @Override
        public void answered(BadConnection connection, int status) {
            if (status >= ERROR) {
                end(status);
            } else if (!mayBeServed()) {
                witness.tell(Kind.BAD_SERVED, node.node(), number, status, null);
            }
        }

        @Override
        public void over(boolean left) {
            open--;
            end(left ? Event.NONE : 0);
        }

        private void end(int how) {
            if (!ended) {
                ended = true;
                witness.tell(Kind.BAD_ENDED, node.node(), number, how, null);
            }
        }
    }

    /** A message that is sent again and again, so often yet. */
    private final class Again {
        private final byte[] message;
        private int left = measures.repeats();

        Again(byte[] message) {
            this.message = message;
        }
    }

    private final class Repeating extends Bad {
        private final Again again;

        Repeating(Target node, long number, Again again) {
            super(BadKind.REPEATED, node, number, false);
            this.again = again;
        }

        @Override
        public void answered(BadConnection connection, int status) {
            super.answered(connection, status);
            if (again.left > 0) {
                again.left--;
                connection.send(again.message);
            }
        }

        @Override
        public void over(boolean left) {
            super.over(left);
            if (!left && again.left > 0) {
                again.left--;
                repeat(node, again);
            }
        }
    }

    /** Asks as others do; once it has, somebody else comes with its id. */
    private final class Victim implements BadConnection.Owner {
        private final Target node;
        private final long number;
        private final BadScript thief;
        private boolean answered;

        Victim(Target node, long number, BadScript thief) {
            this.node = node;
            this.number = number;
            this.thief = thief;
        }

        @Override
        public void opened() { }

        @Override
        public void sent() {
            loop.schedule(VICTIM_AHEAD, () -> {
                if (!answered) {
                    connect(node, thief, new Bad(BadKind.OTHERS_ID, node, number, false) {
                        @Override
                        boolean mayBeServed() {
                            return answered;
                        }
                    });
                }
            });
        }

        @Override
        public void answered(BadConnection connection, int status) {
            answered = true;
            connection.close();
        }

        @Override
        public void over(boolean left) {
            answered = true;
            open--;
        }
    }
}
