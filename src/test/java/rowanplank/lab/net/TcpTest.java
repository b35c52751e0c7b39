package rowanplank.lab.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import rowanplank.net.Loop;

/** The proof that the simulated network is TCP where it matters: one table of scenes, played on real sockets too. */
class TcpTest {
    private static final int MUCH = 24 << 20;
    private static final Duration LONG = Duration.ofSeconds(10);
    private static final Duration SHORT = Duration.ofMillis(150);

    /** A scene, and what an onlooker must see of it on either network. */
    private record Scene(String name, String outcome, Play play) {
        @Override
        public String toString() {
            return name;
        }
    }

    private interface Play {
        String on(Scenery s) throws Exception;
    }

    private static final List<Scene> SCENES = List.of(
            new Scene("connect where nobody listens any more", "connected, then failed: ConnectException", s -> {
                String first = s.connect(LONG).awaitOutcome();
                s.stage.run(s.server, () -> s.listening.close());
                return first + ", then " + s.closedOutcome();
            }),
            new Scene("connect to a silent machine", "failed: SocketTimeoutException", s -> {
                s.address = s.stage.silent();
                return s.connect(SHORT).awaitOutcome();
            }),
            new Scene("time-out at once", "failed: SocketTimeoutException, then connected", s -> {
                Attempt hasty = s.connect(Duration.ZERO);
                return hasty.awaitOutcome() + ", then " + s.connect(LONG).awaitOutcome();
            }),
            new Scene("abandon an opening", "nothing heard, failed: SocketTimeoutException", s -> {
                s.address = s.stage.silent();
                Attempt abandoned = s.connect(SHORT);
                s.stage.run(s.client, () -> abandoned.opening.abandon());
                String later = s.connect(SHORT).awaitOutcome();
                return (abandoned.outcome == null ? "nothing heard, " : "heard, ") + later;
            }),
            new Scene("abandon an opening to a listener", "nothing heard, connected", s -> {
                Attempt abandoned = new Attempt(s);
                s.stage.run(s.client, () -> {
                    abandoned.begin(LONG);
                    abandoned.opening.abandon();
                });
                String later = s.connect(LONG).awaitOutcome();
                return (abandoned.outcome == null ? "nothing heard, " : "heard, ") + later;
            }),
            new Scene("FIN after data", "1000 bytes, then the end; own close after it", s -> {
                s.pair(true, true);
                s.stage.run(s.server, () -> {
                    s.there.write(1000);
                    s.there.close();
                });
                s.stage.until(s.client, () -> s.here.ended);
                long received = s.here.received;
                s.stage.run(s.client, () -> s.here.getEndPoint().shutdownOutput());
                s.stage.until(s.client, () -> s.here.closed);
                return received + " bytes, then the end; own close after it";
            }),
            new Scene("half-close with data going on", "end seen, 3000000 bytes, both closed", s -> {
                s.pair(true, true);
                s.stage.run(s.client, () -> s.here.getEndPoint().shutdownOutput());
                s.stage.until(s.server, () -> s.there.ended);
                s.stage.run(s.server, () -> s.there.write(3_000_000));
                s.stage.until(s.server, () -> !s.there.writing);
                s.stage.run(s.server, () -> s.there.getEndPoint().shutdownOutput());
                s.stage.until(s.client, () -> s.here.closed);
                s.stage.until(s.server, () -> s.there.closed);
                return "end seen, " + s.here.received + " bytes, both closed";
            }),
            new Scene("close with unread bytes", "RST: sent bytes are lost, writes fail", s -> {
                s.pair(false, false);
                s.stage.run(s.client, () -> s.here.write(10));
                s.stage.until(s.server, () -> s.there.readable);
                s.stage.run(s.server, () -> s.there.flush(MUCH));
                s.stage.run(s.server, () -> s.there.close());
                return "RST: " + s.drained() + ", " + s.writesUntilFailure();
            }),
            new Scene("close with all bytes read", "FIN: all sent bytes came, writes fail", s -> {
                s.pair(false, true);
                s.stage.run(s.client, () -> s.here.write(10));
                s.stage.until(s.server, () -> s.there.received == 10);
                s.stage.run(s.server, () -> s.there.flush(MUCH));
                s.stage.run(s.server, () -> s.there.close());
                return "FIN: " + s.drained() + ", " + s.writesUntilFailure();
            }),
            new Scene("RST after data that came", "1000 bytes, then the end", s -> {
                s.pair(false, false);
                s.stage.run(s.client, () -> s.here.write(10));
                s.stage.until(s.server, () -> s.there.readable);
                s.stage.run(s.server, () -> s.there.write(1000));
                s.stage.until(s.client, () -> s.here.readable);
                s.stage.run(s.server, () -> s.there.close());
                s.writesUntilFailure();
                s.stage.run(s.client, () -> s.here.read());
                return s.here.received + " bytes, then " + (s.here.ended ? "the end" : "nothing");
            }),
            new Scene("RST while writing", "write failed, end seen", s -> {
                s.pair(true, false);
                s.stage.run(s.client, () -> s.here.write(MUCH));
                s.stage.until(s.server, () -> s.there.readable);
                s.stage.run(s.server, () -> s.there.close());
                s.stage.until(s.client, () -> !s.here.writing && s.here.ended);
                return (s.here.failed ? "write failed" : "written") + ", end seen";
            }),
            new Scene("full buffers", "write waits, then 25165824 bytes", s -> {
                s.pair(false, false);
                s.stage.run(s.client, () -> s.here.write(MUCH));
                s.stage.until(s.server, () -> s.there.readable);
                String waits = s.here.writing ? "write waits" : "written";
                s.stage.run(s.server, () -> s.there.read());
                while (!s.there.ended && s.there.received < MUCH) {
                    s.stage.until(s.server, () -> s.there.readable || s.there.received == MUCH);
                    s.stage.run(s.server, () -> s.there.read());
                }
                s.stage.until(s.client, () -> !s.here.writing);
                return waits + ", then " + s.there.received + " bytes";
            }),
            new Scene("write after the peer closed", "end seen, writes fail, closed once", s -> {
                s.pair(true, true);
                s.stage.run(s.server, () -> s.there.close());
                s.stage.until(s.client, () -> s.here.ended);
                String writes = s.writesUntilFailure();
                s.stage.run(s.client, () -> s.here.getEndPoint().close());
                s.stage.until(s.client, () -> s.here.closed);
                return "end seen, " + writes + ", closed " + (s.here.notes.equals(List.of("closed")) ? "once" : "?");
            }),
            new Scene("own close", "[close, fill failed, close returned, closed]", s -> {
                s.pair(true, true);
                s.stage.run(s.client, () -> s.here.close());
                s.stage.until(s.client, () -> s.here.closed);
                return s.here.notes.toString();
            }),
            new Scene("close that crosses a request", "written, never read, end seen, writes fail", s -> {
                s.pair(false, true);
                s.stage.run(s.server, () -> s.there.close());
                s.stage.run(s.client, () -> s.here.write(100));
                String written = s.here.failed ? "failed" : "written";
                s.stage.run(s.client, () -> s.here.read());
                s.stage.until(s.client, () -> s.here.readable || s.here.ended);
                s.stage.run(s.client, () -> s.here.read());
                return written + ", " + (s.there.received == 0 ? "never read" : "read") + ", "
                        + (s.here.ended ? "end seen, " : "no end, ") + s.writesUntilFailure();
            }),
            new Scene("more than the backlog", "2 up, 3 timed out, 2 accepted", s -> {
                s.stage.run(s.server, () -> s.listen(1));
                s.stage.hold(s.server, () -> { });
                List<String> outcomes = new ArrayList<>();
                for (int i = 0; i < 5; i++) {
                    outcomes.add(s.connect(SHORT).awaitOutcome());
                }
                s.stage.release(s.server);
                s.stage.until(s.server, () -> s.accepted.size() == 2);
                long up = outcomes.stream().filter("connected"::equals).count();
                long late = outcomes.stream().filter("failed: SocketTimeoutException"::equals).count();
                return up + " up, " + late + " timed out, " + s.accepted.size() + " accepted";
            }),
            new Scene("listener closes over what waits", "connected, end seen, writes fail, 0 accepted", s -> {
                s.stage.hold(s.server, () -> s.listening.close());
                String outcome = s.connect(LONG).awaitOutcome();
                s.stage.release(s.server);
                s.stage.until(s.client, () -> s.here.ended);
                return outcome + ", end seen, " + s.writesUntilFailure() + ", " + s.accepted.size() + " accepted";
            }),
            new Scene("listener takes what waits and closes", "connected, 10 bytes, then refused", s -> {
                s.stage.hold(s.server, () -> {
                    s.listening.acceptPending();
                    s.listening.close();
                });
                String outcome = s.connect(LONG).awaitOutcome();
                s.stage.run(s.client, () -> s.here.write(10));
                s.stage.release(s.server);
                s.stage.until(s.server, () -> !s.accepted.isEmpty() && s.there.received == 10);
                return outcome + ", 10 bytes, then " + s.closedOutcome().replace("failed: ConnectException", "refused");
            }),
            new Scene("two listeners in one process", "1 and 2; one closed: failed: ConnectException, 2", s -> {
                List<Integer> marks = new ArrayList<>();
                Loop.Listening[] second = new Loop.Listening[1];
                InetSocketAddress first = s.address;
                s.stage.run(s.server, () -> second[0] = s.server.listen(s.stage.any(), 10, e -> {
                    marks.add(2);
                    return s.accept(e);
                }));
                s.connect(LONG).awaitOutcome();
                s.address = second[0].address();
                s.connect(LONG).awaitOutcome();
                s.stage.until(s.server, () -> s.accepted.size() == 2 && marks.size() == 1);
                s.stage.run(s.server, () -> s.listening.close());
                s.connect(LONG).awaitOutcome();
                s.stage.until(s.server, () -> marks.size() == 2);
                s.address = first;
                return "1 and 2; one closed: " + s.closedOutcome() + ", " + marks.size();
            }),
            new Scene("death of a process", "end seen, writes fail, failed: ConnectException", s -> {
                s.pair(true, true);
                s.stage.kill(s.server);
                s.stage.until(s.client, () -> s.here.ended);
                return "end seen, " + s.writesUntilFailure() + ", " + s.connect(LONG).awaitOutcome();
            }),
            new Scene("datagrams", "too long dropped, to nobody taken, 50 bytes came", s -> {
                List<Integer> came = new ArrayList<>();
                Loop.Datagrams[] at = new Loop.Datagrams[3];
                s.stage.run(s.server, () -> {
                    at[0] = s.server.datagrams(s.stage.any(), 100, (from, bytes) -> came.add(bytes.remaining()));
                    at[1] = s.server.datagrams(s.stage.any(), 100, (from, bytes) -> { });
                    at[2] = s.server.datagrams(s.stage.any(), 100, (from, bytes) -> { });
                    at[1].close();
                });
                boolean[] taken = new boolean[1];
                s.stage.run(s.server, () -> {
                    at[2].send(at[0].address(), ByteBuffer.allocate(101));
                    taken[0] = at[2].send(at[1].address(), ByteBuffer.allocate(50));
                });
                // Datagrams may be reordered: the long one is surely late once many short ones have come.
                for (int i = 0; i < 20; i++) {
                    int before = came.size();
                    s.stage.run(s.server, () -> at[2].send(at[0].address(), ByteBuffer.allocate(50)));
                    s.stage.until(s.server, () -> came.size() > before);
                }
                boolean tooLong = came.stream().anyMatch(length -> length != 50);
                return "too long " + (tooLong ? "came" : "dropped") + ", to nobody " + (taken[0] ? "taken" : "refused")
                        + ", 50 bytes came";
            }));

