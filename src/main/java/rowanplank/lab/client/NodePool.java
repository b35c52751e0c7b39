package rowanplank.lab.client;

import java.net.ConnectException;
import java.net.SocketTimeoutException;
import java.time.Duration;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import rowanplank.net.Loop;

/**
 * What a front knows of one node: whether it is in use, and the connections to it.
 *
 * <p>A node is in use once a check ({@link UpCheck}) has found it ready. A refused connection, one that was not up
 * when its request's time was over, and one that ended in place of an answer are signs of death: after the first of
 * them the front goes on for a drawn time, then takes the node out and checks it until it is ready again. (A reset
 * can't be told from an end: end points read both as an end.) Checks follow each other after
 * {@link #CHECK_PAUSE}, one at a time.
 *
 * <p>Connections may be opened ahead, few at a time and at a steady pace ({@link Front.Manner}): they are up for this
 * side before the other one's process has accepted them, and of thousands at once its machine drops those that find no
 * room to wait there, to be tried again a second and more later.
 *
 * <p>Bounds: {@code mostConnections} open or being opened, and one check.
 */
final class NodePool {
    static final String NOT_IN_TIME = "not up in time";

    private static final Duration CHECK_PAUSE = Duration.ofMillis(100);
    /** New connections still go to a node so long after it has said no. */
    private static final Duration LET_GO_AFTER = Duration.ofMillis(200);
    private static final Duration AHEAD_TIMEOUT = Duration.ofSeconds(5);
    /** Of those ahead so many are opened, and so long later the next: 2,000 a second. */
    private static final int AHEAD_TOGETHER = 10;
    private static final Duration AHEAD_PAUSE = Duration.ofMillis(5);

    final Target target;
    private final Front front;
    private final int mostConnections;
    private final ConnectionStack atRest = new ConnectionStack();
    /** Of clients that ask once: theirs for good. */
    private final ConnectionStack takenAway = new ConnectionStack();
    private int connections;
    private int opening;
    /** So many are to be opened before they are needed; 0 once that has been so. */
    private int ahead;
    private boolean opensAhead;
    private int failedOpenings;
    private boolean inUse;
    private boolean saysNo;
    /** It has said no for a moment: no new connections go there, while those there are still serve. */
    private boolean letGo;
    private Loop.Timer watch;
    private Loop.Timer timer;
    private UpCheck check;
    /** Whether the front has it among those that can take a request. */
    boolean offered;

    NodePool(Front front, Target target, int mostConnections) {
        this.front = front;
        this.target = target;
        this.mostConnections = mostConnections;
        ahead = Math.min(front.manner.ahead(), mostConnections);
    }

    /** Whether a request finds a connection at once, or one can be opened. */
    boolean canTake() {
        return inUse && (!atRest.isEmpty() || canOpen());
    }

    private boolean canOpen() {
        return inUse && !letGo && connections < mostConnections && opening < front.manner.openingAtOnce();
    }

    /** Puts the request on a connection at rest, or opens one for it. */
    void take(Asking asking) {
        asking.pool = this;
        if (asking.sentAnew && connections == mostConnections) {
            atRest.pop().close(); // it goes on a new one in any case
        }
        if (atRest.isEmpty() || asking.sentAnew) {
            open(asking);
        } else {
            send(asking, front.manner.oldestFirst() ? atRest.popOldest() : atRest.pop());
        }
    }

    private void open(Asking asking) {
        connections++;
        opening++;
        asking.opening = front.loop.connect(target.address(), front.timeLeft(asking), new Loop.Connector() {
            @Override
            public Connection connected(EndPoint endPoint) {
                openingEnded();
                asking.opening = null;
                asking.connection = new FrontConnection(endPoint, front.loop, NodePool.this, asking);
                return asking.connection;
            }

            @Override
            public void failed(Throwable cause) {
                connections--;
                opening--;
                failedOpenings++;
                asking.opening = null;
                signOfDeath();
                front.notConnected(asking, why(cause));
                front.offer(NodePool.this);
            }
        });
    }

    /** Guards the loop: requests that wait are handed on by a task of its own, not within the one that tells of this. */
    private void openingEnded() {
        opening--;
        if (front.manner.openingAtOnce() < Integer.MAX_VALUE) {
            front.loop.execute(() -> front.offer(this));
        }
    }

    private void openAhead() {
        for (int i = 0; i < AHEAD_TOGETHER && connections < ahead && canOpen(); i++) {
            openOneAhead();
        }
        if (connections < ahead) {
            front.loop.schedule(AHEAD_PAUSE, this::openAhead);
        } else {
            ahead = 0;
        }
    }

