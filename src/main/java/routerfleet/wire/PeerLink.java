package routerfleet.wire;

import java.util.concurrent.TimeUnit;
import routerfleet.log.Loggers;

/**
 * One connection between two processes of the fleet, which keeps the order of messages. Both sides ask each other whether
 * they are there; a side that hears nothing for too long closes the connection ({@link LinkTiming}).
 */
public final class PeerLink {
    /** Of one message. */
    static final int MOST_FRAME_BYTES = 16 << 20;
    /** Bytes that wait unsent; a peer that lets more pile up is cut off, and starts afresh. */
    private static final long MOST_WAITING_BYTES = 32L << 20;
    private static final System.Logger LOG = Loggers.get("routerfleet.wire");

    /** Who gets the messages of a connection. */
    public interface Listener {
        /** The connection is up. */
        void opened(PeerLink link);

        /** A message has come. */
        void received(PeerLink link, PeerMessage message);

        /** The connection is gone. */
        void closed(PeerLink link);
    }

    /** What carries the bytes of a connection. */
    public interface Carrier {
        /** Whether bytes can still be written. */
        boolean isOpen();

        /** Bytes that wait unsent. */
        long waitingBytes();

        /** Sends a message's bytes. */
        void write(byte[] message);

        /** Ends the connection. */
        void close();
    }

    private final PeerCodec codec;
    private final Scheduler scheduler;
    private final Listener listener;
    private final Carrier carrier;
    private LinkTiming timing;
    private Scheduler.Planned watch;
    private long heardAt;

    /** @param codec of the thread on which the connection runs */
    public PeerLink(PeerCodec codec, Scheduler scheduler, LinkTiming timing, Listener listener, Carrier carrier) {
        this.codec = codec;
        this.scheduler = scheduler;
        this.timing = timing;
        this.listener = listener;
        this.carrier = carrier;
    }

    /** Sends a message; dropped where the connection is gone. */
    public void send(PeerMessage message) {
        if (!carrier.isOpen()) {
            return;
        }
        if (carrier.waitingBytes() > MOST_WAITING_BYTES) {
            carrier.close();
            return;
        }
        carrier.write(codec.encode(message));
    }

    /** Ends the connection. */
    public void close() {
        carrier.close();
    }

    /** Watches the other side's silence otherwise from now on: it has said what it is. */
    public void timing(LinkTiming changed) {
        timing = changed;
        if (watch != null) {
            watch.cancel();
            watchAfter(timing.askAfterMs());
        }
    }

    /** Of the carrier: it is up. */
    public void opened() {
        heardAt = scheduler.nanoTime();
        watchAfter(timing.askAfterMs());
        listener.opened(this);
    }

    /** Of the carrier: a message's bytes have come. One that can't be read ends the connection. */
    public void received(byte[] bytes) {
        heardAt = scheduler.nanoTime();
        PeerMessage message;
        try {
            message = codec.decode(bytes, PeerMessage.class);
        } catch (PeerCodec.MalformedMessageException e) {
            LOG.log(System.Logger.Level.WARNING, "connection closed: " + e.getMessage());
            close();
            return;
        }
        if (message instanceof PeerMessage.Ping ping) {
            send(new PeerMessage.Pong(ping.id()));
        } else if (!(message instanceof PeerMessage.Pong)) {
            listener.received(this, message);
        }
    }

    /** Of the carrier: it is gone. */
    public void closed() {
        watch.cancel();
        listener.closed(this);
    }

    private void watchAfter(long delayMs) {
        watch = scheduler.schedule(this::checkSilence, Math.max(1, delayMs), TimeUnit.MILLISECONDS);
    }

    private void checkSilence() {
        long silentMs = TimeUnit.NANOSECONDS.toMillis(scheduler.nanoTime() - heardAt);
        if (silentMs >= timing.lostAfterMs()) {
            close();
        } else if (silentMs >= timing.askAfterMs()) {
            send(new PeerMessage.Ping(0));
            watchAfter(Math.min(timing.askAfterMs(), timing.lostAfterMs() - silentMs));
        } else {
            watchAfter(timing.askAfterMs() - silentMs);
        }
    }
}
