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
 * Tallies: counters that every control node adds to and reads, whichever others it reaches. Each node keeps a journal of
 * the adds that it has taken, sends new entries to all others, and exchanges by vectors what a connection that was lost
 * has kept from them; entries of third nodes are passed on too. An add is acknowledged once its entry is on enough disks
 * ({@link TallyAckPolicy}). Design and argument: docs/tallies.md. For the node's thread but for {@link #load}.
 */
final class TallyService {
    private static final long TICK_MS = 250;
    private static final int MOST_NAME_LENGTH = 128;
    private static final int MOST_PIECE = 512;
    /** How often another node is asked for what is missing before the entries that it sends. */
    private static final long ASK_AGAIN_MS = 20;
    /** A node without a disk's content that reaches no other for so long tells what it has. */
    private static final long ALONE_MS = 2_000;
    /** After so long without an answer of a node that holds everything, there is none to wait for. */
    private static final long FILLING_MS = 5_000;
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int UNPROCESSABLE = 422;

    private final String ip;
    private final Scheduler scheduler;
    private final ControlPeers peers;
    private final TallyStorage storage;
    private final TallyLimits bounds;
    private final Journal journal = new Journal();
    private final TallyReplicaProgress copies = new TallyReplicaProgress();
    private final TallyAckPolicy reach;
    private Origin self;
    private TallyWriter commits;
    private PendingTallyAdds adds;
    /** Whether the disk held a journal, or there was none anywhere, or another filled node has given what it holds. */
    private boolean filled;
    private final boolean firstStart;
    private boolean ready;
    private boolean evenTick;
    private long askedMs;
    /** How far the journal went at the last tick: what a node lacks of that is not just on its way. */
    private JournalVector settled = JournalVector.EMPTY;
    private final TreeMap<String, JournalVector> told = new TreeMap<>();

    TallyService(LocalSettings settings, Scheduler scheduler, ControlPeers peers, TallyStorage storage,
            TallyLimits bounds, TallyAckPolicy reach) {
        this.bounds = bounds;
        firstStart = settings.bootstrap();
        this.ip = settings.ip();
        this.scheduler = scheduler;
        this.peers = peers;
        this.storage = storage;
        this.reach = reach;
    }

    /**
     * Reads the disk.
     *
     * @param life names an empty disk's life
     * @throws IOException if it can't be read
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

    /** Begins, with what was loaded. */
    void start() {
        reach.start(scheduler.nanoTime());
        askedMs = scheduler.millis() - ASK_AGAIN_MS;
        commits = new TallyWriter(scheduler, storage, journal, bounds, self,
                entries -> peers.sendToAll(new PeerMessage.TallyEntries(entries, false, false, filled)));
        adds = new PendingTallyAdds(scheduler, commits,
                entry -> reach.isDurable(copies.holdersOf(entry.origin(), entry.number())));
        commits.start(() -> {
            ready = true;
            peers.sendToAll(ask());
        });
        scheduler.every(TICK_MS, this::tick);
        scheduler.schedule(() -> filled = true, FILLING_MS, TimeUnit.MILLISECONDS);
    }

    private PeerMessage ask() {
        return new PeerMessage.TallyVector(self, journal.vector(), true);
    }

    // ---- the HTTP interface

    /** Answers a request for {@code NAME/patch} or {@code NAME/get}. */
    void handle(String[] parts, ControlHttp.Request request, Consumer<ControlHttp.Response> answer) {
        boolean adds = parts.length == 2 && parts[1].equals("patch") && request.method().equals("POST");
        boolean reads = parts.length == 2 && parts[1].equals("get") && request.method().equals("GET");
        if (!adds && !reads) {
            answer.accept(ControlHttp.Response.error(NOT_FOUND, "no such resource: " + request.path()));
        } else if (parts[0].isEmpty() || parts[0].length() > MOST_NAME_LENGTH) {
            answer.accept(ControlHttp.Response.error(BAD_REQUEST,
                    "the name of a tally is to have 1 to " + MOST_NAME_LENGTH + " characters"));
        } else if (adds) {
            add(parts[0], request.body(), answer);
        } else {
            read(parts[0], answer);
        }
    }

    private void read(String tally, Consumer<ControlHttp.Response> answer) {
        if (!filled && !reach.isIsolatedFor(ALONE_MS, scheduler.nanoTime())) {
            answer.accept(ControlHttp.Response.refusal("an empty disk: no other control node has told its tallies yet"));
            return;
        }
        byte[] body = ("{\"total\":" + journal.total(tally) + "}").getBytes(StandardCharsets.US_ASCII);
        answer.accept(new ControlHttp.Response(OK, body));
    }

