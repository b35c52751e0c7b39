package rowanplank.lab.site;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.commons.rng.UniformRandomProvider;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import rowanplank.lab.day.Day;
import rowanplank.lab.site.AgentConnection.Call;
import rowanplank.lab.site.AgentView.Line;
import rowanplank.lab.site.Roster.Change;
import rowanplank.lab.trace.Event;
import rowanplank.lab.trace.Event.Kind;
import rowanplank.lab.trace.Trace;
import rowanplank.net.Loop;

/**
 * The discovery agent on a node's machine, as the platform's protocol describes it: {@code GET /discovery/hosts} for
 * the whole list, with {@code index} and {@code wait} a watch. It answers at once, at no cost, with what it has been
 * sent. Everything is called on its loop's thread, which has to be the roster's.
 *
 * <p><b>What it has.</b> A change is here once {@code delay}, this agent's own part of {@code spread} and what is stale
 * have passed since discovery knew of it; in order, and what is here stays when staleness grows. While discovery is
 * down nothing new comes and no call is answered; those that are open then are answered when it is over.
 *
 * <p><b>Answers.</b> A watch is answered with the lines that have changed, as soon as there are any, else with none
 * when its wait (60 s at most) is over. Where the version asked from is not known (too old, or never told) it is the
 * whole list. Lines that are gone appear only among changes.
 *
 * <p><b>Moving.</b> It listens at the new address at once; the old one accepts nothing new, and its open connections go
 * on for 1.5 s and are closed then.
 *
 * <p><b>TOLD</b> is told of each line in the instant in which the answer's first byte is written. Of an answer that
 * stops half-way, of the lines of which a byte was written; of one that can't be read, of none. A line that was not
 * told 6 s after it was here, after the node started and after discovery was last down, counts as told then, whether
 * the node asked or not, and TOLD says so; after a move, until an answer was written at the new address, from 4 s after
 * the move. For this the agent has to be told when the node's process starts and ends.
 *
 * <p><b>Bounds.</b> {@value #MOST_CONNECTIONS} connections, one call each; {@link AgentView}.
 */
public final class DiscoveryAgent implements Roster.Follower {
    private static final int MOST_CONNECTIONS = 64;
    private static final int BACKLOG = 64;
    private static final long MOST_WAIT_MILLIS = 60_000;
    private static final Duration OLD_ADDRESS = Duration.ofMillis(1500);
    private static final long COUNTS_AS_TOLD = 6_000_000_000L;
    private static final long COUNTS_AFTER_MOVE = 4_000_000_000L;
    private static final Pattern QUERY =
            Pattern.compile("/discovery/hosts(?:\\?index=(\\d{1,18})(?:&wait=(\\d{1,9}))?)?");
    private static final int MALFORMED_KINDS = 7;

    private final int node;
    private final long lag;
    private final Loop loop;
    private final Teller teller;
    private final UniformRandomProvider random;
    private final AgentView view = new AgentView();
    /** On their way to here. */
    private final Deque<Change> news = new ArrayDeque<>();
    private final Set<AgentConnection> connections = new LinkedHashSet<>();
    private Loop.Listening listening;
    private Loop.Timer nextNews;
    private Loop.Timer nextCounts;
    private long stale;
    private boolean down;
    private double halves;
    private double malformed;
    private boolean ended;

    private boolean nodeRuns;
    /** All up to this version was told. */
    private long told;
    /** The node's start or the end of the last outage: what was here before counts from then. */
    private long countsFrom;
    private int moves;
    private long movedAt;
    private boolean answeredSinceMove = true;

    /** @param random its own source of chance */
    public DiscoveryAgent(int node, Roster roster, Day.Discovery figures, Loop loop, UniformRandomProvider random,
            Trace trace) {
        this.node = node;
        this.loop = loop;
        this.random = random;
        teller = new Teller(loop, trace);
        long spread = figures.spread().toNanos();
        lag = figures.delay().toNanos() + (spread == 0 ? 0 : random.nextLong(spread));
        roster.follow(this);
    }

