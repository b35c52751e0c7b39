package routerfleet.control;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import routerfleet.journal.Journal;
import routerfleet.journal.JournalEntry;
import routerfleet.journal.JournalVector;
import routerfleet.journal.Origin;
import routerfleet.settings.LocalSettings;
import routerfleet.wire.JournalForm;
import routerfleet.wire.PeerCodec;
import routerfleet.wire.PeerLink;
import routerfleet.wire.PeerMessage;
import routerfleet.wire.Scheduler;

/**
 * Tallies: replicated counters that can be incremented and read at every control node, independent of which others it
 * reaches. Each node keeps a journal of the adds that it has accepted, and sends new entries to all others. Entries that
 * were lost with a connection are exchanged by comparing vectors; entries of third nodes are passed on too. An add is
 * acknowledged once its entry is on enough disks ({@link TallyAckPolicy}). docs/tallies.md describes the design and
 * argues its correctness. For the node's thread, except for {@link #load}.
 */
final class TallyService {
    private static final long TICK_MS = 250;
    private static final int MAX_NAME_LENGTH = 128;
    private static final int MAX_ENTRIES_PER_MESSAGE = 512;
    /** Minimum interval between requests for entries missing before those that another node has sent. */
    private static final long REQUEST_INTERVAL_MS = 20;
    /** A node with an empty disk that has reached no other node for this long serves reads from what it has. */
    private static final long ISOLATED_READ_MS = 2_000;
    /** After this time without a response from a node that holds everything, this node stops waiting for one. */
    private static final long FILL_TIMEOUT_MS = 5_000;
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int UNPROCESSABLE = 422;

    private final String ip;
    private final Scheduler scheduler;
    private final ControlPeers peers;
    private final TallyStorage storage;
    private final TallyLimits limits;
    private final Journal journal = new Journal();
    private final TallyReplicaProgress progress = new TallyReplicaProgress();
    private final TallyAckPolicy ackPolicy;
    private Origin self;
    private TallyWriter writer;
    private PendingTallyAdds adds;
    /**
     * Whether this node holds everything: its disk held a journal, or none existed anywhere, or a complete node has sent
     * its entries.
     */
    private boolean filled;
    private final boolean firstStart;
    private boolean ready;
    private boolean evenTick;
    private long lastRequestMs;
    /** The journal's vector at the last tick: entries of it that a node lacks are not merely in transit. */
    private JournalVector lastTickVector = JournalVector.EMPTY;
    private final TreeMap<String, JournalVector> sentVectors = new TreeMap<>();

    TallyService(LocalSettings settings, Scheduler scheduler, ControlPeers peers, TallyStorage storage,
            TallyLimits limits, TallyAckPolicy ackPolicy) {
        this.limits = limits;
        firstStart = settings.bootstrap();
        this.ip = settings.ip();
        this.scheduler = scheduler;
        this.peers = peers;
        this.storage = storage;
        this.ackPolicy = ackPolicy;
    }

    /**
     * Reads the journal from disk.
     *
     * @param life identifies the disk if it is empty
     * @throws IOException if the disk can't be read or its content is malformed
     */
    void load(long life) throws IOException {
        TallyStorage.Opened opened = storage.open();
        if (opened == null) {
            self = new Origin(ip, life);
            filled = firstStart;
            return;
        }
        try {
            JournalForm.Stored stored = JournalForm.readStoredState(opened.snapshot());
            self = stored.self();
            journal.merge(stored.states());
            for (byte[] record : opened.records()) {
                JournalForm.readStoredEntries(record).forEach(journal::append);
            }
        } catch (PeerCodec.MalformedMessageException e) {
            throw new IOException("the journal of tallies can't be read: " + e.getMessage(), e);
        }
        filled = true;
    }

