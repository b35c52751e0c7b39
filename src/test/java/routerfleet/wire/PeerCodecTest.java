package routerfleet.wire;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import routerfleet.config.ConfigChange;
import routerfleet.config.ConfigDelta;
import routerfleet.config.ConfigJson;
import routerfleet.config.ConfigOrder;
import routerfleet.config.ConfigStore;
import routerfleet.config.EvacuationOrder;
import routerfleet.config.Evacuations;
import routerfleet.config.ShardState;
import routerfleet.config.FleetConfiguration;
import routerfleet.demo.Configurations;
import routerfleet.journal.JournalEntry;
import routerfleet.journal.JournalVector;
import routerfleet.journal.Origin;
import routerfleet.journal.OriginState;
import rowanplank.agreement.Entry;
import rowanplank.agreement.VoterConfig;
import rowanplank.agreement.Message;

/** Messages and stored records as bytes and back. */
class PeerCodecTest {
    private static final ConfigOrder ORDER = new ConfigOrder(ConfigOrder.Kind.PATCH, 3,
            "{\"generation\":6,\"delete\":{\"routes\":[\"drafts\"]}}".getBytes(StandardCharsets.UTF_8));
    private static final SessionRecord SERVER = new SessionRecord("i-1", "llm", "10.0.0.1:80", "a", 12,
            SessionRecord.Phase.DRAINING, 9, 1_500);

    private static final Origin DISK = new Origin("10.0.0.1", -7);

    /** At least one message of each kind, with values at their ends. */
    private static final List<PeerMessage> MESSAGES = List.of(
            new PeerMessage.Ping(-1), new PeerMessage.Pong(Long.MAX_VALUE),
            new PeerMessage.ControlHello("core-1", "10.0.0.1", "hall", "10.0.0.1/7", List.of("10.0.0.1", "10.0.0.2")),
            replication(new Message.VoteRequest(7, true, false, 4, 3)),
            replication(new Message.VoteResponse(7, false, true)),
            replication(new Message.AppendRequest(7, 4, 3, 2, 99, List.of(Entry.noOp(5, 7),
                    Entry.configChange(6, 7, new VoterConfig(List.of("a", "b"), List.of("c"))),
                    Entry.command(7, 7, new byte[] {1, -2, 3})))),
            replication(new Message.AppendResponse(7, 99, true, 6)),
            replication(new Message.SnapshotChunk(7, 99, 5, 3, List.of("a"), 500, 100, new byte[50])),
            replication(new Message.SnapshotChunkResponse(7, 99, 5, 150)), replication(new Message.TimeoutNow(8)),
            new PeerMessage.OrderRequest(1L << 60, ORDER), new PeerMessage.OrderReply(2, 412, "version 6 is current"),
            new PeerMessage.ReadIndexRequest(5), new PeerMessage.ReadIndexReply(5, -1),
            new PeerMessage.Sessions(3, List.of(SERVER)), new PeerMessage.SessionsAck(3),
            new PeerMessage.SessionsDigest(Long.MIN_VALUE), new PeerMessage.DataHello("edge-1", "10.0.1.1", "", -5, 77),
            new PeerMessage.Poll(4, 6, true),
            new PeerMessage.PollReply(4, 6, -1, false, 75, List.of(), List.of("10.0.0.1"),
                    new Evacuations(Long.MAX_VALUE, List.of("a", "b"))),
            new PeerMessage.EvacuationNotice(Evacuations.NONE),
            new PeerMessage.EvacuationRequest(-3, new EvacuationOrder(4, "a", true)),
            new PeerMessage.EvacuationReply(-3, PeerMessage.EvacuationOutcome.UNCLEAR),
            new PeerMessage.QuotaAsk(8, "one", 17_020.5, true),
            new PeerMessage.QuotaAnswer(8, PeerMessage.QuotaVerdict.NOT_HERE, 1_000, 0.25, 1e9),
            new PeerMessage.SessionChanges(-9, 4, true,
                    List.of(new SessionView(SERVER, true), new SessionView(SERVER, false))),
            new PeerMessage.EarlierSessions(new byte[] {5, 6}),
            new PeerMessage.ConfigNotice(6), new PeerMessage.ConfigRequest(0),
            new PeerMessage.CommittedConfig(6, new byte[] {9}), new PeerMessage.CommittedDelta(5, 6, new byte[0]),
            new PeerMessage.Leaving("10.0.0.1/7"),
            new PeerMessage.TallyVector(DISK, new JournalVector(new TreeMap<>(Map.of(DISK, 1L << 40))), true),
            new PeerMessage.TallyEntries(List.of(new JournalEntry(DISK, 1, "t", "u", 0),
                    new JournalEntry(DISK, 2, "t", "v", 1L << 40)), false, true, true),
            new PeerMessage.TallyHeld(DISK, new Origin("10.0.0.2", 0), 7),
            new PeerMessage.TallyBases(List.of(new OriginState(DISK, 5, Map.of("t", 9L), List.of(6L, 8L), List.of()))));