    public void start(InetSocketAddress address) throws IOException {
        listening = loop.listen(address, BACKLOG, this::accept);
    }

    /** Where it listens, once it has started. */
    public InetSocketAddress address() {
        return listening.address();
    }

    /** Listens at a new address, and at the old one no more. */
    public void moveTo(InetSocketAddress address) throws IOException {
        Loop.Listening old = listening;
        listening = loop.listen(address, BACKLOG, this::accept);
        old.close();
        List<AgentConnection> there = List.copyOf(connections);
        loop.schedule(OLD_ADDRESS, () -> there.forEach(AgentConnection::close));
        moves++;
        movedAt = teller.now();
        answeredSinceMove = false;
        awaitCount();
    }

    /** News come so much later than usual; zero for as usual. */
    public void stale(Duration more) {
        stale = more.toNanos();
        learn();
    }

    /** Whether discovery is down. */
    public void outage(boolean now) {
        if (down && !now) {
            countsFrom = teller.now();
        }
        down = now;
        learn();
    }

    /** @param share of answers that stop half-way; the connection stays open, or closes */
    public void halves(double share) {
        halves = share;
    }

    /** @param share of answers that can't be read */
    public void malformed(double share) {
        malformed = share;
    }

    /** The node's process starts: it has been told nothing yet. */
    public void nodeStarts() {
        nodeRuns = true;
        told = 0;
        countsFrom = teller.now();
        awaitCount();
    }

    /** The node's process has ended: nothing counts as told to it. */
    public void nodeEnds() {
        nodeRuns = false;
        awaitCount();
    }

    /** The whole list as it has it now, in discovery's form: what a node is given at its next start. */
    public JsonObject list() {
        JsonArray members = Json.array().asArray();
        view.whole().forEach(l -> members.add(l.entry().json()));
        return Json.object().add("revision", view.revision()).add("complete", true).add("members", members);
    }

    /** Its process ends. */
    public void end() {
        ended = true;
        nodeEnds();
        cancel(nextNews);
        try {
            listening.close();
        } catch (IOException e) {
            loop.report(e);
        }
        List.copyOf(connections).forEach(AgentConnection::close);
    }

    @Override
    public void changed(Change change) {
        if (!ended) {
            news.add(change);
            learn();
        }
    }

    /** Takes in what is due, and answers who waited for it. */
    private void learn() {
        cancel(nextNews);
        if (down) {
            awaitCount();
            return;
        }
        long now = teller.now();
        while (!news.isEmpty() && dueAt(news.peek()) <= now) {
            view.learn(news.poll(), now);
        }
        if (!news.isEmpty()) {
            nextNews = loop.schedule(Duration.ofNanos(dueAt(news.peek()) - now), this::learn);
        }
        List.copyOf(connections).forEach(this::look);
        awaitCount();
    }

    private long dueAt(Change change) {
        return change.knownAt() + lag + stale;
    }

    private static void cancel(Loop.Timer timer) {
        if (timer != null) {
            timer.cancel();
        }
    }

    private Connection accept(EndPoint endPoint) {
        return new AgentConnection(endPoint, loop, this, moves);
    }

    void opened(AgentConnection connection) {
        connections.add(connection);
        if (ended || connections.size() > MOST_CONNECTIONS) {
            connection.close();
        }
    }

    void over(AgentConnection connection) {
        connections.remove(connection);
    }

    void asked(AgentConnection connection, String method, String target) {
        Matcher query = QUERY.matcher(target);
        if (!query.matches()) {
            connection.answer(Answers.message(target.startsWith("/discovery/hosts") ? 400 : 404, ""));
            return;
        }
        if (!method.equals("GET")) {
            connection.answer(Answers.message(405, ""));
            return;
        }
        long index = query.group(1) == null ? -1 : Long.parseLong(query.group(1));
        long wait = query.group(2) == null ? 0 : Math.min(MOST_WAIT_MILLIS, Long.parseLong(query.group(2)));
        connection.call(new Call(index, teller.now() + wait * 1_000_000), wait == 0 ? null
                : loop.schedule(Duration.ofMillis(wait), () -> look(connection)));
        look(connection);
    }