    private void openOneAhead() {
        connections++;
        opening++;
        front.loop.connect(target.address(), AHEAD_TIMEOUT, new Loop.Connector() {
            @Override
            public Connection connected(EndPoint endPoint) {
                openingEnded();
                return new FrontConnection(endPoint, front.loop, NodePool.this, null);
            }

            @Override
            public void failed(Throwable cause) {
                connections--;
                opening--;
                failedOpenings++;
                signOfDeath();
            }
        });
    }

    /** One that was opened ahead is up. */
    void opened(FrontConnection connection) {
        if (inUse) {
            atRest.push(connection);
            front.offer(this);
        } else {
            connection.close();
        }
    }

    /** Whether it is in use, and what was to be opened ahead is open. */
    boolean isPrepared() {
        return inUse && opening == 0 && ahead == 0;
    }

    int connections() {
        return connections;
    }

    int failedOpenings() {
        return failedOpenings;
    }

    /** In few words: messages tell times and ports, and no two are alike. */
    private static String why(Throwable cause) {
        return cause instanceof ConnectException ? "refused"
                : cause instanceof SocketTimeoutException ? NOT_IN_TIME : cause.getClass().getSimpleName();
    }

    /** Gives up the connection that is being opened for the request. */
    void abandonOpening(Asking asking) {
        asking.opening.abandon();
        asking.opening = null;
        connections--;
        opening--;
        signOfDeath();
        front.offer(this);
    }

    void send(Asking asking, FrontConnection connection) {
        asking.connection = connection;
        connection.send(asking, front.message(asking));
    }

    void asked(Asking asking) {
        front.asked(asking);
    }

    void answered(FrontConnection connection, Asking asking, AnswerReader reader, boolean keep) {
        front.answered(asking, reader);
        if (!keep || !inUse || !asking.arrival.keepsConnection()) {
            connection.close();
        } else if (asking.arrival.askOnce()) {
            takenAway.push(connection);
        } else {
            atRest.push(connection);
            front.offer(this);
        }
    }

    void answeredTwice(Asking asking) {
        front.answeredTwice(asking);
    }

    /** @param lost the request that it carried, null if none */
    void over(FrontConnection connection, Asking lost, String fault) {
        connections--;
        if (connection.stack != null) {
            connection.stack.remove(connection);
        }
        if (lost != null && !front.lost(lost, connection, fault)) {
            signOfDeath();
        }
        front.offer(this);
    }

    private void signOfDeath() {
        if (inUse && timer == null) {
            timer = front.loop.schedule(front.notice(), this::takeOut);
        }
    }

    private void takeOut() {
        timer = null;
        inUse = false;
        letGo = false;
        saysNo = false;
        stopWatching();
        atRest.closeAll();
        takenAway.closeAll();
        check();
    }

    private void stopWatching() {
        if (watch != null) {
            watch.cancel();
        }
        if (check != null) {
            check.abandon();
            check = null;
        }
    }

    void check() {
        timer = null;
        if (front.manner.check() == null) {
            checked(true);
            return;
        }
        check = new UpCheck(front.loop, target.address(), front.manner.check(), this::checked);
        check.begin();
    }

    private void checked(boolean ready) {
        check = null;
        if (ready) {
            inUse = true;
            front.ready(this);
            if (front.manner.watches()) {
                watch = front.loop.schedule(CHECK_PAUSE, this::watch);
            }
            if (ahead > 0 && !opensAhead) {
                opensAhead = true;
                openAhead();
            }
        } else {
            timer = front.loop.schedule(CHECK_PAUSE, this::check);
        }
    }

    /** Asks a node in use whether it still is up; one that is taken out of use is checked as at the start. */
    private void watch() {
        check = new UpCheck(front.loop, target.address(), front.manner.check(), this::watched);
        check.begin();
    }

    private void watched(boolean up) {
        check = null;
        if (!inUse) {
            return;
        }
        saysNo = !up;
        if (up) {
            letGo = false;
            front.offer(this);
        } else {
            front.loop.schedule(LET_GO_AFTER, () -> letGo = saysNo);
        }
        watch = front.loop.schedule(CHECK_PAUSE, this::watch);
    }

    /** Closes what is at rest, and checks no more. */
    void close() {
        inUse = false;
        ahead = 0;
        if (timer != null) {
            timer.cancel();
        }
        stopWatching();
        atRest.closeAll();
        takenAway.closeAll();
    }
}
