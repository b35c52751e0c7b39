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

/** Documents that are merged beside the event loop. */
class ConfigUpdateValidatorTest {
    private final Deque<Runnable> worker = new ArrayDeque<>();
    private final ConfigUpdateValidator examiner = new ConfigUpdateValidator(worker::add, Runnable::run);
    private final List<String> told = new ArrayList<>();

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static ConfigDocument patched(String base) {
        ConfigOrder patch = new ConfigOrder(ConfigOrder.Kind.PATCH, 1, bytes("{\"generation\":2}"));
        return new ConfigDocument(bytes(base), List.of(patch));
    }

    private void read(ConfigDocument document) {
        examiner.merge(document, merged -> told.add(new String(merged, StandardCharsets.UTF_8)), () -> told.add("failed"));
    }

    /** Guards the worker: a crowd of readers after a change costs one merge. */
    @Test
    void readersOfOneDocumentShareAMerge() {
        ConfigDocument document = patched("{\"generation\":1}");
        read(document);
        read(document);
        read(patched("{\"generation\":1,\"x\":3}"));
        assertThat(worker, hasSize(2));
        worker.poll().run();
        assertThat(told, contains("{\"generation\":2}", "{\"generation\":2}"));
        read(document);
        assertThat("begun anew once told", worker, hasSize(2));
    }

    /** Guards memory, and readers: who would wait behind too many is told at once. */
    @Test
    void tooManyReadersAreTurnedAway() {
        ConfigDocument document = patched("{\"generation\":1}");
        for (int i = 0; i <= 1_024; i++) {
            read(document);
        }
        assertThat(told, contains("failed"));
        worker.poll().run();
        assertThat(told, hasSize(1_025));
        read(document);
        assertThat("there is room again", worker, hasSize(1));
    }

    /** Guards readers of a document that can't be read: each is told. */
    @Test
    void aDocumentThatCantBeMergedIsToldToAll() {
        ConfigDocument document = patched("no JSON");
        read(document);
        read(document);
        worker.poll().run();
        assertThat(told, contains("failed", "failed"));
        assertThat(worker.isEmpty(), is(true));
    }
}
