package rowanplank.lab.client;

import java.time.Duration;
import java.util.Iterator;
import java.util.List;
import java.util.function.LongConsumer;
import rowanplank.net.Loop;

/**
 * Brings arrivals to their halls' fronts at their time, whatever has become of the earlier ones (open loop). One timer
 * is out at a time. A loop that is late catches up, {@value #MOST_A_TURN} arrivals at a time, and looks at its sockets
 * in between.
 */
public final class Clients {
    private static final int MOST_A_TURN = 64;
    /** A loop runs all that is due before it looks at its sockets, so what is left over must not be due at once. */
    private static final Duration BREATH = Duration.ofNanos(100_000);

    private final Loop loop;
    private final Witness witness;
    private final Iterator<Arrival> arrivals;
    private final List<Front> fronts;
    private final LongConsumer lateness;
    private Arrival next;
    private long from;
    private boolean begun;
    private int onTheWay;

    /** @param fronts one a hall, in the halls' order; each may be on a loop of its own, of the same thread */
    public Clients(Loop loop, Witness witness, Iterator<Arrival> arrivals, List<Front> fronts) {
        this(loop, witness, arrivals, fronts, late -> { });
    }

    /**
     * @param lateness told for each arrival how many nanoseconds after its time it was dealt with: written whole where
     *        a connection was at rest, else waiting for one
     */
    public Clients(Loop loop, Witness witness, Iterator<Arrival> arrivals, List<Front> fronts, LongConsumer lateness) {
        this.loop = loop;
        this.lateness = lateness;
        this.witness = witness;
        this.arrivals = arrivals;
        this.fronts = List.copyOf(fronts);
    }

    /** Fronts look for their nodes from now on, and nobody comes yet. */
    public void prepare() {
        fronts.forEach(f -> on(f, f::start));
    }

    /** All begins at once. */
    public void start() {
        prepare();
        begin(0);
    }

    /** Arrivals come from now on; their times count from this one, nanoseconds since the witness's beginning. */
    public void begin(long when) {
        begun = true;
        from = when;
        draw();
        await();
    }

    private void draw() {
        next = arrivals.hasNext() ? arrivals.next().moved(from, 0) : null;
    }

    private void await() {
        if (next != null) {
            long left = next.at() - witness.now();
            loop.schedule(left > 0 ? Duration.ofNanos(left) : BREATH, this::bringDue);
        }
    }

    private void bringDue() {
        long now = witness.now();
        for (int i = 0; i < MOST_A_TURN && next != null && next.at() <= now; i++) {
            Arrival arrival = next;
            Front front = fronts.get(arrival.hall());
            on(front, () -> {
                front.ask(arrival);
                lateness.accept(witness.now() - arrival.at());
            });
            draw();
        }
        await();
    }

    private void on(Front front, Runnable task) {
        if (front.loop == loop) {
            task.run();
            return;
        }
        onTheWay++;
        front.loop.execute(() -> {
            onTheWay--;
            task.run();
        });
    }

    /** Whether nobody comes any more and nothing is open. */
    public boolean atRest() {
        return begun && next == null && onTheWay == 0 && open() == 0;
    }

    /** Requests that have not come to their end, over all fronts. */
    public int open() {
        return fronts.stream().mapToInt(Front::open).sum();
    }

    public void close() {
        fronts.forEach(f -> on(f, f::close));
    }
}
