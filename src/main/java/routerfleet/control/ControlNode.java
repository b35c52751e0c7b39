package routerfleet.control;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import routerfleet.log.Loggers;
import routerfleet.log.StepTimes;
import routerfleet.settings.LocalSettings;
import routerfleet.wire.EventLoopScheduler;
import routerfleet.wire.HashMix;
import routerfleet.wire.Listeners;
import routerfleet.wire.NettyPeerNetwork;
import routerfleet.wire.PeerCodec;
import routerfleet.wire.PeerNetwork;

/**
 * A control node on a real machine: runs a {@link ControlService} on an event loop, sockets and a directory on disk.
 * Everything runs on that one event loop, except disk writes and the validation of configuration updates.
 */
public final class ControlNode {
    private static final System.Logger LOG = Loggers.get("routerfleet.control");
    private static final long STOP_MS = 400;
    /** The part of the platform's grace period that a successor may take to replace this node in the replica group. */
    private static final double LEAVE_GRACE_FRACTION = 0.6;
    /** How long requests that have been read may take to be answered: calls give up within 0.9 s. */
    private static final long ANSWER_TIMEOUT_MS = 1_500;
    /** The part of the platform's grace period that this takes at most. */
    private static final double ANSWER_GRACE_FRACTION = 0.2;
    private static final long ANSWER_POLL_MS = 20;
    private static final long MS_PER_SECOND = 1_000;
    private static final long DISK_RETRY_MS = 100;

    /** Without a quiet period an event loop may terminate before it has closed its sockets. */
    private static final long CRASH_QUIET_MS = 10;
    private static final long CRASH_TIMEOUT_MS = 2_000;

    private final LocalSettings settings;
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    private final ReplicaStorage storage;
    private final ExecutorService validators = Executors.newSingleThreadExecutor(task -> {
        Thread thread = new Thread(task, "order-examiner");
        thread.setDaemon(true);
        return thread;
    });
    private final ControlService service;
    private PeerNetwork.Listener peerListener;
    private PeerNetwork.Listener dataListener;
    private final HttpConnections httpConnections = new HttpConnections();
    /** Null until the node has started. */
    private volatile Channel http;
    private final StepTimes startSteps = StepTimes.fromProcessStart();

    /** @param settings with an address for the control plane and a data directory */
    public ControlNode(LocalSettings settings) {
        this.settings = settings;
        PeerCodec codec = new PeerCodec();
        storage = new ReplicaStorage(settings.dataPath(), loop);
        service = new ControlService(settings, new EventLoopScheduler(loop), new NettyPeerNetwork(group, loop, codec),
                codec, storage, new SplittableRandom(HashMix.of(settings.ip()) ^ System.nanoTime()),
                new ControlServiceFactory(settings.toleratedHosts(), settings.toleratedZones(), validators));
    }

    /** Loads the state from disk, then listens. @throws IOException if the disk can't be read or an address is in use */
    public void start() throws IOException {
        load();
        peerListener = service.listenToPeers();
        loop.submit(service::start).syncUninterruptibly();
        peerListener.accept();
        dataListener = service.listenToDataNodes();
        http = ControlHttp.bind(group, settings.controlPlane(), service::handle, httpConnections);
        LOG.log(System.Logger.Level.INFO, "control node " + settings.nodeName() + " is up as replica "
                + service.replica());
        startSteps.ended("up");
        loop.execute(() -> service.runOnceLeaderKnown(this::acceptClients));
    }

    private void acceptClients() {
        dataListener.accept();
        Listeners.accept(http);
        startSteps.ended(service.group().leader() == null ? "accepting without a leader" : "accepting, leader known");
        LOG.log(System.Logger.Level.INFO, "start, ms since the process began and of processor time: " + startSteps);
    }

    /**
     * Loads the replica's state. At the first start of the whole system a full or failing disk is retried, since the
     * initial state has to be stored before the node takes part.
     */
    private void load() throws IOException {
        boolean warned = false;
        while (true) {
            try {
                service.load(ControlNode::randomIncarnation);
                return;
            } catch (IOException e) {
                if (!settings.bootstrap()) {
                    throw e;
                }
                if (!warned) {
                    LOG.log(System.Logger.Level.WARNING, "could not store the initial state, retrying: " + e.getMessage());
                }
                warned = true;
                pause();
            }
        }
    }

    /** Called only for an empty disk: creating a secure random source takes about 10 ms of processor time. */
    private static long randomIncarnation() {
        return new SecureRandom().nextLong() >>> 2;
    }

    private static void pause() throws IOException {
        try {
            Thread.sleep(DISK_RETRY_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted during startup", e);
        }
    }

    /** Applies changed settings. Only the seeds may change while the process runs. */
    public void reload(LocalSettings changed) {
        loop.execute(() -> service.updateSeeds(changed.seeds()));
    }

    /**
     * Stops the node in order: transfers leadership and, if another control node is ready to replace this one, gives up its
     * membership in the replica group; then answers all requests that have been read. Blocks until a successor has taken
     * over, or at most for a fraction ({@value #LEAVE_GRACE_FRACTION}) of the platform's grace period, and until the
     * requests are answered, or at most for another one ({@value #ANSWER_GRACE_FRACTION}).
     */
    public void stop() {
        if (http == null) {
            return; // not started yet: nothing has been accepted
        }
        double graceMs = settings.bounds().graceS() * MS_PER_SECOND;
        long leaveTimeoutMs = (long) (graceMs * LEAVE_GRACE_FRACTION);
        CountDownLatch hasLeft = new CountDownLatch(1);
        loop.execute(() -> service.prepareToStop(hasLeft::countDown, leaveTimeoutMs));
        await(hasLeft, leaveTimeoutMs + STOP_MS);
        long answerTimeoutMs = Math.min(ANSWER_TIMEOUT_MS, (long) (graceMs * ANSWER_GRACE_FRACTION));
        CountDownLatch answered = new CountDownLatch(1);
        loop.execute(() -> {
            http.close();
            answerOpenRequests(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(answerTimeoutMs), answered);
        });
        await(answered, answerTimeoutMs + STOP_MS);
        loop.schedule(this::closeListeners, STOP_MS / 2, TimeUnit.MILLISECONDS).awaitUninterruptibly(STOP_MS);
        storage.close();
        validators.shutdownNow();
    }

    private void answerOpenRequests(long endNanos, CountDownLatch answered) {
        httpConnections.drain();
        if (httpConnections.size() == 0 || System.nanoTime() - endNanos >= 0) {
            answered.countDown();
        } else {
            loop.schedule(() -> answerOpenRequests(endNanos, answered), ANSWER_POLL_MS, TimeUnit.MILLISECONDS);
        }
    }

    private static void await(CountDownLatch latch, long timeoutMs) {
        try {
            latch.await(timeoutMs, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void closeListeners() {
        try {
            dataListener.close();
            peerListener.close();
        } catch (IOException e) {
            LOG.log(System.Logger.Level.DEBUG, "a listener did not close", e);
        }
    }

    /** Stops at once, as if killed: no leadership transfer, and pending writes are dropped. */
    public void crash() {
        storage.close();
        validators.shutdownNow();
        group.shutdownGracefully(CRASH_QUIET_MS, CRASH_TIMEOUT_MS, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }
}
