package routerfleet.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.junit.jupiter.api.Test;
import routerfleet.config.ConfigDocument;
import routerfleet.config.ConfigOrder;

/** Merging of documents outside the event loop. */
class ConfigUpdateValidatorTest {
    private final Deque<Runnable> worker = new ArrayDeque<>();
    private final ConfigUpdateValidator validator = new ConfigUpdateValidator(worker::add, Runnable::run);
    private final List<String> results = new ArrayList<>();

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static ConfigDocument patched(String base) {
        ConfigOrder patch = new ConfigOrder(ConfigOrder.Kind.PATCH, 1, bytes("{\"generation\":2}"));
        return new ConfigDocument(bytes(base), List.of(patch));
    }

    private void read(ConfigDocument document) {
        validator.merge(document, merged -> results.add(new String(merged, StandardCharsets.UTF_8)),
                () -> results.add("failed"));
    }

    /** Guards the worker: many readers after a change share one merge. */
    @Test
    void readersOfOneDocumentShareAMerge() {
        ConfigDocument document = patched("{\"generation\":1}");
        read(document);
        read(document);
        read(patched("{\"generation\":1,\"x\":3}"));
        assertThat(worker, hasSize(2));
        worker.poll().run();
        assertThat(results, contains("{\"generation\":2}", "{\"generation\":2}"));
        read(document);
        assertThat("a new merge once the first is complete", worker, hasSize(2));
    }

    /** Guards memory, and readers: those that would wait behind too many others fail at once. */
    @Test
    void tooManyReadersAreRejected() {
        ConfigDocument document = patched("{\"generation\":1}");
        for (int i = 0; i <= 1_024; i++) {
            read(document);
        }
        assertThat(results, contains("failed"));
        worker.poll().run();
        assertThat(results, hasSize(1_025));
        read(document);
        assertThat("readers are accepted again", worker, hasSize(1));
    }

    /** Guards readers of a document that can't be merged: each of them is notified. */
    @Test
    void aFailedMergeIsReportedToAllReaders() {
        ConfigDocument document = patched("no JSON");
        read(document);
        read(document);
        worker.poll().run();
        assertThat(results, contains("failed", "failed"));
        assertThat(worker.isEmpty(), is(true));
    }
}
