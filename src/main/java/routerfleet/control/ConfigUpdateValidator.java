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
 * Validates configuration updates and merges configuration documents outside the event loop: the first use of the mapping
 * and validation libraries takes seconds on a small machine, and a leader that sends no heartbeats for that long would be
 * replaced.
 */
final class ConfigUpdateValidator {
    private static final System.Logger LOG = Loggers.get("routerfleet.control.replica");

    private static final int MAX_MERGE_CALLBACKS = 1_024;

    /** A caller that waits for a merged document. */
    private record MergeCallback(Consumer<byte[]> onMerged, Runnable onFailed) {
        void complete(byte[] bytes) {
            if (bytes == null) {
                onFailed.run();
            } else {
                onMerged.accept(bytes);
            }
        }
    }

    /** The callers that wait for each document, by its identity and not its content; used on the event loop only. */
    private final Map<ConfigDocument, List<MergeCallback>> callbacksByDocument = new IdentityHashMap<>();
    private int callbackCount;
    private final ConfigExaminer examiner = new ConfigExaminer();
    private final Executor worker;
    private final Executor loop;

    /**
     * @param worker runs one task at a time
     * @param loop runs the callbacks with the results
     */
    ConfigUpdateValidator(Executor worker, Executor loop) {
        this.worker = worker;
        this.loop = loop;
    }

    /** The steps that load in advance what unusual updates need, each to be run at a time of the caller's choice. */
    List<Runnable> warmUpSteps() {
        return examiner.warmUpSteps().stream().<Runnable>map(step -> () -> run(step)).toList();
    }

    /**
     * Merges a document into one JSON text. Callers that request the same document while it is being merged share one
     * merge. To be called on the event loop.
     *
     * @param onMerged receives the text, at once or later, on the event loop
     * @param onFailed run instead if the document can't be merged, or if {@value #MAX_MERGE_CALLBACKS} callers are
     * waiting
     */
    void merge(ConfigDocument document, Consumer<byte[]> onMerged, Runnable onFailed) {
        if (document.isMerged()) {
            onMerged.accept(document.base());
            return;
        }
        if (callbackCount == MAX_MERGE_CALLBACKS) {
            onFailed.run();
            return;
        }
        callbackCount++;
        MergeCallback callback = new MergeCallback(onMerged, onFailed);
        List<MergeCallback> callbacks = callbacksByDocument.get(document);
        if (callbacks == null) {
            callbacksByDocument.put(document, new ArrayList<>(List.of(callback)));
            run(() -> mergeOnWorker(document));
        } else {
            callbacks.add(callback);
        }
    }

    private void mergeOnWorker(ConfigDocument document) {
        byte[] bytes = mergedBytes(document);
        loop.execute(() -> {
            List<MergeCallback> callbacks = callbacksByDocument.remove(document);
            callbackCount -= callbacks.size();
            callbacks.forEach(callback -> callback.complete(bytes));
        });
    }

    /** @return null if the document can't be merged */
    private static byte[] mergedBytes(ConfigDocument document) {
        try {
            return document.bytes();
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "a configuration document can't be merged", e);
            return null;
        }
    }

    /**
     * Validates an update against the current configuration.
     *
     * @param onResult receives the result on the event loop
     */
    void validate(ConfigOrder update, ConfigExaminer.Current current,
            Consumer<Either<ConfigFault, ConfigChange>> onResult) {
        run(() -> {
            Either<ConfigFault, ConfigChange> validated = validateSafely(update, current);
            loop.execute(() -> onResult.accept(validated));
        });
    }

    private Either<ConfigFault, ConfigChange> validateSafely(ConfigOrder update, ConfigExaminer.Current current) {
        try {
            return examiner.examine(update, current);
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "a configuration update can't be validated", e);
            return Either.left(new ConfigFault(ConfigFault.Kind.INVALID, "", "can't be examined: " + e));
        }
    }

    private void run(Runnable task) {
        try {
            worker.execute(task);
        } catch (RejectedExecutionException e) {
            LOG.log(System.Logger.Level.DEBUG, "task rejected, since the process ends", e);
        }
    }
}
