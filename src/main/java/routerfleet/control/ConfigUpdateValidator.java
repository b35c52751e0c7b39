package routerfleet.control;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import routerfleet.config.ConfigChange;
import routerfleet.config.ConfigDocument;
import routerfleet.config.ConfigExaminer;
import routerfleet.config.ConfigFault;
import routerfleet.config.ConfigOrder;
import routerfleet.log.Loggers;

/**
 * Examines orders, and merges documents, beside the event loop: the first JSON of a process takes seconds on a small
 * machine, and a leader that sends no heartbeats meanwhile would be replaced.
 */
final class ConfigUpdateValidator {
    private static final System.Logger LOG = Loggers.get("routerfleet.control.replica");

    private static final int MOST_MERGE_WAITERS = 1_024;

    /** Who waits for a document. */
    private record MergeCallback(Consumer<byte[]> merged, Runnable failed) {
        void tell(byte[] bytes) {
            if (bytes == null) {
                failed.run();
            } else {
                merged.accept(bytes);
            }
        }
    }

    /** Who waits for which document, by the document itself and not by what it says; for the loop only. */
    private final Map<ConfigDocument, List<MergeCallback>> merges = new IdentityHashMap<>();
    private int mergeWaiters;
    private final ConfigExaminer examiner = new ConfigExaminer();
    private final Executor worker;
    private final Executor loop;

    /**
     * @param worker runs one task at a time
     * @param loop where results are told
     */
    ConfigUpdateValidator(Executor worker, Executor loop) {
        this.worker = worker;
        this.loop = loop;
    }

    /** Loads what the first order will need, so that it does not wait for it. */
    void warmUp() {
        run(examiner::warmUp);
    }

    /**
     * The whole of a document as JSON. Those that ask for the same document while it is merged share the merge. For the
     * loop.
     *
     * @param merged told, at once or later, on the loop
     * @param failed run instead where the document can't be merged, or {@value #MOST_MERGE_WAITERS} wait already
     */
    void merge(ConfigDocument document, Consumer<byte[]> merged, Runnable failed) {
        if (document.isMerged()) {
            merged.accept(document.base());
            return;
        }
        if (mergeWaiters == MOST_MERGE_WAITERS) {
            failed.run();
            return;
        }
        mergeWaiters++;
        MergeCallback waiter = new MergeCallback(merged, failed);
        List<MergeCallback> sharing = merges.get(document);
        if (sharing == null) {
            merges.put(document, new ArrayList<>(List.of(waiter)));
            run(() -> mergeBesideLoop(document));
        } else {
            sharing.add(waiter);
        }
    }

    private void mergeBesideLoop(ConfigDocument document) {
        byte[] bytes = bytesOf(document);
        loop.execute(() -> {
            List<MergeCallback> sharing = merges.remove(document);
            mergeWaiters -= sharing.size();
            sharing.forEach(waiter -> waiter.tell(bytes));
        });
    }

    /** @return null where the document can't be merged */
    private static byte[] bytesOf(ConfigDocument document) {
        try {
            return document.bytes();
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "a configuration can't be put together", e);
            return null;
        }
    }

    /** @param result told on the loop */
    void validate(ConfigOrder order, ConfigExaminer.Current current, Consumer<Either<ConfigFault, ConfigChange>> result) {
        run(() -> {
            Either<ConfigFault, ConfigChange> examined = examined(order, current);
            loop.execute(() -> result.accept(examined));
        });
    }

    private Either<ConfigFault, ConfigChange> examined(ConfigOrder order, ConfigExaminer.Current current) {
        try {
            return examiner.examine(order, current);
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "an order can't be examined", e);
            return Either.left(new ConfigFault(ConfigFault.Kind.INVALID, "", "can't be examined: " + e));
        }
    }

    private void run(Runnable task) {
        try {
            worker.execute(task);
        } catch (RejectedExecutionException e) {
            LOG.log(System.Logger.Level.DEBUG, "the process ends", e);
        }
    }
}