    /** Starts the service with the loaded journal. */
    void start() {
        ackPolicy.start(scheduler.nanoTime());
        lastRequestMs = scheduler.millis() - REQUEST_INTERVAL_MS;
        writer = new TallyWriter(scheduler, storage, journal, limits, self,
                entries -> peers.sendToAll(new PeerMessage.TallyEntries(entries, false, false, filled)));
        adds = new PendingTallyAdds(scheduler, writer,
                entry -> ackPolicy.isDurable(progress.holdersOf(entry.origin(), entry.number())));
        writer.start(() -> {
            ready = true;
            peers.sendToAll(vectorRequest());
        });
        scheduler.every(TICK_MS, this::tick);
        scheduler.schedule(() -> filled = true, FILL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    private PeerMessage vectorRequest() {
        return new PeerMessage.TallyVector(self, journal.vector(), true);
    }

    // ---- the HTTP interface

    /** Handles a request for {@code NAME/patch} or {@code NAME/get}. */
    void handle(String[] parts, ControlHttp.Request request, Consumer<ControlHttp.Response> onResponse) {
        boolean adds = parts.length == 2 && parts[1].equals("patch") && request.method().equals("POST");
        boolean reads = parts.length == 2 && parts[1].equals("get") && request.method().equals("GET");
        if (!adds && !reads) {
            onResponse.accept(ControlHttp.Response.error(NOT_FOUND, "no such resource: " + request.path()));
        } else if (parts[0].isEmpty() || parts[0].length() > MAX_NAME_LENGTH) {
            onResponse.accept(ControlHttp.Response.error(BAD_REQUEST,
                    "the name of a tally is to have 1 to " + MAX_NAME_LENGTH + " characters"));
        } else if (adds) {
            add(parts[0], request.body(), onResponse);
        } else {
            read(parts[0], onResponse);
        }
    }

    private void read(String tally, Consumer<ControlHttp.Response> onResponse) {
        if (!filled && !ackPolicy.isIsolatedFor(ISOLATED_READ_MS, scheduler.nanoTime())) {
            onResponse.accept(
                    ControlHttp.Response.refusal("an empty disk: no other control node has told its tallies yet"));
            return;
        }
        byte[] body = ("{\"total\":" + journal.total(tally) + "}").getBytes(StandardCharsets.US_ASCII);
        onResponse.accept(new ControlHttp.Response(OK, body));
    }

    private void add(String tally, byte[] body, Consumer<ControlHttp.Response> onResponse) {
        Either<String, TallyJson.Add> parsed = TallyJson.read(body);
        if (parsed.isLeft()) {
            onResponse.accept(ControlHttp.Response.error(BAD_REQUEST, parsed.getLeft()));
            return;
        }
        String uid = parsed.get().uid();
        JournalEntry held = journal.find(tally, uid);
        if (adds.isPending(tally, uid)) {
            adds.join(tally, uid, onResponse);
        } else if (adds.isFull()) {
            onResponse.accept(ControlHttp.Response.refusal("too many adds wait"));
        } else if (held != null) {
            adds.awaitExisting(held, onResponse);
        } else if (!journal.knows(tally) && journal.tallies() >= limits.maxTallies()) {
            onResponse.accept(
                    ControlHttp.Response.error(UNPROCESSABLE, "there are " + limits.maxTallies() + " tallies already"));
        } else if (journal.size() >= limits.maxEntriesForAdds()
                || journal.last(self) == 0 && journal.origins() >= limits.maxOrigins()) {
            onResponse.accept(ControlHttp.Response.refusal("too many adds are not known to all control nodes yet"));
        } else if (!ready || writer.isStalled()) {
            onResponse.accept(ControlHttp.Response.refusal("the disk takes no adds now"));
        } else if (!ackPolicy.canAcknowledge()) {
            onResponse.accept(ControlHttp.Response.refusal("too few control nodes are connected"));
        } else {
            adds.add(tally, parsed.get(), onResponse);
        }
    }

    // ---- other control nodes

    /** Handles the opening of a connection by this node, after its introduction was sent. */
    void connected(PeerLink link) {
        if (ready) {
            link.send(vectorRequest());
        }
        connectionsChanged();
    }

    /** Handles a possible change of the connected nodes. */
    void connectionsChanged() {
        ackPolicy.update(scheduler.nanoTime());
        adds.completeDurable();
    }

    /** Handles another node's vector: sends the entries that it lacks. */
    void received(PeerLink link, PeerMessage.TallyVector vector) {
        progress.update(vector.holder(), vector.held());
        adds.completeDurable();
        if (!ready) {
            return;
        }
        if (journal.needsBases(vector.held())) {
            link.send(new PeerMessage.TallyBases(journal.bases()));
            return;
        }
        boolean lacks = !journal.behind(vector.held(), lastTickVector, self, 1).isEmpty();
        if (lacks || vector.asks()) {
            List<JournalEntry> lacking = journal.behind(vector.held(), journal.vector(), self, MAX_ENTRIES_PER_MESSAGE);
            link.send(new PeerMessage.TallyEntries(lacking, lacking.size() >= MAX_ENTRIES_PER_MESSAGE, vector.asks(),
                    filled));
        }
    }

    /** Stores another node's entries, and reports to it once they are on disk. */
    void received(PeerLink link, PeerMessage.TallyEntries message) {
        writer.merge(message.entries(), () -> {
            Set<Origin> origins = new TreeSet<>();
            message.entries().forEach(entry -> origins.add(entry.origin()));
            origins.forEach(origin -> link.send(new PeerMessage.TallyHeld(self, origin, journal.last(origin))));
            if (message.more() || hasGapBefore(message.entries()) && mayRequestNow()) {
                link.send(vectorRequest());
            } else if (message.answers() && message.filled()) {
                filled = true;
            }
        });
    }

    /**
     * Whether entries before these are missing. They are requested at once: each new entry would otherwise wait for the
     * next tick.
     */
    private boolean hasGapBefore(List<JournalEntry> entries) {
        return entries.stream().anyMatch(entry -> entry.number() > journal.last(entry.origin()));
    }

    private boolean mayRequestNow() {
        long now = scheduler.millis();
        if (now - lastRequestMs < REQUEST_INTERVAL_MS) {
            return false;
        }
        lastRequestMs = now;
        return true;
    }

    /** Handles a report that another node has stored entries. */
    void received(PeerMessage.TallyHeld held) {
        progress.update(held.holder(), held.origin(), held.upTo());
        adds.completeDurable();
    }

    /** Merges another node's bases, sent if this node lacks entries that were folded into them. */
    void received(PeerLink link, PeerMessage.TallyBases message) {
        writer.mergeBases(message.bases(), () -> link.send(vectorRequest()));
    }

    private void tick() {
        connectionsChanged();
        evenTick = !evenTick;
        if (!ready || !evenTick) {
            return;
        }
        JournalVector now = journal.vector();
        Set<String> known = new TreeSet<>(peers.knownAddresses());
        progress.retainNodes(known);
        sentVectors.keySet().retainAll(known);
        for (String peer : known) {
            boolean differs = !filled || !now.equals(progress.vectorOf(peer)) || !now.equals(sentVectors.get(peer));
            if (differs && peers.send(peer, new PeerMessage.TallyVector(self, now, !filled))) {
                sentVectors.put(peer, now);
            }
        }
        lastTickVector = now;
        foldOldest(known, now);
    }

    /** Folds the oldest entries that all nodes hold, which bounds the journal. */
    private void foldOldest(Set<String> known, JournalVector now) {
        if (journal.size() > limits.foldThreshold()) {
            known.remove(ip);
            journal.fold(progress.heldByAll(known, now), limits.foldThreshold());
        }
    }
}
