package rowanplank.lab.site;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.ToIntFunction;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import rowanplank.lab.day.Day;
import rowanplank.lab.trace.Event;
import rowanplank.lab.trace.Event.Kind;
import rowanplank.lab.trace.Trace;
import rowanplank.net.Loop;

/**
 * One life of a page server's process, as the platform's protocol describes it: HTTP/1.1 on one side, a
 * {@link ServerModel} on the other. It begins on a request when its last byte has come. Everything is called on its
 * loop's thread.
 *
 * <p><b>Turned away</b>, with {@code X-Not-Processed: 1}, is: 503 what finds no slot and no room, comes while it
 * drains, or on a connection beyond its bound; 504 what is over when it comes or when its turn comes, where the kind
 * drops that.
 * A connection beyond the bound is let in to be told so and closed, up to a quarter of the bound; one beyond that is
 * closed at once. What nobody waits for any more runs on. A connection is closed once it has been quiet for the idle
 * time and nothing on it waits for an answer.
 *
 * <p><b>Costs.</b> A new connection brings its handshake's work, done beside the requests; the first request on it
 * begins after that. Probes are answered when their work is done, {@value Service#PROBES_PER_CORE} a core at once at
 * most, else 503. While it stands still, its machine goes on accepting, and everything that comes waits.
 *
 * <p><b>Events.</b> As {@link Event.Kind} has them, with the times at which nodes wrote and closed where the end point
 * is {@link rowanplank.lab.net.Stamped}. What is no request of ours is TRY_BEGAN with request NONE and the reason, and
 * nothing follows. TRY_LOST with the text {@code silent}, or on a connection of no further use, says that no answer
 * will come; the try is still out on an open connection until TRY_WITHDRAWN. A node that closed before the answer was
 * written is told of as TRY_WITHDRAWN after TRY_ANSWERED, since its end was on the way: the value says when it was.
 *
 * <p><b>Bounds.</b> Connections as above, 16 requests ahead on each, one request's bytes each.
 */
public final class PageServer {
    /** A probe with this field is told what Prequal's own servers tell, which the platform's don't. */
    public static final String CROWD_WANTED = "X-Lab-Crowd-Wanted";
    /** Requests in flight, and the median latency in ms that so many had lately (-1: none): see LatencyByCrowd. */
    public static final String CROWD = "X-Lab-Crowd";
    private static final int BACKLOG = 512;

    /**
     * Who a server is and what it can do.
     *
     * @param number of this life of it
     * @param tookOver the life that stood at its address before it; {@link Event#NONE} if none did
     * @param name by which discovery knows it
     * @param speed its own
     * @param cold whether it starts cold; else it has run for long
     * @param probes whether probes are allowed
     */
    public record Setup(int number, int tookOver, String name, int hall, Day.Kind kind, double speed, boolean cold,
            Day.Servers servers, Day.Rules rules, boolean probes) { }

    private final Setup setup;
    private final Works works;
    private final ToIntFunction<InetSocketAddress> nodes;
    private final Loop loop;
    private final Teller teller;
    private final Runnable whenFallen;
    private final Fates fates;
    private final LoadReports reports;
    private final Pauses pauses;
    private final Machine machine;
    private final Service service;
    private final ServerConnections open;
    /** Requests on their way here as {@link #sent} has told, the first to come first. */
    private final PriorityQueue<ServerModel.Offer> coming =
            new PriorityQueue<>(Comparator.comparingLong(ServerModel.Offer::at));
    private Loop.Listening listening;
    private boolean over;

    /**
     * @param nodes which node a connection from this address is of; {@link Event#NONE} if of none
     * @param random its own source of chance
     * @param whenFallen run when it has fallen over, to end its process; its sockets are closed after that
     */
    public PageServer(Setup setup, Works works, ToIntFunction<InetSocketAddress> nodes, Loop loop,
            UniformRandomProvider random, Trace trace, Runnable whenFallen) {
        this.setup = setup;
        this.works = works;
        this.nodes = nodes;
        this.loop = loop;
        this.whenFallen = whenFallen;
        teller = new Teller(loop, trace);
        Day.Servers servers = setup.servers;
        ServerModel model = new ServerModel(setup.kind, setup.speed, servers.connections(), setup.rules,
                servers.warmBy().equals("work"), setup.cold, teller.now());
        machine = new Machine(model, loop, teller);
        fates = new Fates(ownSource(random), setup.kind.errors());
        reports = new LoadReports(servers.report(), setup.kind.cores(), model, loop, teller, ownSource(random));
        pauses = new Pauses(setup.kind, loop, teller, ownSource(random), machine::standStill);
        service = new Service(setup, works, teller, machine, fates, reports, pauses, ownSource(random), this::fall);
        open = new ServerConnections(ServerModel.mostConnections(setup.kind, servers.connections()),
                servers.connections().idle(), loop, teller);
    }

    /** Guards comparisons: what one fault draws must not move what the pauses or the reports draw. */
    private static UniformRandomProvider ownSource(UniformRandomProvider random) {
        return RandomSource.XO_SHI_RO_256_PP.create(random.nextLong());
    }

