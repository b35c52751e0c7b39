package rowanplank.lab.site;

import java.nio.ByteBuffer;
import org.apache.commons.rng.UniformRandomProvider;

/** Makes a page server's answers: a good one has a body of its own, its load report, and now and then chunks. */
final class AnswerMaker {
    /** Of so many answers one comes in chunks. */
    private static final int ONE_IN_CHUNKS = 8;
    private static final String REPORT = "X-Server-Load: ";

    private final int server;
    private final int bodyBytes;
    private final LoadReports reports;
    private final UniformRandomProvider random;
    private long count;

    AnswerMaker(int server, int bodyBytes, LoadReports reports, UniformRandomProvider random) {
        this.server = server;
        this.bodyBytes = bodyBytes;
        this.reports = reports;
        this.random = random;
    }

    /** The body of the next answer. */
    byte[] body(long request) {
        return Bodies.body(server, request, ++count, bodyBytes);
    }

    ByteBuffer good(byte[] body) {
        return good(body, report());
    }

    private ByteBuffer good(byte[] body, String fields) {
        return count % ONE_IN_CHUNKS == 0 ? Answers.chunked(200, fields, body) : Answers.message(200, fields, body);
    }

    /**
     * A good answer with more than belongs to it: a report that can't be read, an interim answer ahead, or, behind it,
     * a second copy or noise.
     *
     * @param behind whether something may come behind it: nothing else must wait on the connection
     */
    ByteBuffer withExtra(byte[] body, boolean behind) {
        return switch (random.nextInt(behind ? 4 : 2)) {
            case 0 -> good(body, REPORT + reports.brokenOne() + "\r\n");
            case 1 -> Answers.join(Answers.interim(random.nextInt(3)), good(body));
            case 2 -> Answers.join(good(body), good(body));
            default -> Answers.join(good(body), Spoilt.noise(random));
        };
    }

    ByteBuffer turnedAway(int status, boolean last) {
        return Answers.message(status, Answers.TURNED_AWAY + (last ? Answers.CLOSE : "") + report());
    }

    /** An answer that says no more than its status. */
    ByteBuffer plain(int status) {
        return Answers.message(status, report());
    }

    /** The answer to a probe that passed. @param fields whole lines, each with its end */
    ByteBuffer probed(boolean withReport, String fields) {
        String report = withReport ? reports.current() : null;
        return report == null ? Answers.message(200, fields + report())
                : Answers.message(200, fields, Answers.bytes(report));
    }

    private String report() {
        String report = reports.current();
        return report == null ? "" : REPORT + report + "\r\n";
    }
}
