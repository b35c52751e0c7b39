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
import routerfleet.settings.LocalSettings;
import routerfleet.wire.EventLoopScheduler;
import routerfleet.wire.HashMix;
import routerfleet.wire.Listeners;
import routerfleet.wire.NettyPeerNetwork;
import routerfleet.wire.PeerCodec;
import routerfleet.wire.PeerNetwork;

/**
 * A control node on a real machine: an event loop, sockets, a folder on disk, and the {@link ControlService} on them.
 * Everything runs on one event loop but for the writes to disk.
 */
public final class ControlNode {
    private static final System.Logger LOG = Loggers.get("routerfleet.control");
    private static final long STOP_MS = 400;
    /** Most of the platform's grace for a successor to take this node's place in the replica group. */
    private static final double LEAVE_PART = 0.6;
    private static final long SECOND_MS = 1_000;
    private static final long DISK_RETRY_MS = 100;

    /** Without a quiet period an event loop may end before it has closed its sockets. */
    private static final long CRASH_QUIET_MS = 10;
    private static final long CRASH_MOST_MS = 2_000;

    private final LocalSettings settings;
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    private final ReplicaStorage storage;
    private final ExecutorService examiners = Executors.newSingleThreadExecutor(task -> {
        Thread thread = new Thread(task, "order-examiner");
        thread.setDaemon(true);
        return thread;
    });
    private final ControlService service;
    private PeerNetwork.Listener peerListener;
    private PeerNetwork.Listener dataListener;
    private Channel http;

    /** @param settings with an address for the control plane and a folder on disk */
    public ControlNode(LocalSettings settings) {
        this.settings = settings;
        PeerCodec codec = new PeerCodec();
        storage = new ReplicaStorage(settings.dataPath(), loop);
        service = new ControlService(settings, new EventLoopScheduler(loop), new NettyPeerNetwork(group, loop, codec),
                codec, storage, new SplittableRandom(HashMix.of(settings.ip()) ^ System.nanoTime()),
                new ControlServiceFactory(settings.toleratedHosts(), settings.toleratedZones(), examiners));
    }

    /** Reads the disk, then listens. @throws IOException if the disk can't be read or an address is taken */
    public void start() throws IOException {
        load();
        peerListener = service.listenToPeers();
        loop.submit(service::start).syncUninterruptibly();
        peerListener.accept();
        dataListener = service.listenToDataNodes();
        http = ControlHttp.bind(group, settings.controlPlane(), service::handle);
        loop.execute(() -> service.runOnceLeaderKnown(this::letIn));
        LOG.log(System.Logger.Level.INFO, "control node " + settings.nodeName() + " is up as replica "
                + service.replica());
    }

    private void letIn() {
        dataListener.accept();
        Listeners.accept(http);
    }

    /** A disk that is full or in trouble at the first start is tried again: a founder's state has to be on it. */
    private void load() throws IOException {
        boolean warned = false;
        while (true) {
            try {
                service.load(ControlNode::replicaNumber);
                return;
            } catch (IOException e) {
                if (!settings.bootstrap()) {
                    throw e;
                }
                if (!warned) {
                    LOG.log(System.Logger.Level.WARNING, "disk refuses the first state, trying again: " + e.getMessage());
                }
                warned = true;
                pause();
            }
        }
    }

    /** Asked for on an empty disk only: a secure source costs each start some 10 ms of processor time. */
    private static long replicaNumber() {
        return new SecureRandom().nextLong() >>> 2;
    }

    private static void pause() throws IOException {
        try {
            Thread.sleep(DISK_RETRY_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted at the start", e);
        }
    }

    /** Takes new settings: only the seeds may change while the process runs. */
    public void reload(LocalSettings changed) {
        loop.execute(() -> service.updateSeeds(changed.seeds()));
    }

    /**
     * Hands on leadership, and the replica's place where another control node waits for one, and ends. Blocks for a moment
     * or until a successor has taken over, at most for a part of the platform's grace.
     */
    public void stop() {
        long mostMs = (long) (settings.bounds().graceS() * SECOND_MS * LEAVE_PART);
        CountDownLatch left = new CountDownLatch(1);
        loop.execute(() -> service.prepareToStop(left::countDown, mostMs));
        try {
            left.await(mostMs + STOP_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        loop.schedule(this::closeListeners, STOP_MS / 2, TimeUnit.MILLISECONDS).awaitUninterruptibly(STOP_MS);
        storage.close();
        examiners.shutdownNow();
    }

    private void closeListeners() {
        http.close();
        try {
            dataListener.close();
            peerListener.close();
        } catch (IOException e) {
            LOG.log(System.Logger.Level.DEBUG, "a listener did not close", e);
        }
    }

    /** Ends at once: nothing is handed on, and what has not been written is not. */
    public void crash() {
        storage.close();
        examiners.shutdownNow();
        group.shutdownGracefully(CRASH_QUIET_MS, CRASH_MOST_MS, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }
}
