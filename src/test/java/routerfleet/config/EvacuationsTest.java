package routerfleet.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import routerfleet.demo.Configurations;
import routerfleet.wire.PeerCodec;

/** Which orders change the evacuated zones, and that snapshots keep them. */
class EvacuationsTest {
    private final ConfigStore store = new ConfigStore();

    private boolean start(long base, String zone) {
        return store.apply(new EvacuationOrder(base, zone, true));
    }

    private boolean stop(long base, String zone) {
        return store.apply(new EvacuationOrder(base, zone, false));
    }

    @Test
    void eachChangeRaisesTheRevisionAndKeepsTheZonesInOrder() {
        assertThat(start(0, "b"), is(true));
        assertThat(start(1, "a"), is(true));
        assertThat(store.evacuations(), is(new Evacuations(2, List.of("a", "b"))));
        assertThat(stop(2, "b"), is(true));
        assertThat(store.evacuations(), is(new Evacuations(3, List.of("a"))));
    }

    /** Guards against an order that comes late: it builds on a state that is no more, and must not undo a later one. */
    @Test
    void anOrderThatWasHeldUpUndoesNoLaterOne() {
        assertThat(start(0, "a"), is(true));
        assertThat(stop(1, "a"), is(true));
        assertThat("the same again", start(0, "a"), is(false));
        assertThat(start(2, "a"), is(true));
        assertThat("an earlier end", stop(1, "a"), is(false));
        assertThat(store.evacuations(), is(new Evacuations(3, List.of("a"))));
    }

    /** Guards against an order that is still under way as the opposite one, with nothing to change, is acknowledged. */
    @Test
    void anOrderThatFindsAllAsWantedFencesOffEarlierOnes() {
        assertThat(start(0, "a"), is(true));
        assertThat("repeated while an end is under way", start(1, "a"), is(true));
        assertThat("the end that was under way", stop(1, "a"), is(false));
        assertThat(store.evacuations(), is(new Evacuations(2, List.of("a"))));
    }

    @Test
    void configurationAndItsNumberStayAsTheyWere() {
        store.apply(new ConfigOrder(ConfigOrder.Kind.REPLACE, 0,
                Configurations.whole(2).getBytes(StandardCharsets.UTF_8)));
        byte[] document = store.document();
        assertThat(start(0, "a"), is(true));
        assertThat(store.generation(), is(2L));
        assertThat(store.document(), is(document));
    }

    private ConfigStore restored() throws PeerCodec.MalformedMessageException {
        PeerCodec codec = new PeerCodec();
        ConfigStore other = new ConfigStore();
        other.apply(new EvacuationOrder(0, "z", true));
        other.restoreDecoded(codec.decodeStored(codec.encode(store.snapshot()), Object.class));
        return other;
    }

    @Test
    void aSnapshotKeepsThem() throws Exception {
        start(0, "a");
        start(1, "b");
        assertThat(restored().evacuations(), is(store.evacuations()));
        stop(2, "a");
        stop(3, "b");
        assertThat("the revision, too", restored().evacuations(), is(new Evacuations(4, List.of())));
    }

    /** Guards earlier builds' snapshots, which know of no evacuations: nothing of the state before stays. */
    @Test
    void aSnapshotWithoutThemHasNone() throws Exception {
        assertThat(store.snapshot(), is(instanceOf(ConfigStore.State.class)));
        assertThat(restored().evacuations(), is(Evacuations.NONE));
    }
}
