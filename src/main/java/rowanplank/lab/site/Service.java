package rowanplank.lab.site;

import java.nio.ByteBuffer;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import rowanplank.lab.site.Fates.Fate;
import rowanplank.lab.trace.Event;
import rowanplank.lab.trace.Event.Kind;

/** What becomes of the requests that come to a page server, and what is told of them; see {@link PageServer}. */
final class Service {
    static final int PROBES_PER_CORE = 2;

    private final PageServer.Setup setup;
    private final Works works;
    private final Teller teller;
    private final Machine machine;
    private final Fates fates;
    private final LoadReports reports;
    private final Pauses pauses;
    private final UniformRandomProvider random;
    private final AnswerMaker answers;
    private final Runnable falls;
    private boolean draining;
    private int probing;

    /** @param falls run when the server is sent so much that it falls over */
    Service(PageServer.Setup setup, Works works, Teller teller, Machine machine, Fates fates, LoadReports reports,
            Pauses pauses, UniformRandomProvider random, Runnable falls) {
        this.setup = setup;
        this.works = works;
        this.teller = teller;
        this.machine = machine;
        this.fates = fates;
        this.reports = reports;
        this.pauses = pauses;
        this.random = random;
        this.falls = falls;
        answers = new AnswerMaker(setup.number(), setup.servers().bodyBytes(), reports, random);
    }

    /** Turns away what comes from now on. */
    void drain() {
        draining = true;
    }

    void unreadable(ServerConnection connection, String why, long firstByteSentAt) {
        teller.tell(Kind.TRY_BEGAN, connection.node(), setup.number(), Event.NONE, firstByteSentAt,
                "can't be read: " + why);
    }

    /** A request's head is read. @return null if it is no try of ours */
    Try begun(ServerConnection connection, MessageReader reader, long firstByteSentAt) {
        if (isProbe(reader)) {
            return null;
        }
        String id = reader.field("x-request-id");
        long request = works.number(id, reader.target());
        if (request < 0) {
            teller.tell(Kind.TRY_BEGAN, connection.node(), setup.number(), Event.NONE, firstByteSentAt,
                    id == null ? "no id" : "an id that no client sent: " + id);
            return null;
        }
        teller.tell(Kind.TRY_BEGAN, connection.node(), setup.number(), request, firstByteSentAt, null);
        Try begun = new Try(this, connection, request, works.work(request, setup.number()), fates.draw());
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
            teller.tell(Kind.PROBED, connection.node(), setup.number(), Event.NONE, 0,
                    setup.probes() ? null : "not allowed");
            return gated(connection, () -> probe(connection, forReport));
        }
        if (begun == null) {
            int status = reader.field("x-request-id") == null ? 404 : 400;
            return gated(connection, () -> connection.answer(Answers.message(status, ""), false, () -> { }));
        }
        if (!works.isForm(begun.request, Works.form(reader.method(), reader.target(), reader.body()))) {
            connection.remove(begun);
            teller.tell(Kind.TRY_BEGAN, connection.node(), setup.number(), Event.NONE, lastByteSentAt,
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
        if (!setup.probes()) {
            connection.answer(Answers.message(404, ""), false, () -> { });
        } else if (draining || connection.isSurplus() || probing >= PROBES_PER_CORE * setup.kind().cores()) {
            connection.answer(answers.plain(503), connection.isSurplus(), () -> { });
        } else {
            probing++;
            machine.beside(setup.servers().probeWork().toNanos(), () -> {
                probing--;
                connection.answer(answers.probed(forReport), false, () -> { });
            });
        }
    }

    private void take(Try request, long until) {
        ServerModel model = machine.modelNow();
        if (model.isCold()) {
            tell(Kind.TRY_OFFERED_COLD, request, request.work(), Long.toString(Math.round(model.capacity() * 1000)));
        }
        if (model.offer(teller.now(), request.work())) {
            falls.run();
            return;
        }
        ServerConnection connection = request.connection;
        if (request.fate == Fate.RESET_BEFORE) {
            connection.lose("reset before it ran");
        } else if (draining || connection.isSurplus()) {
            answer(request, 503, answers.turnedAway(503, true), true, null);
        } else if (request.fate == Fate.ERROR_BEFORE) {
            answer(request, 500, answers.plain(500), false, null);
        } else {
            switch (model.arrive(teller.now(), request, until)) {
                case FULL -> turnAway(request, 503);
                case EXPIRED -> turnAway(request, 504);
                default -> { }
            }
        }
        machine.settle();
    }

    void runs(Try request) {
        request.begunAt = teller.now();
        tell(Kind.TRY_RUNS, request, request.work(), null);
    }

    /** @param worked false if its time was up when its turn came */
    void finished(Try request, boolean worked) {
        machine.afterwards(() -> {
            if (worked) {
                reports.served(teller.now() - request.begunAt);
                conclude(request);
            } else {
                turnAway(request, 504);
            }
        });
    }

    private void conclude(Try request) {
        ServerConnection connection = request.connection;
        byte[] body = answers.body(request.request);
        String digest = Bodies.digest(body);
        switch (request.fate) {
            case RESET_AFTER -> connection.lose("reset in place of an answer");
            case CUT -> {
                ByteBuffer message = answers.good(body);
                connection.cut(message.limit(message.limit() / 2), "cut half-way through its answer");
            }
            case SILENT -> {
                connection.useless();
                lost(List.of(request), "silent");
            }
            case ERROR_AFTER -> answer(request, 500, answers.plain(500), false, null);
            case SPOILT -> {
                Spoilt how = Spoilt.draw(random);
                connection.spoil(how.first(body, random), how.more(), () -> answered(request, 200, "spoilt " + digest));
            }
            case EXTRA -> answer(request, 200, answers.withExtra(body, !connection.hasMoreAhead()), false, digest);
            default -> answer(request, 200, answers.good(body), false, digest);
        }
    }

    private void turnAway(Try request, int status) {
        answer(request, status, answers.turnedAway(status, false), false, null);
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
        teller.tell(kind, request.connection.node(), setup.number(), request.request, value, text);
    }
}