    private final PeerCodec codec = new PeerCodec();

    private static PeerMessage replication(Message message) {
        return new PeerMessage.Replication("10.0.0.1/0", "10.0.0.2/0", message);
    }

    /** Arrays within records count by their content. */
    private static String text(Object value) throws ReflectiveOperationException {
        if (value instanceof byte[] bytes) {
            return Arrays.toString(bytes);
        }
        if (value instanceof List<?> list) {
            StringBuilder all = new StringBuilder("[");
            for (Object item : list) {
                all.append(text(item)).append(',');
            }
            return all.append(']').toString();
        }
        if (!(value instanceof Record)) {
            return String.valueOf(value);
        }
        StringBuilder all = new StringBuilder(value.getClass().getSimpleName()).append('(');
        for (var component : value.getClass().getRecordComponents()) {
            component.getAccessor().setAccessible(true);
            all.append(component.getName()).append('=').append(text(component.getAccessor().invoke(value))).append(' ');
        }
        return all.append(')').toString();
    }

    @Test
    void eachMessageArrivesAsItWasSent() throws Exception {
        for (PeerMessage message : MESSAGES) {
            assertThat(text(codec.decode(codec.encode(message), PeerMessage.class)), is(text(message)));
        }
    }

    /** Guards this test: a new kind of message has to be among its examples. */
    @Test
    void noKindOfMessageIsForgottenHere() {
        Set<Class<?>> here = MESSAGES.stream().map(Object::getClass).collect(Collectors.toSet());
        assertThat(here, is(Set.of(PeerMessage.class.getPermittedSubclasses())));
        Set<Class<?>> replicated = MESSAGES.stream().filter(m -> m instanceof PeerMessage.Replication)
                .map(m -> ((PeerMessage.Replication) m).message().getClass()).collect(Collectors.toSet());
        assertThat(replicated, is(Set.of(Message.class.getPermittedSubclasses())));
    }

    /** Guards data nodes: they get what the control nodes have checked, to the last value. */
    @Test
    void aConfigurationArrivesAsItWasRead() throws Exception {
        String split = Configurations.whole(3).replace("\"backend\":\"web\"",
                "\"traffic_split\":[{\"backend\":\"web\",\"weight\":1.5}]");
        String bare = "{\"generation\":9,\"routes\":[{\"name\":\"r\"}],\"backends\":[{\"name\":\"b\",\"runtime\":"
                + "{\"capacity\":3,\"kv_capacity\":70000000000,\"stride\":-1}},{\"name\":\"c\",\"warmup_s\":3.0,"
                + "\"warmup_per_s\":22.5}],\"tenants\":[{\"name\":\"t\"}]}";
        for (String document : new String[] {"{\"generation\":1}", Configurations.whole(2), split, bare}) {
            FleetConfiguration read = ConfigJson.read(document.getBytes(StandardCharsets.UTF_8)).get();
            byte[] bytes = codec.encode(new PeerMessage.CommittedConfig(read.generation(), codec.encode(read)));
            byte[] configuration = codec.decode(bytes, PeerMessage.CommittedConfig.class).configuration();
            assertThat(codec.decode(configuration, FleetConfiguration.class), is(read));
        }
    }

    /** A store with a whole configuration and one patch, as the stored examples of earlier formats had it. */
    private static ConfigStore patched() {
        ConfigStore store = new ConfigStore();
        String document = Configurations.whole(3).replace("\"backend\":\"web\"",
                "\"traffic_split\":[{\"backend\":\"web\",\"weight\":1.5}]");
        store.apply(new ConfigOrder(ConfigOrder.Kind.REPLACE, 0, document.getBytes(StandardCharsets.UTF_8)));
        store.apply(store.examine(ORDER).get());
        return store;
    }

    @Test
    void whatIsStoredIsReadAsItWasWritten() throws Exception {
        ConfigStore store = patched();
        ConfigStore.State state = store.state();
        assertThat(text(codec.decodeStored(codec.encode(state), ConfigStore.State.class)), is(text(state)));
        ConfigStore.State untyped = new ConfigStore.State(state.document(), null, "", List.of(), List.of());
        assertThat(text(codec.decodeStored(codec.encode(untyped), ConfigStore.State.class)), is(text(untyped)));
        ConfigChange change = new ConfigChange(ORDER, ORDER.digest(), store.lastDelta());
        assertThat(text(codec.decodeStored(codec.encode(change), ConfigChange.class)), is(text(change)));
        assertThat(text(codec.decodeStored(codec.encode(ORDER), ConfigOrder.class)), is(text(ORDER)));
        EvacuationOrder evacuation = new EvacuationOrder(4, "a", true);
        assertThat(codec.decodeStored(codec.encode(evacuation), EvacuationOrder.class), is(evacuation));
        ShardState shard = new ShardState(state, new Evacuations(5, List.of("a")));
        assertThat(text(codec.decodeStored(codec.encode(shard), ShardState.class)), is(text(shard)));
        assertThat(codec.decode(codec.encode(store.lastDelta()), ConfigDelta.class), is(store.lastDelta()));
    }