    /** Answers the connection's call if there is something to be said. */
    private void look(AgentConnection connection) {
        Call call = connection.call();
        if (call == null || down) {
            return;
        }
        if (!view.reaches(call.index())) {
            answer(connection, true, view.whole());
            return;
        }
        Collection<Line> changed = view.since(call.index());
        if (!changed.isEmpty() || teller.now() >= call.until()) {
            answer(connection, false, List.copyOf(changed));
        }
    }

    private void answer(AgentConnection connection, boolean complete, List<Line> lines) {
        StringBuilder text = new StringBuilder("{\"revision\":").append(view.revision()).append(",\"complete\":")
                .append(complete).append(",\"members\":[");
        List<Integer> begins = new ArrayList<>();
        for (Line l : lines) {
            text.append(begins.isEmpty() ? "" : ",");
            begins.add(text.length());
            text.append(l.entry().json());
        }
        text.append("]}");
        if (malformed > 0 && random.nextDouble() < malformed) {
            connection.answer(malformed(text.toString()));
            return;
        }
        ByteBuffer message = Answers.message(200, "", text.toString().getBytes(StandardCharsets.UTF_8));
        if (halves > 0 && random.nextDouble() < halves) {
            int head = message.limit() - text.length();
            message.limit(1 + random.nextInt(message.limit() - 1));
            int written = message.limit() - head;
            for (int i = 0; i < begins.size() && begins.get(i) < written; i++) {
                tell(lines.get(i));
            }
            connection.stopHalfWay(message, random.nextBoolean());
            return;
        }
        lines.forEach(this::tell);
        told = view.revision();
        answeredSinceMove |= connection.moves() == moves;
        connection.answer(message);
        awaitCount();
    }

    /** An answer that can't be read, in one of the ways in which they come. */
    private ByteBuffer malformed(String text) {
        String none = "{\"id\":\"s-none\",\"host_port\":\"10.255.255.1:1\",\"locality\":\"none\",\"phase\":\"ready\"}";
        String comma = text.contains("\"members\":[]") ? "" : ",";
        String cut = text.substring(0, text.length() - 2) + comma;
        String wrong = switch (random.nextInt(MALFORMED_KINDS)) {
            case 0 -> text.substring(0, text.length() / 2);
            case 1 -> text.replaceFirst("\"complete\":(true|false),", "");
            case 2 -> "{\"revision\":" + view.revision() + ",\"complete\":true,\"members\":7}";
            case 3 -> cut + none.replace("\"id\":\"s-none\",", "") + "]}";
            case 4 -> cut + none.replace("\"ready\"", "\"asleep\"") + "]}";
            case 5 -> cut + none.replace("10.255.255.1:1", "nowhere") + "]}";
            default -> null;
        };
        return wrong == null ? Spoilt.noise(random)
                : Answers.message(200, "", wrong.getBytes(StandardCharsets.UTF_8));
    }

    private void tell(Line line) {
        Roster.Entry e = line.entry();
        teller.tell(Kind.TOLD, node, e.server(), e.upSince(), e.phase().ordinal(),
                e.server() == Event.NONE ? e.name() : null);
    }

    /** Sets the timer for what next counts as told. */
    private void awaitCount() {
        cancel(nextCounts);
        nextCounts = null;
        Collection<Line> untold = view.since(told);
        if (nodeRuns && !down && !untold.isEmpty()) {
            long at = countsAsToldAt(untold.iterator().next());
            nextCounts = loop.schedule(Duration.ofNanos(at - teller.now()), this::count);
        }
    }

    private void count() {
        for (Line l : List.copyOf(view.since(told))) {
            if (countsAsToldAt(l) > teller.now()) {
                break;
            }
            tell(l);
            told = l.revision();
        }
        awaitCount();
    }

    private long countsAsToldAt(Line line) {
        long here = Math.max(line.learnedAt(), countsFrom);
        long usual = here + COUNTS_AS_TOLD;
        return answeredSinceMove ? usual : Math.min(usual, Math.max(here, movedAt + COUNTS_AFTER_MOVE));
    }
}