    private void add(String tally, byte[] body, Consumer<ControlHttp.Response> answer) {
        Either<String, TallyJson.Add> told = TallyJson.read(body);
        if (told.isLeft()) {
            answer.accept(ControlHttp.Response.error(BAD_REQUEST, told.getLeft()));
            return;
        }
        String uid = told.get().uid();
        JournalEntry held = journal.find(tally, uid);
        if (adds.isPending(tally, uid)) {
            adds.join(tally, uid, answer);
        } else if (adds.isFull()) {
            answer.accept(ControlHttp.Response.refusal("too many adds wait"));
        } else if (held != null) {
            adds.awaitExisting(held, answer);
        } else if (!journal.knows(tally) && journal.tallies() >= bounds.maxTallies()) {
            answer.accept(ControlHttp.Response.error(UNPROCESSABLE, "there are " + bounds.maxTallies() + " tallies already"));
        } else if (journal.size() >= bounds.maxEntriesForAdds() || journal.last(self) == 0 && journal.origins() >= bounds.maxOrigins()) {
            answer.accept(ControlHttp.Response.refusal("too many adds are not known to all control nodes yet"));
        } else if (!ready || commits.isStalled()) {
            answer.accept(ControlHttp.Response.refusal("the disk takes no adds now"));
        } else if (!reach.canAcknowledge()) {
            answer.accept(ControlHttp.Response.refusal("too few control nodes are connected"));
        } else {
            adds.add(tally, told.get(), answer);
        }
    }

    // ---- other control nodes

    /** A connection that this node opened is up, and introduced. */
    void connected(PeerLink link) {
        if (ready) {
            link.send(ask());
        }
        connectionsChanged();
    }

    /** Which nodes are connected may have changed. */
    void connectionsChanged() {
        reach.update(scheduler.nanoTime());
        adds.completeDurable();
    }

    /** Another node tells what it holds: it gets what it lacks. */
    void received(PeerLink link, PeerMessage.TallyVector vector) {
        copies.update(vector.holder(), vector.held());
        adds.completeDurable();
        if (!ready) {
            return;
        }
        if (journal.needsBases(vector.held())) {
            link.send(new PeerMessage.TallyBases(journal.bases()));
            return;
        }
        boolean lacks = !journal.behind(vector.held(), settled, self, 1).isEmpty();
        if (lacks || vector.asks()) {
            List<JournalEntry> lacking = journal.behind(vector.held(), journal.vector(), self, MOST_PIECE);
            link.send(new PeerMessage.TallyEntries(lacking, lacking.size() >= MOST_PIECE, vector.asks(), filled));
        }
    }

    /** Another node's entries; it is told once they are on disk here. */
    void received(PeerLink link, PeerMessage.TallyEntries told) {
        commits.merge(told.entries(), () -> {
            Set<Origin> origins = new TreeSet<>();
            told.entries().forEach(entry -> origins.add(entry.origin()));
            origins.forEach(origin -> link.send(new PeerMessage.TallyHeld(self, origin, journal.last(origin))));
            if (told.more() || isBehind(told.entries()) && mayAskNow()) {
                link.send(ask());
            } else if (told.answers() && told.filled()) {
                filled = true;
            }
        });
    }

    /** Whether some before these are missing: with each new one that comes, all would wait for the next tick. */
    private boolean isBehind(List<JournalEntry> entries) {
        return entries.stream().anyMatch(entry -> entry.number() > journal.last(entry.origin()));
    }

    private boolean mayAskNow() {
        long now = scheduler.millis();
        if (now - askedMs < ASK_AGAIN_MS) {
            return false;
        }
        askedMs = now;
        return true;
    }

    /** Another node has entries on its disk. */
    void received(PeerMessage.TallyHeld held) {
        copies.update(held.holder(), held.origin(), held.upTo());
        adds.completeDurable();
    }

    /** Another node's bases, where this node lacks what was folded into them. */
    void received(PeerLink link, PeerMessage.TallyBases told) {
        commits.mergeBases(told.bases(), () -> link.send(ask()));
    }

    private void tick() {
        connectionsChanged();
        evenTick = !evenTick;
        if (!ready || !evenTick) {
            return;
        }
        JournalVector now = journal.vector();
        Set<String> known = new TreeSet<>(peers.knownAddresses());
        copies.retainNodes(known);
        told.keySet().retainAll(known);
        for (String peer : known) {
            boolean differs = !filled || !now.equals(copies.vectorOf(peer)) || !now.equals(told.get(peer));
            if (differs && peers.send(peer, new PeerMessage.TallyVector(self, now, !filled))) {
                told.put(peer, now);
            }
        }
        settled = now;
        foldOldest(known, now);
    }

    /** What all hold is folded, so that the journal keeps a bounded number of entries. */
    private void foldOldest(Set<String> known, JournalVector now) {
        if (journal.size() > bounds.foldThreshold()) {
            known.remove(ip);
            journal.fold(copies.heldByAll(known, now), bounds.foldThreshold());
        }
    }
}
