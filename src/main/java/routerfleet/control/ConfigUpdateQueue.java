package routerfleet.control;

import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import routerfleet.config.ConfigChange;
import routerfleet.config.ConfigDocument;
import routerfleet.config.ConfigFault;
import routerfleet.config.ConfigOrder;
import routerfleet.config.ConfigStore;
import routerfleet.log.Loggers;
import routerfleet.log.StepTimes;

/**
 * The configuration updates that wait at a leader, handled one at a time: after an update has arrived, the leader has its
 * leadership confirmed, validates the update against the state of that moment, and only then rejects or proposes it.
 * Since validation takes time, leadership is confirmed once more before an update is reported as invalid. So a replaced
 * leader rejects no update that another leader has acknowledged.
 *
 * <p>Limit: {@value #MAX_WAITING} updates.
 */
final class ConfigUpdateQueue {
    private static final System.Logger LOG = Loggers.get("routerfleet.control.replica");
    private static final int MAX_WAITING = 64;
    /** The steps of an update that took longer are logged. */
    private static final long SLOW_UPDATE_MS = 1_000;

    /** The outcome of an update: acknowledged, rejected for one of three reasons, or not known. */
    enum Outcome { ACCEPTED, CONFLICT, INVALID, TOO_LARGE, UNKNOWN }

    /** The result of an update. @param message why it was rejected, in one line; the new generation if it was accepted */
    record Result(Outcome outcome, String message) {
        static Result unknown(String reason) {
            return new Result(Outcome.UNKNOWN, reason);
        }
    }

    /** Access to the leading replica. */
    interface Leader {
        /** Has a majority confirm that this replica still leads, and runs one of the tasks accordingly. */
        void confirmLeadership(Runnable confirmed, Runnable lost);

        /** @return the log index of the proposed change; 0 if it can't be proposed now */
        long propose(ConfigChange change);

        /** Runs a task after the current one. */
        void defer(Runnable task);
    }

    /** An update that is waiting or in progress. */
    private record Pending(ConfigOrder update, StepTimes steps, Consumer<Result> onResult) { }

    private final Leader leader;
    private final ConfigStore store;
    private final ConfigUpdateValidator validator;
    private final Deque<Pending> waiting = new ArrayDeque<>();
    private Pending current;
    private long proposedIndex;
    private boolean isStored;

    /** @param store the state that results from the applied updates */
    ConfigUpdateQueue(Leader leader, ConfigStore store, ConfigUpdateValidator validator) {
        this.leader = leader;
        this.store = store;
        this.validator = validator;
    }

    /** See {@link ConfigUpdateValidator#warmUpSteps}. */
    List<Runnable> warmUpSteps() {
        return validator.warmUpSteps();
    }

    /**
     * Merges the current configuration into one JSON text.
     *
     * @param onMerged receives the text, at once or later, as of this call
     * @param onFailed run instead if it can't be merged, or if too many callers are waiting
     */
    void mergedDocument(Consumer<byte[]> onMerged, Runnable onFailed) {
        ConfigDocument current = store.current().document();
        validator.merge(current, bytes -> {
            store.merged(current, bytes);
            onMerged.accept(bytes);
        }, onFailed);
    }

    /** Whether no more updates are accepted. */
    boolean isFull() {
        return waiting.size() >= MAX_WAITING;
    }

    /** Adds an update; its result follows later. */
    void add(ConfigOrder update, Consumer<Result> onResult) {
        waiting.add(new Pending(update, StepTimes.fromNow(), onResult));
        startNext();
    }

    private void startNext() {
        if (current != null || waiting.isEmpty()) {
            return;
        }
        current = waiting.poll();
        Pending pending = current;
        afterConfirmation(pending, () -> evaluate(pending));
    }

    private void afterConfirmation(Pending pending, Runnable task) {
        leader.confirmLeadership(task, () -> finish(pending, Result.unknown("leadership lost")));
    }

    private void evaluate(Pending pending) {
        if (pending != current) {
            return;
        }
        pending.steps().ended("leadership confirmed");
        Long knownGeneration = store.outcome(pending.update());
        if (knownGeneration != null) {
            finish(pending, toResult(Either.right(knownGeneration)));
            return;
        }
        ConfigFault conflict = store.conflict(pending.update());
        if (conflict != null) {
            finish(pending, toResult(Either.left(conflict)));
            return;
        }
        long generation = store.generation();
        validator.validate(pending.update(), store.current(), result -> validated(pending, generation, result));
    }

    private void validated(Pending pending, long generation, Either<ConfigFault, ConfigChange> result) {
        if (pending != current) {
            return;
        }
        pending.steps().ended("validated");
        if (store.generation() != generation) {
            afterConfirmation(pending, () -> evaluate(pending));
        } else if (result.isLeft()) {
            afterConfirmation(pending, () -> refuse(pending, generation, result.getLeft()));
        } else {
            propose(pending, result.get());
        }
    }

    private void refuse(Pending pending, long generation, ConfigFault fault) {
        if (pending == current && store.generation() != generation) {
            evaluate(pending);
        } else {
            finish(pending, toResult(Either.left(fault)));
        }
    }

    private void propose(Pending pending, ConfigChange change) {
        isStored = false;
        proposedIndex = leader.propose(change);
        if (proposedIndex == 0) {
            finish(pending, Result.unknown("can't be proposed now"));
        }
    }

    /** Notes that this replica's disk holds the proposed update. */
    void stored() {
        if (current != null && proposedIndex != 0 && !isStored) {
            isStored = true;
            current.steps().ended("on disk");
        }
    }

    /** Reports the result of a committed update. @param index its log index */
    void applied(long index, Either<ConfigFault, Long> result) {
        if (current != null && index == proposedIndex) {
            Pending pending = current;
            pending.steps().ended("committed");
            leader.defer(() -> finish(pending, toResult(result)));
        }
    }

    private void finish(Pending pending, Result result) {
        if (pending != current) {
            return; // completed when leadership was lost
        }
        current = null;
        proposedIndex = 0;
        leader.defer(this::startNext);
        pending.onResult().accept(result);
        logIfSlow(pending, result);
    }

    private static void logIfSlow(Pending pending, Result result) {
        pending.steps().ended("answered");
        if (pending.steps().wallMs() > SLOW_UPDATE_MS) {
            LOG.log(System.Logger.Level.INFO, "slow update, " + result.outcome() + "; ms since it was read, and of"
                    + " processor time: " + pending.steps());
        }
    }

    /** Completes all updates as unknown: what was proposed before leadership was lost may or may not be committed. */
    void leadershipLost() {
        List<Pending> abandoned = new ArrayList<>(waiting);
        waiting.clear();
        if (current != null) {
            abandoned.add(0, current);
            current = null;
            proposedIndex = 0;
        }
        Result unknown = Result.unknown("leadership lost");
        abandoned.forEach(pending -> {
            pending.onResult().accept(unknown);
            logIfSlow(pending, unknown);
        });
    }

    private static Result toResult(Either<ConfigFault, Long> result) {
        return result.fold(
                fault -> new Result(outcome(fault.kind()), fault.toString()),
                generation -> new Result(Outcome.ACCEPTED, Long.toString(generation)));
    }

    private static Outcome outcome(ConfigFault.Kind kind) {
        return switch (kind) {
            case CONFLICT -> Outcome.CONFLICT;
            case INVALID -> Outcome.INVALID;
            case TOO_LARGE -> Outcome.TOO_LARGE;
        };
    }
}
