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
 * Adds to tallies that wait for their acknowledgement. One is answered 200 once its entry is on enough disks, 503 where it
 * is known that nothing was done, and 504 where neither is known in time: the caller is to ask again, here or elsewhere.
 */
final class PendingTallyAdds {
    private static final long MOST_WAIT_MS = 900;
    private static final int MOST_WAITING = 4_096;
    private static final int MOST_CALLERS = 64;
    private static final int UNCLEAR = 504;

    private record Key(String tally, String uid) { }

    /** One add, of one caller or several that ask for the same. */
    private static final class Waiting {
        private final Key key;
        private final List<Consumer<ControlHttp.Response>> callers = new ArrayList<>(1);
        private TallyWriter.QueuedAdd commit;
        private boolean begun;
        private JournalEntry entry;

        Waiting(Key key) {
            this.key = key;
        }
    }

    private final Scheduler scheduler;
    private final TallyWriter commits;
    private final Predicate<JournalEntry> isOnEnoughDisks;
    private final Map<Key, Waiting> all = new HashMap<>();

    PendingTallyAdds(Scheduler scheduler, TallyWriter commits, Predicate<JournalEntry> isOnEnoughDisks) {
        this.scheduler = scheduler;
        this.commits = commits;
        this.isOnEnoughDisks = isOnEnoughDisks;
    }

    /** Whether an add with that uid waits here. */
    boolean isPending(String tally, String uid) {
        return all.containsKey(new Key(tally, uid));
    }

    boolean isFull() {
        return all.size() >= MOST_WAITING;
    }

    /** Takes another caller of an add that waits. */
    void join(String tally, String uid, Consumer<ControlHttp.Response> caller) {
        Waiting waiting = all.get(new Key(tally, uid));
        if (waiting.callers.size() < MOST_CALLERS) {
            waiting.callers.add(caller);
        } else {
            caller.accept(ControlHttp.Response.error(UNCLEAR, "too many ask for the same add"));
        }
    }

    /** Takes a new add. */
    void add(String tally, TallyJson.Add told, Consumer<ControlHttp.Response> caller) {
        Waiting waiting = begin(tally, told.uid(), caller);
        waiting.commit = new TallyWriter.QueuedAdd(tally, told.uid(), told.amount(), () -> waiting.begun = true, entry -> {
            waiting.entry = entry;
            completeDurable(waiting);
        }, () -> end(waiting, ControlHttp.Response.refusal("the disk takes no adds now")));
        commits.add(waiting.commit);
    }

    /** Waits until an entry that is held here is on enough disks. */
    void awaitExisting(JournalEntry entry, Consumer<ControlHttp.Response> caller) {
        Waiting waiting = begin(entry.tally(), entry.uid(), caller);
        waiting.begun = true;
        waiting.entry = entry;
        completeDurable(waiting);
    }

    private Waiting begin(String tally, String uid, Consumer<ControlHttp.Response> caller) {
        Waiting waiting = new Waiting(new Key(tally, uid));
        waiting.callers.add(caller);
        all.put(waiting.key, waiting);
        scheduler.schedule(() -> late(waiting), MOST_WAIT_MS, TimeUnit.MILLISECONDS);
        return waiting;
    }

    /** Looks again which adds are on enough disks. */
    void completeDurable() {
        List.copyOf(all.values()).forEach(this::completeDurable);
    }

    private void completeDurable(Waiting waiting) {
        if (waiting.entry != null && isOnEnoughDisks.test(waiting.entry)) {
            end(waiting, ControlHttp.Response.ok());
        }
    }

    private void late(Waiting waiting) {
        if (all.get(waiting.key) != waiting) {
            return;
        }
        if (!waiting.begun && commits.cancel(waiting.commit)) {
            end(waiting, ControlHttp.Response.refusal("the disk has not taken it in time"));
        } else {
            end(waiting, ControlHttp.Response.error(UNCLEAR, "not known to be on enough disks; to be sent again"));
        }
    }

    private void end(Waiting waiting, ControlHttp.Response answer) {
        if (all.remove(waiting.key, waiting)) {
            waiting.callers.forEach(caller -> caller.accept(answer));
        }
    }
}
