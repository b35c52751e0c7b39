package rowanplank.lab.site;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.ToIntFunction;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import rowanplank.lab.day.Day;
import rowanplank.lab.site.Fates.Fate;
import rowanplank.lab.trace.Event;
import rowanplank.lab.trace.Event.Kind;
import rowanplank.lab.trace.Trace;
import rowanplank.net.Loop;

/**
 * One life of a page server's process, as the platform's protocol describes it: HTTP/1.1 on one side, a
 * {@link ServerModel} on the other. It begins on a request when its last byte has come. Everything is called on its
 * loop's thread.
 *
 * <p><b>Turned away</b>, with {@code X-Not-Processed: 1}, is: 503 what finds no slot and no room, comes while it drains,
 * or on a connection beyond its bound; 504 what is over when it comes or when its turn comes, where the kind drops that.
 * A connection beyond the bound is let in to be told so and closed, up to a quarter of the bound; one beyond that is
 * closed at once. What nobody waits for any more runs on. A connection is closed once it has been quiet for the idle
 * time and nothing on it waits for an answer.
 *
 * <p><b>Costs.</b> A new connection brings its handshake's work, done beside the requests; the first request on it
 * begins after that. Probes are answered when their work is done, {@value #PROBES_PER_CORE} a core at once at most, else
 * 503. While it stands still, its machine goes on accepting, and everything that comes waits.
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
    static final int PROBES_PER_CORE = 2;
    private static final int BACKLOG = 512;
    private static final String REPORT = "X-Server-Load: ";
    /** Of so many answers one comes in chunks. */
    private static final int ONE_IN_CHUNKS = 8;

    /**
     * Who a server is and what it can do.
     *
     * @param number of this life of it
     * @param name by which discovery knows it
     * @param tookOver the number of the server whose address it has; {@link Event#NONE} if it has one of its own
     * @param speed its own
     * @param cold whether it starts cold; else it has run for long
     * @param probes whether probes are allowed
     */
    public record Setup(int number, String name, int tookOver, int hall, Day.Kind kind, double speed, boolean cold,
            Day.Servers servers, Day.Rules rules, boolean probes) { }

    private final Setup setup;
    private final Works works;
    private final ToIntFunction<InetSocketAddress> nodes;
    private final Loop loop;
    private final Teller teller;
    private final UniformRandomProvider random;
    private final Fates fates;
    private final Runnable whenFallen;
    private final ServerModel model;
    private final LoadReports reports;
    private final Pauses pauses;
    private final ServerConnections open;
    /** What follows from the model's last step; it must not be called back within it. */
    private final Deque<Runnable> due = new ArrayDeque<>();
    private Loop.Listening listening;
    private Loop.Timer change;
    private long changeAt = ServerModel.NEVER;
    private boolean draining;
    private Runnable whenEmpty;
    private boolean over;
    private int probing;
    private long answers;

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
        this.random = ownSource(random);
        Day.Servers servers = setup.servers;
        fates = new Fates(ownSource(random), setup.kind.errors());
        model = new ServerModel(setup.kind, setup.speed, servers.connections(), setup.rules,
                servers.warmBy().equals("work"), setup.cold, teller.now());
        reports = new LoadReports(servers.report(), setup.kind.cores(), model, loop, teller, ownSource(random));
        pauses = new Pauses(setup.kind, loop, teller, ownSource(random), this::standStill);
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
        model.slow(teller.now(), times);
        settle();
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
        draining = true;
        whenEmpty = nothingLeft;
        teller.tell(Kind.SERVER_DRAINS, Event.NONE, setup.number, Event.NONE, 0, null);
        settle();
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

    /** What it can do now, in cores of speed 1; see {@link ServerModel#capacity}. */
    public double capacity() {
        model.advance(teller.now());
        settle();
        return model.capacity();
    }

    private void fall() {
        teller.tell(Kind.SERVER_FELL, Event.NONE, setup.number, Event.NONE, 0, null);
        end("its server fell over");
        whenFallen.run();
        closeSockets();
    }

    private void end(String how) {
        over = true;
        due.clear();
        reports.end();
        pauses.end();
        open.end();
        cancelChange();
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

    private void cancelChange() {
        if (change != null) {
            change.cancel();
        }
    }

    private void standStill(long until) {
        model.standStill(teller.now(), until);
        settle();
    }

    private Connection accept(EndPoint endPoint) {
        int node = nodes.applyAsInt((InetSocketAddress) endPoint.getRemoteSocketAddress());
        return new ServerConnection(endPoint, loop, this, teller, node, open.isFull());
    }

    void opened(ServerConnection connection) {
        open.add(connection);
        if (over || open.isOverfull()) {
            connection.lose("closed since there are too many");
            return;
        }
        model.connections(teller.now(), open.counted());
        long handshake = setup.servers.connections().handshake().toNanos();
        if (handshake == 0) {
            connection.ready();
        } else if (!connection.isSurplus()) {
            beside(handshake, connection::ready);
        }
        settle();
    }

    void over(ServerConnection connection) {
        open.remove(connection);
        if (!over) {
            model.connections(teller.now(), open.counted());
            settle();
        }
    }

    void heard(ServerConnection connection) {
        open.heard(connection);
    }

    /** Work beside the requests; what follows must not be done within the model's step. */
    private void beside(long work, Runnable then) {
        model.side(teller.now(), new ServerModel.Job(work) {
            @Override
            protected void begun() { }

            @Override
            protected void done() {
                due.add(then);
            }

            @Override
            protected void expired() { }
        });
    }

    void unreadable(ServerConnection connection, String why, long firstByteSentAt) {
        teller.tell(Kind.TRY_BEGAN, connection.node(), setup.number, Event.NONE, firstByteSentAt,
                "can't be read: " + why);
    }

    /** A request's head is read. @return null if it is no try of ours */
    Try begun(ServerConnection connection, MessageReader reader, long firstByteSentAt) {
        if (isProbe(reader)) {
            return null;
        }
        String id = reader.field("x-request-id");
        long request = Ids.number(id);
        if (request < 0 || !works.knows(request)) {
            teller.tell(Kind.TRY_BEGAN, connection.node(), setup.number, Event.NONE, firstByteSentAt,
                    id == null ? "no id" : "an id that no client sent: " + id);
            return null;
        }
        teller.tell(Kind.TRY_BEGAN, connection.node(), setup.number, request, firstByteSentAt, null);
        Try begun = new Try(this, connection, request, works.work(request, setup.number), fates.draw());
        connection.add(begun);
        return begun;
    }

    private static boolean isProbe(MessageReader reader) {
        return reader.method().equals("GET") && (reader.target().equals("/alive") || isForReport(reader));
    }

    private static boolean isForReport(MessageReader reader) {
        return reader.target().equals("/metrics/load");
    }

    /**
     * A request has come whole.
     *
     * @param begun what its head was taken for; null if for no try
     * @return what is to be done once the connection's earlier requests are answered
     */
    Runnable whole(ServerConnection connection, Try begun, MessageReader reader, long lastByteSentAt) {
        if (isProbe(reader)) {
            boolean forReport = isForReport(reader);
            teller.tell(Kind.PROBED, connection.node(), setup.number, Event.NONE, 0, setup.probes ? null : "not allowed");
            return gated(connection, () -> probe(connection, forReport));
        }
        if (begun == null) {
            int status = reader.field("x-request-id") == null ? 404 : 400;
            return gated(connection, () -> connection.answer(Answers.message(status, ""), false, () -> { }));
        }
        if (!works.isForm(begun.request, Works.form(reader.method(), reader.target(), reader.body()))) {
            connection.remove(begun);
            teller.tell(Kind.TRY_BEGAN, connection.node(), setup.number, Event.NONE, lastByteSentAt,
                    "not in the form in which its client sent it: " + Ids.text(begun.request));
            return gated(connection, () -> connection.answer(Answers.message(400, ""), false, () -> { }));
        }
        tell(Kind.TRY_CAME, begun, lastByteSentAt, null);
        long timeout = reader.timeout();
        long until = timeout < 0 ? ServerModel.NEVER : teller.now() + timeout;
        return gated(connection, () -> take(begun, until));
    }

    /** Nothing is done while it stands still, nor before the connection's handshake is. */
    private Runnable gated(ServerConnection connection, Runnable task) {
        return () -> pauses.afterwards(() -> connection.whenReady(task));
    }

    private void probe(ServerConnection connection, boolean forReport) {
        if (!setup.probes) {
            connection.answer(Answers.message(404, ""), false, () -> { });
        } else if (draining || connection.isSurplus() || probing >= PROBES_PER_CORE * setup.kind.cores()) {
            connection.answer(Answers.message(503, reportField()), connection.isSurplus(), () -> { });
        } else {
            probing++;
            beside(setup.servers.probeWork().toNanos(), () -> {
                probing--;
                String report = forReport ? reports.current() : null;
                connection.answer(report == null ? Answers.message(200, reportField())
                        : Answers.message(200, "", report.getBytes(StandardCharsets.ISO_8859_1)),
                        false, () -> { });
            });
            settle();
        }
    }

    private void take(Try request, long until) {
        long now = teller.now();
        model.advance(now);
        if (model.isCold()) {
            tell(Kind.TRY_OFFERED_COLD, request, request.work(), Long.toString(Math.round(model.capacity() * 1000)));
        }
        if (model.offer(now, request.work())) {
            fall();
            return;
        }
        ServerConnection connection = request.connection;
        if (request.fate == Fate.RESET_BEFORE) {
            connection.lose("reset before it ran");
        } else if (draining || connection.isSurplus()) {
            answer(request, 503, Answers.TURNED_AWAY + Answers.CLOSE);
        } else if (request.fate == Fate.ERROR_BEFORE) {
            answer(request, 500, reportField());
        } else {
            switch (model.arrive(now, request, until)) {
                case FULL -> answer(request, 503, Answers.TURNED_AWAY + reportField());
                case EXPIRED -> answer(request, 504, Answers.TURNED_AWAY + reportField());
                default -> { }
            }
        }
        settle();
    }

    void runs(Try request) {
        request.begunAt = teller.now();
        tell(Kind.TRY_RUNS, request, request.work(), null);
    }

    /** @param worked false if its time was up when its turn came */
    void finished(Try request, boolean worked) {
        due.add(() -> {
            if (worked) {
                reports.served(teller.now() - request.begunAt);
                conclude(request);
            } else {
                answer(request, 504, Answers.TURNED_AWAY + reportField());
            }
        });
    }

    private void conclude(Try request) {
        ServerConnection connection = request.connection;
        byte[] body = Bodies.body(setup.number, request.request, ++answers, setup.servers.bodyBytes());
        switch (request.fate) {
            case RESET_AFTER -> connection.lose("reset in place of an answer");
            case CUT -> {
                ByteBuffer message = good(body, reportField());
                connection.cut(message.limit(message.limit() / 2), "cut half-way through its answer");
            }
            case SILENT -> {
                connection.useless();
                lost(List.of(request), "silent");
            }
            case ERROR_AFTER -> answer(request, 500, reportField());
            case SPOILT -> {
                Spoilt how = Spoilt.draw(random);
                connection.spoil(how.first(body, random), how.more(),
                        () -> answered(request, 200, "spoilt " + Bodies.digest(body)));
            }
            case EXTRA -> answer(request, 200, withExtra(connection, body), false, Bodies.digest(body));
            default -> answer(request, 200, good(body, reportField()), false, Bodies.digest(body));
        }
    }

    private ByteBuffer good(byte[] body, String fields) {
        return answers % ONE_IN_CHUNKS == 0 ? Answers.chunked(200, fields, body) : Answers.message(200, fields, body);
    }

    /** A good answer with more than belongs to it; behind it only where nothing else waits on the connection. */
    private ByteBuffer withExtra(ServerConnection connection, byte[] body) {
        int extra = random.nextInt(connection.hasMoreAhead() ? 2 : 4);
        ByteBuffer good = good(body, extra == 0 ? REPORT + reports.brokenOne() + "\r\n" : reportField());
        return switch (extra) {
            case 0 -> good;
            case 1 -> Answers.join(Answers.interim(random.nextInt(3)), good);
            case 2 -> Answers.join(good, good);
            default -> Answers.join(good, Spoilt.noise(random));
        };
    }

    private String reportField() {
        String report = reports.current();
        return report == null ? "" : REPORT + report + "\r\n";
    }

    private void answer(Try request, int status, String fields) {
        answer(request, status, Answers.message(status, fields), fields.contains(Answers.CLOSE), null);
    }

    private void answer(Try request, int status, ByteBuffer message, boolean last, String text) {
        request.connection.answer(message, last, () -> answered(request, status, text));
    }

    private void answered(Try request, int status, String text) {
        tell(Kind.TRY_ANSWERED, request, status, text);
        request.connection.answered(request);
    }

    void lost(List<Try> tries, String how) {
        for (Try t : tries) {
            if (!t.lost) {
                t.lost = true;
                tell(Kind.TRY_LOST, t, 0, how);
            }
        }
    }

    void withdrawn(Try request, long when) {
        tell(Kind.TRY_WITHDRAWN, request, when, null);
    }

    private void tell(Kind kind, Try request, long value, String text) {
        teller.tell(kind, request.connection.node(), setup.number, request.request, value, text);
    }

    /** Does what follows from the model's last step, and sets the timer for its next. */
    private void settle() {
        for (Runnable task; (task = due.poll()) != null;) {
            task.run();
        }
        if (over) {
            return;
        }
        long next = model.nextChange();
        if (next != changeAt) {
            cancelChange();
            changeAt = next;
            change = next == ServerModel.NEVER ? null
                    : loop.schedule(Duration.ofNanos(next - teller.now()), this::modelChanges);
        }
        if (whenEmpty != null && model.begun() + model.waiting() == 0) {
            loop.execute(whenEmpty);
            whenEmpty = null;
        }
    }

    private void modelChanges() {
        changeAt = ServerModel.NEVER;
        model.advance(teller.now());
        settle();
    }
}
