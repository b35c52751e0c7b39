package routerfleet.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.nullValue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import routerfleet.demo.Configurations;

/** Which orders change the configuration, and what is told of those that don't. */
class ConfigStoreTest {
    private final ConfigStore store = new ConfigStore();

    private static ConfigOrder order(ConfigOrder.Kind kind, long base, String body) {
        return new ConfigOrder(kind, base, body.getBytes(StandardCharsets.UTF_8));
    }

    private String faultOf(ConfigOrder.Kind kind, long base, String body) {
        return store.apply(order(kind, base, body)).fold(ConfigFault::toString, taken -> "taken");
    }

    /** Guards the replicas: an item that is null must be refused as any other, not fail where it is looked at. */
    @Test
    void nullItemsAreNamedAndRefused() {
        assertThat(faultOf(ConfigOrder.Kind.REPLACE, 0, "{\"generation\":1,\"routes\":[null]}"),
                containsString("routes[0]"));
        assertThat(faultOf(ConfigOrder.Kind.REPLACE, 0, "{\"generation\":1,\"backends\":[null]}"),
                containsString("backends[0]"));
        assertThat(faultOf(ConfigOrder.Kind.REPLACE, 0, "{\"generation\":1,\"tenants\":[null]}"),
                containsString("tenants[0]"));
        assertThat(faultOf(ConfigOrder.Kind.REPLACE, 0,
                "{\"generation\":1,\"tenants\":[{\"name\":\"a\",\"api_keys\":[null]}]}"),
                containsString("tenants[0].apiKeys[0]"));
        assertThat(faultOf(ConfigOrder.Kind.REPLACE, 0, Configurations.whole(2).replace("\"backend\":\"web\"",
                "\"traffic_split\":[null]")), containsString("trafficSplit[0]"));
        assertThat(store.generation(), is(0L));
    }

    @Test
    void whatIsNoConfigurationIsRefused() {
        String[] bodies = {"", "[]", "null", "7", "{}", "{\"generation\":1.5}", "{\"generation\":99999999999999999999}",
            "{\"generation\":1,\"routes\":7}", "{\"generation\":1,\"routes\":{}}", "{\"generation\":1}}",
            "{\"generation\":1,\"generation\":2}", "{\"generation\":1,\"limits\":{\"max_body_bytes\":-1}}"};
        for (String body : bodies) {
            assertThat(body, store.examine(order(ConfigOrder.Kind.REPLACE, 0, body)).isLeft(), is(true));
        }
        assertThat(ConfigStore.check(Configurations.whole(2).getBytes(StandardCharsets.UTF_8)), nullValue());
    }

    /** A snapshot of a build before typed changes is read, and what follows it is taken. */
    @Test
    void anEarlierBuildsSnapshotGoesOn() {
        store.restore(new ConfigStore.EarlierState(Configurations.whole(2).getBytes(StandardCharsets.UTF_8), 2,
                List.of("digest"), List.of(2L)));
        assertThat(store.generation(), is(2L));
        assertThat(store.configuration().routes().size(), is(3));
        String deletion = "{\"generation\":3,\"delete\":{\"routes\":[\"pages\"]}}";
        assertThat(faultOf(ConfigOrder.Kind.PATCH, 2, deletion), is("taken"));
        assertThat(store.configuration().routes().size(), is(2));
        assertThat(ConfigJson.read(store.document()).get(), is(store.configuration()));
    }

    /** Guards data nodes: a whole configuration that changes one route, in whatever order, is a small change for them. */
    @Test
    void aWholeConfigurationIsADifferenceAsWell() {
        store.apply(order(ConfigOrder.Kind.REPLACE, 0, Configurations.whole(1)));
        String last = "{\"name\":\"llm\",\"health_check\":\"/healthz\",\"max_connections\":90}";
        String web = "{\"name\":\"web\",\"health_check\":\"/healthz\",\"max_connections\":90}";
        String reordered = Configurations.whole(2).replace(last, "@").replace(web, last).replace("@", web)
                .replaceFirst("\"timeout_ms\":4000", "\"timeout_ms\":3000");
        assertThat(faultOf(ConfigOrder.Kind.REPLACE, 1, reordered), is("taken"));
        assertThat(store.lastDelta().whole(), is(false));
        assertThat(store.lastDelta().items().routes().size(), is(1));
        assertThat(store.lastDelta().items().backends().size(), is(0));
        assertThat(ConfigJson.read(store.document()).get().backends().get(0).name(), is("llm"));
    }

    /** Many patches are merged into the document now and then, and read back whole at any time. */
    @Test
    void patchesAreMergedIntoTheDocument() {
        store.apply(order(ConfigOrder.Kind.REPLACE, 0, Configurations.whole(1)));
        for (int i = 1; i <= ConfigDocument.MOST_LATER + 20; i++) {
            assertThat(faultOf(ConfigOrder.Kind.PATCH, i, "{\"generation\":" + (i + 1) + ",\"upsert\":{\"backends\":"
                    + "[{\"name\":\"b" + i + "\",\"own\":" + i + "}]}}"), is("taken"));
            assertThat(store.state().document().later().size(), is(lessThanOrEqualTo(ConfigDocument.MOST_LATER)));
        }
        ConfigDocument unmerged = store.current().document();
        assertThat(unmerged.isMerged(), is(false));
        store.merged(ConfigDocument.EMPTY, ConfigDocument.EMPTY.bytes());
        assertThat("of another document", store.current().document(), is(unmerged));
        store.merged(unmerged, unmerged.bytes());
        assertThat(store.current().document().isMerged(), is(true));
        assertThat(ConfigJson.read(store.document()).get(), is(store.configuration()));
        assertThat(new String(store.document(), StandardCharsets.UTF_8), containsString("\"own\":7"));
    }

    @Test
    void patchesThatNameNothingUsefulChangeNothing() {
        store.apply(order(ConfigOrder.Kind.REPLACE, 0, Configurations.whole(2)));
        String[] bodies = {"{\"generation\":3,\"upsert\":{\"routes\":7}}",
            "{\"generation\":3,\"delete\":{\"routes\":\"x\"}}",
            "{\"generation\":3,\"upsert\":{\"routes\":[null]}}", "{\"generation\":3,\"upsert\":{\"routes\":[7]}}",
            "{\"generation\":3,\"upsert\":[]}", "{\"generation\":3,\"delete\":7}"};
        for (String body : bodies) {
            String fault = faultOf(ConfigOrder.Kind.PATCH, 2, body);
            assertThat(body + " " + fault, store.generation(), is(2L));
        }
    }
}
