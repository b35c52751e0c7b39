package rowanplank.discovery;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import rowanplank.config.Addresses;
import rowanplank.config.ConfigException;
import rowanplank.config.HostList;
import rowanplank.config.SiteSettings;
import rowanplank.decision.FleetLimits;
import rowanplank.http.Messages;
import rowanplank.http.ResponseReader;
import rowanplank.metrics.Counters.Count;
import rowanplank.metrics.Counters;
import rowanplank.metrics.RateLimitedLog;
import rowanplank.net.Loop;
import rowanplank.net.LoopConnection;

/**
 * Asks discovery for the whole list, then watches it for changes, one call at a time; with a list of its last life
 * it asks for what has changed since. A call that fails or stays silent is made again on a new connection, at the pace
 * of {@link AskingPace}; so is a watch that is answered at once with nothing new, on the connection that it has. A
 * malformed answer changes nothing, and the whole list is asked for anew. An answer may be the last on its connection,
 * and end with it.
 * It can be stopped, for another one that watches discovery at a new address.
 */
public final class DiscoveryWatch {
    /** A connection that has not come up by then is tried anew, however long those to page servers may take. */
    private static final Duration LONGEST_CONNECT = Duration.ofSeconds(1);
    private static final int MOST_ANSWER_BYTES = 4 * Messages.MOST_HELD_BYTES;

    /** Who is told of the peers. */
    public interface Listener {
        void told(DiscoveryWatch by, HostList list);
    }

    private final InetSocketAddress address;
    private final List<String> zones;
    private final Duration connectTimeout;
    private final Loop loop;
    private final Counters counters;
    private final RateLimitedLog log;
    private final Listener listener;
    private final AskingPace pace;
    private FleetLimits bounds = FleetLimits.NONE;
    private long revision;
    private boolean heard;
    private boolean stopped;
    /** When the call that is out began, its connection included. */
    private Instant begun;
    private Loop.Opening opening;
    private Loop.Timer next;
    private Call call;

    /**
     * @param site its connect time-out bounds how long a connection may take to open
     * @param seed of the chance that keeps nodes from asking all at once
     * @param revision of the list that the listener has from discovery already, so that only changes are asked for;
     *     -1 if it has none
     */
    public DiscoveryWatch(InetSocketAddress address, SiteSettings site, long seed, long revision, Loop loop,
            Counters counters, RateLimitedLog log, Listener listener) {
        this.address = address;
        zones = site.zones();
        connectTimeout = site.connectTimeout().compareTo(LONGEST_CONNECT) < 0 ? site.connectTimeout() : LONGEST_CONNECT;
        pace = new AskingPace(site.module().nodes(), !site.module().requestList(), seed);
        this.revision = revision;
        this.loop = loop;
        this.counters = counters;
        this.log = log;
        this.listener = listener;
    }

    public InetSocketAddress address() {
        return address;
    }

    /** What bounds its calls; to be told before the start. */
    public void bound(FleetLimits by) {
        bounds = by;
    }

    /** Begins to watch, on the loop's thread, until it is stopped. */
    public void start() {
        Duration later = bounds.tryAcquireDiscoveryCall();
        if (!later.isZero()) {
            next = loop.schedule(later, this::start);
            return;
        }
        begun = loop.clock().now();
        opening = loop.connect(address, connectTimeout, new Loop.Connector() {
            @Override
            public Connection connected(EndPoint endPoint) {
                call = new Call(endPoint);
                return call;
            }

            @Override
            public void failed(Throwable cause) {
                again("can't connect to discovery: " + cause.getMessage());
            }
        });
    }

    /** Ends the watch: it tells nothing more, and nothing of it stays open. */
    public void stop() {
        stopped = true;
        if (opening != null) {
            opening.abandon();
        }
        if (next != null) {
            next.cancel();
        }
        if (call != null) {
            call.close();
        }
    }

    private void again(String reason) {
        if (stopped) {
            return;
        }
        counters.add(Count.DISCOVERY_FAILURES);
        log.warn(reason);
        next = loop.schedule(pace.failed(spent()), this::start);
    }

    private Duration spent() {
        return Duration.between(begun, loop.clock().now());
    }

    /** @return the list that was told; null where the answer could not be used */
    private HostList take(String text) {
        HostList list;
        try {
            list = HostList.parse(text, zones);
            if (list.revision() < 0) {
                throw new ConfigException("a revision below zero");
            }
            if (revision < 0 && !list.complete()) {
                throw new ConfigException("changes to a list that was never told");
            }
            if (!list.complete() && list.revision() < revision) {
                throw new ConfigException("changes older than the list");
            }
        } catch (ConfigException e) {
            counters.add(Count.DISCOVERY_MALFORMED);
            log.warn("malformed answer of discovery, the old list stands: " + e.getMessage());
            revision = -1;
            return null;
        }
        revision = list.revision();
        heard = true;
        counters.add(Count.DISCOVERY_LISTS);
        listener.told(this, list);
        return list;
    }