    /** A connection that the client opens. */
    private static final class Attempt implements Loop.Connector {
        private final Scenery scenery;
        private Loop.Opening opening;
        private String outcome;

        Attempt(Scenery scenery) {
            this.scenery = scenery;
        }

        void begin(Duration timeout) {
            opening = scenery.client.connect(scenery.address, timeout, this);
        }

        @Override
        public Connection connected(EndPoint endPoint) {
            heard("connected");
            scenery.here = new Probe(endPoint, scenery.client, scenery.clientReads);
            return scenery.here;
        }

        @Override
        public void failed(Throwable cause) {
            heard("failed: " + cause.getClass().getSimpleName());
        }

        private void heard(String what) {
            outcome = outcome == null ? what : outcome + " and " + what;
        }

        String awaitOutcome() throws Exception {
            scenery.stage.until(scenery.client, () -> outcome != null);
            return outcome;
        }
    }

    /** The loops, a listener of the server's, and the last connection's two sides. */
    private static final class Scenery {
        private final Stage stage;
        private final Loop server;
        private final Loop client;
        private final List<Probe> accepted = new ArrayList<>();
        private boolean clientReads = true;
        private boolean serverReads = true;
        private Loop.Listening listening;
        private InetSocketAddress address;
        private Probe here;
        private Probe there;