    /** Begins to serve; to be called once, in the instant in which it was made. */
    public void start(InetSocketAddress address) throws IOException {
        listening = loop.listen(address, BACKLOG, this::accept);
        teller.tell(Kind.SERVER_STARTED, Event.NONE, setup.number, setup.tookOver, setup.hall, setup.name);
        reports.start();
        pauses.start();
    }

    /** Where it listens, once it has started. */
    public InetSocketAddress address() {
        return listening.address();
    }

    /** So many times slower from now on; 1 for none. */
    public void slow(double times) {
        machine.slow(times);
    }

    /** It stands still now and then, for so long each time and three times as long in between; zero for no more. */
    public void pauses(Duration each) {
        pauses.trouble(each);
    }

    /** @param share of requests answered 500, where it is more than the kind's; half of them have run */
    public void errors(double share) {
        fates.errors = share;
    }

    /** @param share of answers that can't be read; see {@link Spoilt} */
    public void spoilt(double share) {
        fates.spoilt = share;
    }

    /** @param share of answers that are good and bring more than belongs to them */
    public void extras(double share) {
        fates.extras = share;
    }

    /** @param share of requests whose connection ends: before they run, in place of the answer, or half-way through */
    public void resets(double share) {
        fates.resets = share;
    }

    /** @param share of requests that run and after which the connection stays open and silent for ever */
    public void silent(double share) {
        fates.silent = share;
    }

    /** Load reports come so much later than usual. */
    public void reportsLate(Duration more) {
        reports.late(more);
    }

    /** @param share of load reports that can't be read */
    public void reportsBroken(double share) {
        reports.broken(share);
    }

    /**
     * Finishes what it has and turns away what comes.
     *
     * @param nothingLeft run once nothing is in work and nothing waits
     */
    public void drain(Runnable nothingLeft) {
        teller.tell(Kind.SERVER_DRAINS, Event.NONE, setup.number, Event.NONE, 0, null);
        service.drain();
        machine.whenEmpty(nothingLeft);
    }

    /** Its process ends by itself: what is out is lost, its connections are closed. */
    public void stop() {
        killed();
        closeSockets();
    }

    /** Its process has been killed: tells so; what becomes of its sockets is its machine's. */
    public void killed() {
        if (!over) {
            teller.tell(Kind.SERVER_ENDED, Event.NONE, setup.number, Event.NONE, 0, null);
            end("its server ended");
        }
    }

    /** What it can do, in cores of speed 1, as of its last change; see {@link ServerModel#capacity}. */
    public double capacity() {
        return machine.model().capacity();
    }

    /**
     * When it would be done with a request that comes then, after those that are known to be on their way.
     *
     * @param when nanoseconds since the beginning, not before now
     * @return {@link ServerModel#NEVER} if it would not be served
     */
    public long doneAt(long when, long request) {
        if (over || service.isDraining() || !works.knows(request)) {
            return ServerModel.NEVER;
        }
        forgetCome();
        List<ServerModel.Offer> others = new ArrayList<>(coming);
        others.sort(coming.comparator());
        return machine.modelNow().doneAt(when, works.work(request, setup.number), others);
    }

    /** Whether one more request would make it less efficient. */
    public boolean isCrowdedByOne() {
        forgetCome();
        return machine.modelNow().isCrowdedBy(coming.size() + 1);
    }

    private void forgetCome() {
        while (!coming.isEmpty() && coming.peek().at() <= teller.now()) {
            coming.poll();
        }
    }

    /** A request is on its way here, and comes then. */
    public void sent(long when, long request) {
        if (works.knows(request)) {
            coming.add(new ServerModel.Offer(when, works.work(request, setup.number)));
        }
    }

    private void fall() {
        teller.tell(Kind.SERVER_FELL, Event.NONE, setup.number, Event.NONE, 0, null);
        end("its server fell over");
        whenFallen.run();
        closeSockets();
    }

    private void end(String how) {
        over = true;
        machine.end();
        reports.end();
        pauses.end();
        open.end();
        open.all().forEach(c -> c.abandon(how));
    }

    private void closeSockets() {
        try {
            listening.close();
        } catch (IOException e) {
            loop.report(e);
        }
        open.all().forEach(ServerConnection::close);
    }

    private Connection accept(EndPoint endPoint) {
        int node = nodes.applyAsInt((InetSocketAddress) endPoint.getRemoteSocketAddress());
        return new ServerConnection(endPoint, loop, this, service, teller, node, open.isFull());
    }

    void opened(ServerConnection connection) {
        open.add(connection);
        if (over || open.isOverfull()) {
            connection.lose("closed since there are too many");
            return;
        }
        machine.connections(open.counted());
        long handshake = setup.servers.connections().handshake().toNanos();
        if (handshake == 0) {
            connection.ready();
        } else if (!connection.isSurplus()) {
            machine.beside(handshake, connection::ready);
        }
    }

    void over(ServerConnection connection) {
        open.remove(connection);
        if (!over) {
            machine.connections(open.counted());
        }
    }

    void heard(ServerConnection connection) {
        open.heard(connection);
    }
}
