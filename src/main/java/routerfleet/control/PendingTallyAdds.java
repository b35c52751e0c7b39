package routerfleet.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import routerfleet.journal.JournalEntry;
import routerfleet.wire.Scheduler;

/**
 * Adds to tallies that wait to be acknowledged. The response is 200 once the entry is on enough disks, 503 if the add
 * certainly had no effect, and 504 if neither is known in time: the caller is to send the add again, here or at another
 * node.
 */
final class PendingTallyAdds {
    private static final long ACK_TIMEOUT_MS = 900;
    private static final int MAX_PENDING = 4_096;
    private static final int MAX_CALLERS_PER_ADD = 64;
    private static final int GATEWAY_TIMEOUT = 504;

    /** Identifies an add. */
    private record Key(String tally, String uid) { }

    /** An add, requested by one caller or by several with the same uid. */
    private static final class PendingAdd {
        private final Key key;
        private final List<Consumer<ControlHttp.Response>> callers = new ArrayList<>(1);
        private TallyWriter.QueuedAdd write;
        private boolean writeStarted;
        private JournalEntry entry;

        PendingAdd(Key key) {
            this.key = key;
        }
    }

    private final Scheduler scheduler;
    private final TallyWriter writer;
    private final Predicate<JournalEntry> isOnEnoughDisks;
    private final Map<Key, PendingAdd> all = new HashMap<>();

    PendingTallyAdds(Scheduler scheduler, TallyWriter writer, Predicate<JournalEntry> isOnEnoughDisks) {
        this.scheduler = scheduler;
        this.writer = writer;
        this.isOnEnoughDisks = isOnEnoughDisks;
    }

    /** Whether an add with this uid is pending here. */
    boolean isPending(String tally, String uid) {
        return all.containsKey(new Key(tally, uid));
    }

    /** Whether no more adds are accepted. */
    boolean isFull() {
        return all.size() >= MAX_PENDING;
    }

    /** Adds a caller to a pending add. */
    void join(String tally, String uid, Consumer<ControlHttp.Response> caller) {
        PendingAdd pending = all.get(new Key(tally, uid));
        if (pending.callers.size() < MAX_CALLERS_PER_ADD) {
            pending.callers.add(caller);
        } else {
            caller.accept(ControlHttp.Response.error(GATEWAY_TIMEOUT, "too many ask for the same add"));
        }
    }

    /** Starts a new add. */
    void add(String tally, TallyJson.Add request, Consumer<ControlHttp.Response> caller) {
        PendingAdd pending = register(tally, request.uid(), caller);
        pending.write = new TallyWriter.QueuedAdd(tally, request.uid(), request.amount(),
                () -> pending.writeStarted = true, entry -> {
            pending.entry = entry;
            completeDurable(pending);
        }, () -> complete(pending, ControlHttp.Response.refusal("the disk takes no adds now")));
        writer.add(pending.write);
    }

    /** Waits until an entry that this node already holds is on enough disks. */
    void awaitExisting(JournalEntry entry, Consumer<ControlHttp.Response> caller) {
        PendingAdd pending = register(entry.tally(), entry.uid(), caller);
        pending.writeStarted = true;
        pending.entry = entry;
        completeDurable(pending);
    }

    private PendingAdd register(String tally, String uid, Consumer<ControlHttp.Response> caller) {
        PendingAdd pending = new PendingAdd(new Key(tally, uid));
        pending.callers.add(caller);
        all.put(pending.key, pending);
        scheduler.schedule(() -> expire(pending), ACK_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        return pending;
    }

    /** Completes the adds that are on enough disks by now. */
    void completeDurable() {
        List.copyOf(all.values()).forEach(this::completeDurable);
    }

    private void completeDurable(PendingAdd pending) {
        if (pending.entry != null && isOnEnoughDisks.test(pending.entry)) {
            complete(pending, ControlHttp.Response.ok());
        }
    }

    private void expire(PendingAdd pending) {
        if (all.get(pending.key) != pending) {
            return;
        }
        if (!pending.writeStarted && writer.cancel(pending.write)) {
            complete(pending, ControlHttp.Response.refusal("the disk has not taken it in time"));
        } else {
            complete(pending, ControlHttp.Response.error(GATEWAY_TIMEOUT,
                    "not known to be on enough disks; to be sent again"));
        }
    }

    private void complete(PendingAdd pending, ControlHttp.Response response) {
        if (all.remove(pending.key, pending)) {
            pending.callers.forEach(caller -> caller.accept(response));
        }
    }
}