        Scenery(Stage stage) throws Exception {
            this.stage = stage;
            server = stage.server();
            client = stage.client();
            stage.run(server, () -> listen(50));
        }

        void listen(int backlog) throws IOException {
            listening = server.listen(stage.any(), backlog, this::accept);
            address = listening.address();
        }

        Connection accept(EndPoint endPoint) {
            there = new Probe(endPoint, server, serverReads);
            accepted.add(there);
            return there;
        }

        Attempt connect(Duration timeout) throws Exception {
            Attempt attempt = new Attempt(this);
            stage.run(client, () -> attempt.begin(timeout));
            return attempt;
        }

        /** What becomes of a connection to a listener that was closed; a real one is so a little later than told. */
        String closedOutcome() throws Exception {
            String outcome;
            do {
                outcome = connect(LONG).awaitOutcome();
            } while (outcome.equals("connected") || outcome.equals("failed: SocketException"));
            return outcome;
        }

        /** Opens a connection. @param clientReads whether the client reads what comes; the same for the server */
        void pair(boolean clientReads, boolean serverReads) throws Exception {
            this.clientReads = clientReads;
            stage.run(server, () -> this.serverReads = serverReads);
            connect(LONG).awaitOutcome();
            stage.until(server, () -> !accepted.isEmpty());
        }

        /** Reads all that the client gets, and compares it with what the server's system took. */
        String drained() throws Exception {
            while (!here.ended) {
                stage.until(client, () -> here.readable);
                stage.run(client, () -> here.read());
            }
            return here.received < there.sent ? "sent bytes are lost" : "all sent bytes came";
        }

        String writesUntilFailure() throws Exception {
            stage.until(client, () -> {
                if (!here.writing && !here.failed) {
                    here.write(1);
                }
                return here.failed;
            });
            return "writes fail";
        }
    }

    static Stream<Arguments> scenes() {
        return SCENES.stream().flatMap(s -> Stream.of(Arguments.of(s, false), Arguments.of(s, true)));
    }

    @ParameterizedTest(name = "{0}, simulated: {1}")
    @MethodSource("scenes")
    void endsAlikeOnBothNetworks(Scene scene, boolean simulated) throws Exception {
        try (Stage stage = simulated ? new Stage.Simulated() : new Stage.Real()) {
            assertEquals(scene.outcome, scene.play.on(new Scenery(stage)));
            assertTrue(stage.failures.isEmpty(), () -> "unforeseen: " + stage.failures);
        }
    }
}