    /** A connection to discovery, with one call after the other on it. */
    private final class Call extends LoopConnection {
        private final ResponseReader reader = new ResponseReader(MOST_ANSWER_BYTES);
        private Loop.Timer patience;
        private Loop.Timer stall;
        private Duration wait = Duration.ZERO;
        private long asked;
        private int pieces;
        /** Until the next call, where this connection's last answer was a good one; null while a call is out. */
        private Duration pause;
        private String reason = "discovery closed the connection";

        Call(EndPoint endPoint) {
            super(endPoint, loop);
        }

        @Override
        public void onOpen() {
            super.onOpen();
            ask();
        }

        /** Once more on this connection, which is kept meanwhile. */
        private void askAgain() {
            Duration later = bounds.tryAcquireDiscoveryCall();
            if (later.isZero()) {
                begun = loop.clock().now();
                ask();
            } else {
                patience = loop.schedule(later, this::askAgain);
            }
        }

        private void ask() {
            // At first what has changed by now: a node is not taken in before it has heard of it.
            wait = heard && revision >= 0 ? pace.watchWait() : Duration.ZERO;
            asked = revision;
            pause = null;
            String target = "/discovery/hosts"
                    + (revision < 0 ? "" : "?index=" + revision + "&wait=" + wait.toMillis());
            patience = loop.schedule(pace.patience(wait), this::silent);
            HttpFields.Mutable fields = HttpFields.build();
            fields.put(HttpHeader.HOST, Addresses.format(address));
            write(() -> { }, Messages.request("GET", target, fields, new byte[0]));
        }

        /** Looks once more first: the node's own core may have been what was late. */
        private void silent() {
            int seen = pieces;
            lastLook();
            if (pieces == seen && !isOver()) {
                giveUp("discovery is silent");
            }
        }

        private void giveUp(String why) {
            reason = why;
            close();
        }

        /** More of an answer has come, but not all. */
        private void awaitMore() {
            if (stall == null) {
                patience.cancel();
                patience = loop.schedule(pace.patienceForRest(spent()),
                        () -> giveUp("an answer of discovery takes too long"));
            } else {
                stall.cancel();
            }
            stall = loop.schedule(pace.stall(), this::stalled);
        }

        /** Looks once more first: the node's own core may have been what was late. */
        private void stalled() {
            int seen = pieces;
            lastLook();
            if (pieces == seen && !isOver()) {
                pace.stalled();
                giveUp("an answer of discovery stopped half-way");
            }
        }

        private void calm() {
            patience.cancel();
            if (stall != null) {
                stall.cancel();
                stall = null;
            }
        }

        @Override
        protected void onBytes(ByteBuffer bytes) {
            pieces++;
            while (bytes.hasRemaining()) {
                switch (reader.read(bytes)) {
                    case MORE -> {
                        awaitMore();
                        return;
                    }
                    case BROKEN -> {
                        counters.add(Count.DISCOVERY_MALFORMED);
                        giveUp("broken answer of discovery");
                        return;
                    }
                    case WHOLE -> answered();
                }
                if (isOver()) {
                    return;
                }
            }
        }

        private void answered() {
            calm();
            if (stopped) {
                return;
            }
            if (reader.status() != 200) {
                giveUp("discovery answered " + reader.status());
                return;
            }
            HostList list = take(new String(reader.body(), StandardCharsets.UTF_8));
            if (list == null) {
                giveUp("asking discovery anew");
                return;
            }
            pause = pauseAfter(list);
            if (!reader.keepsConnection()) {
                close();
                return;
            }
            reader.reset();
            if (pause.isZero()) {
                askAgain();
            } else {
                patience = loop.schedule(pause, this::askAgain);
            }
        }

        /** Guards discovery, and this loop, against a watch that is answered at once, again and again, with nothing new. */
        private Duration pauseAfter(HostList list) {
            if (list.revision() == asked && spent().compareTo(wait.dividedBy(2)) < 0) {
                return pace.failed(spent());
            }
            pace.answered();
            return Duration.ZERO;
        }

        @Override
        protected void onEnd() {
            if (pause == null && reader.end() == ResponseReader.Progress.WHOLE) {
                answered();
            }
            close();
        }

        @Override
        protected void onOver() {
            if (patience != null) {
                calm();
            }
            if (pause != null && !stopped) {
                next = loop.schedule(pause, DiscoveryWatch.this::start);
            } else {
                again(reason);
            }
        }
    }
}
