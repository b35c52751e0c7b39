package rowanplank.lab.site;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.eclipse.jetty.io.EndPoint;
import rowanplank.net.Loop;
import rowanplank.net.LoopConnection;

/**
 * A node's connection to a page server: reads requests and answers them one after the other. Requests that are sent
 * ahead count as sent and wait for their turn.
 */
final class ServerConnection extends LoopConnection {
    private static final int MOST_AHEAD = 16;
    private static final String OF_NO_USE = "on a connection of no further use";
    /** How often more of an answer without end is written, and how much in all. */
    private static final Duration TRICKLE = Duration.ofMillis(5);
    private static final int MOST_TRICKLED = 64 << 20;

    private final MessageReader reader = new MessageReader();
    private final PageServer server;
    private final Service service;
    private final Loop loop;
    private final Teller teller;
    private final int node;
    /** Beyond the server's bound: let in only to be told so. */
    private final boolean surplus;
    private final Deque<Runnable> ahead = new ArrayDeque<>();
    /** Those that have begun to come and are neither answered nor lost, in their order. */
    private final List<Try> out = new ArrayList<>();
    private boolean begun;
    private Try coming;
    private Try answered;
    private long answeredAt;
    private boolean busy;
    private boolean ready;
    private Runnable whenReady;
    private boolean useless;
    private String lostBy;
    private long firstByteSentAt;
    private long quietSince;

    ServerConnection(EndPoint endPoint, Loop loop, PageServer server, Service service, Teller teller, int node,
            boolean surplus) {
        super(endPoint, loop);
        this.server = server;
        this.service = service;
        this.loop = loop;
        this.teller = teller;
        this.node = node;
        this.surplus = surplus;
        ready = surplus;
    }

    int node() {
        return node;
    }

    boolean isSurplus() {
        return surplus;
    }

    /** Whether a request that came whole is not yet answered, or never will be. */
    boolean isBusy() {
        return busy;
    }

    long quietSince() {
        return quietSince;
    }

    void quietSince(long when) {
        quietSince = when;
    }

    @Override
    public void onOpen() {
        super.onOpen();
        server.opened(this);
    }

    /** The handshake's work is done: what came meanwhile may begin. */
    void ready() {
        ready = true;
        Runnable first = whenReady;
        whenReady = null;
        if (first != null) {
            first.run();
        }
    }

    /** Runs the task once the handshake's work is done, which may be now. */
    void whenReady(Runnable task) {
        if (ready) {
            task.run();
        } else {
            whenReady = task;
        }
    }

    @Override
    protected void onBytes(ByteBuffer bytes) {
        server.heard(this);
        while (bytes.hasRemaining() && !isOver() && lostBy == null) {
            if (!reader.begun()) {
                firstByteSentAt = teller.firstByteSentAt(getEndPoint());
            }
            MessageReader.Progress progress = reader.read(bytes);
            if (progress == MessageReader.Progress.BROKEN) {
                unreadable();
                return;
            }
            if (reader.headRead() && !begun) {
                begun = true;
                coming = service.begun(this, reader, firstByteSentAt);
            }
            if (progress == MessageReader.Progress.WHOLE) {
                whole();
            }
        }
    }

    /** Guards what follows: nothing behind bytes that can't be read can be told apart. */
    private void unreadable() {
        service.unreadable(this, reader.fault(), firstByteSentAt);
        if (busy) {
            lose("closed over what can't be read");
        } else {
            lostBy = "closed over what can't be read";
            write(this::close, Answers.message(400, Answers.CLOSE));
        }
    }

    private void whole() {
        Runnable task = service.whole(this, coming, reader, teller.lastByteSentAt(getEndPoint()));
        coming = null;
        begun = false;
        reader.reset();
        if (out.size() > MOST_AHEAD || ahead.size() == MOST_AHEAD) {
            lose("closed over too many sent ahead");
        } else if (useless) {
            service.lost(out, OF_NO_USE);
        } else if (busy) {
            ahead.add(task);
        } else {
            busy = true;
            task.run();
        }
    }

    void add(Try sent) {
        out.add(sent);
    }

    /** It was none of ours after all. */
    void remove(Try sent) {
        out.remove(sent);
    }

    boolean hasMoreAhead() {
        return !ahead.isEmpty();
    }

    /** Writes an answer, tells of it, and goes on to the next request or closes. */
    void answer(ByteBuffer message, boolean last, Runnable written) {
        if (isOver()) {
            return;
        }
        write(() -> {
            written.run();
            if (last) {
                closeBySelf("closed after an answer");
            } else {
                next();
            }
        }, message);
    }

    private void next() {
        Runnable task = ahead.poll();
        busy = task != null;
        if (busy) {
            task.run();
        } else {
            server.heard(this); // it is at rest from now on
        }
    }

    /** The last byte of a try's answer was written. */
    void answered(Try done) {
        out.remove(done);
        answered = done;
        answeredAt = teller.now();
    }

    /** Nothing more comes on this connection, which stays open. */
    void useless() {
        useless = true;
        ahead.clear();
        if (out.size() > 1) {
            service.lost(out.subList(1, out.size()), OF_NO_USE);
        }
    }

    /** Writes something that is no answer, and more of it for as long as the node takes it. */
    void spoil(ByteBuffer first, byte[] more, Runnable written) {
        useless();
        if (!isOver()) {
            write(() -> {
                written.run();
                trickle(more, MOST_TRICKLED);
            }, first);
        }
    }

    private void trickle(byte[] more, int left) {
        if (more != null && left > 0) {
            loop.schedule(TRICKLE, () -> {
                if (!isOver()) {
                    write(() -> trickle(more, left - more.length), ByteBuffer.wrap(more));
                }
            });
        }
    }

    /** Writes so much and ends the connection. */
    void cut(ByteBuffer part, String how) {
        if (!isOver()) {
            write(() -> lose(how), part);
        }
    }

    /** The server's side ends the connection, with whatever is out on it. */
    void lose(String how) {
        if (!isOver()) {
            closeBySelf(how);
        }
    }

    private void closeBySelf(String how) {
        lostBy = how;
        close();
    }

    /** The server's process is no more: what is out here is lost, and what becomes of the socket is the machine's. */
    void abandon(String how) {
        lostBy = how;
        service.lost(out, how);
    }

    @Override
    protected void onEnd() {
        close();
    }

    @Override
    protected void onOver() {
        server.over(this);
        if (lostBy != null) {
            service.lost(out, lostBy);
            return;
        }
        long ended = teller.endSentAt(getEndPoint());
        if (answered != null && ended < answeredAt) {
            service.withdrawn(answered, ended);
        }
        out.forEach(t -> service.withdrawn(t, ended));
        out.clear();
    }
}