    /** Guards disks that builds of format 0x81 have written: their bytes are kept here as those builds wrote them. */
    @Test
    void whatEarlierBuildsHaveStoredIsRead() throws Exception {
        Map<String, byte[]> stored;
        try (InputStream file = getClass().getResourceAsStream("/routerfleet/stored-by-format-0x81.txt")) {
            stored = new String(file.readAllBytes(), StandardCharsets.UTF_8).lines().map(line -> line.split(" "))
                    .collect(Collectors.toMap(parts -> parts[0], parts -> Base64.getDecoder().decode(parts[1])));
        }
        ConfigStore wanted = patched();
        assertThat(text(codec.decodeStored(stored.get("change"), Object.class)),
                is(text(new ConfigChange(ORDER, ORDER.digest(), wanted.lastDelta()))));
        assertThat(codec.decodeStored(stored.get("order"), ConfigOrder.class).base(), is(0L));
        for (String name : new String[] {"state", "untyped-state", "earlier-state"}) {
            ConfigStore restored = new ConfigStore();
            restored.restoreDecoded(codec.decodeStored(stored.get(name), Object.class));
            assertThat(name, restored.configuration(), is(wanted.configuration()));
            assertThat(name, restored.outcome(ORDER), is(6L));
            byte[] unnumbered = Arrays.copyOfRange(stored.get(name), 1, stored.get(name).length);
            restored.restoreDecoded(codec.decodeStored(unnumbered, Object.class));
            assertThat(name, restored.configuration(), is(wanted.configuration()));
        }
    }

    /** Guards disks that builds without warm-up have written in this format: a service has grown since. */
    @Test
    void whatBuildsWithoutWarmUpHaveStoredIsReadAndWrittenTheSame() throws Exception {
        String document = Configurations.whole(3).replace("\"backend\":\"web\"",
                "\"traffic_split\":[{\"backend\":\"web\",\"weight\":1.5}]").replaceFirst("\"max_connections\":90",
                "\"max_connections\":90,\"runtime\":{\"capacity\":12,\"kv_capacity\":369876,\"stride\":10}");
        ConfigStore store = new ConfigStore();
        store.apply(new ConfigOrder(ConfigOrder.Kind.REPLACE, 0, document.getBytes(StandardCharsets.UTF_8)));
        store.apply(store.examine(ORDER).get());
        List<Object> wanted = List.of(new ConfigChange(ORDER, ORDER.digest(), store.lastDelta()), store.state());
        try (InputStream file = getClass().getResourceAsStream("/routerfleet/stored-by-format-0x82.txt")) {
            List<String> lines = new String(file.readAllBytes(), StandardCharsets.UTF_8).lines().toList();
            for (int i = 0; i < wanted.size(); i++) {
                byte[] stored = Base64.getDecoder().decode(lines.get(i).split(" ")[1]);
                assertThat(text(codec.decodeStored(stored, Object.class)), is(text(wanted.get(i))));
                assertThat(Arrays.equals(codec.encode(wanted.get(i)), stored), is(true));
            }
        }
    }

    @Test
    void bytesThatAreNoMessageAreToldAsSuch() {
        byte[] bytes = codec.encode(new PeerMessage.Ping(7));
        assertThrows(PeerCodec.MalformedMessageException.class,
                () -> codec.decode(Arrays.copyOf(bytes, bytes.length - 1), PeerMessage.class));
        assertThrows(PeerCodec.MalformedMessageException.class,
                () -> codec.decode(Arrays.copyOf(bytes, bytes.length + 1), PeerMessage.class));
        assertThrows(PeerCodec.MalformedMessageException.class, () -> codec.decode(new byte[] {99, 1}, PeerMessage.class));
        assertThrows(PeerCodec.MalformedMessageException.class, () -> codec.decode(bytes, PeerMessage.Pong.class));
    }

    /** Damaged bytes are read as something or refused; nothing else comes of them, and no memory without measure. */
    @Test
    void damagedBytesAreRefusedOrRead() {
        SplittableRandom random = new SplittableRandom(5);
        List<byte[]> good = MESSAGES.stream().map(codec::encode).collect(Collectors.toList());
        good.add(codec.encode(patched().state()));
        good.add(codec.encode(new ShardState(patched().state(), new Evacuations(5, List.of("a", "b")))));
        int refused = 0;
        for (int i = 0; i < 20_000; i++) {
            byte[] bytes = good.get(random.nextInt(good.size())).clone();
            for (int k = random.nextInt(3); k >= 0; k--) {
                bytes[1 + random.nextInt(bytes.length - 1)] = (byte) random.nextInt();
            }
            try {
                byte[] read = random.nextBoolean() ? bytes : Arrays.copyOf(bytes, random.nextInt(bytes.length));
                codec.decode(read, Object.class);
            } catch (PeerCodec.MalformedMessageException e) {
                refused++;
            }
        }
        assertThat(refused > 5_000, is(true));
    }
}
