package routerfleet.wire;

import com.esotericsoftware.kryo.Kryo;
import com.esotericsoftware.kryo.Serializer;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import com.esotericsoftware.kryo.serializers.ImmutableCollectionsSerializers;
import com.esotericsoftware.kryo.serializers.RecordSerializer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.TreeMap;
import rowanplank.agreement.Entry;
import rowanplank.agreement.VoterConfig;
import rowanplank.agreement.Message;
import routerfleet.config.BackendConfig;
import routerfleet.config.ClientLimits;
import routerfleet.config.ConfigChange;
import routerfleet.config.ConfigDelta;
import routerfleet.config.ConfigDocument;
import routerfleet.config.ConfigOrder;
import routerfleet.config.ConfigStore;
import routerfleet.config.FleetConfiguration;
import routerfleet.config.RouteConfig;
import routerfleet.config.TenantConfig;

/**
 * Reads what builds before format 0x82 have stored: Kryo with registered types, whose numbers follow from their order. The
 * order must not change. Loaded only where there is something to read.
 */
final class EarlierRecords {
    /** First byte of format 0x81; values from before formats were numbered begin with a number from 0 on. */
    private static final byte NUMBERED = (byte) 0x81;
    /** So many kinds of messages had numbers between the stored types. */
    private static final int MESSAGE_KINDS = 22;
    private final Kryo kryo = new Kryo();

    EarlierRecords() {
        kryo.setRegistrationRequired(true);
        kryo.setReferences(false);
        ImmutableCollectionsSerializers.registerSerializers(kryo);
        for (Class<?> type : new Class<?>[] {byte[].class, ArrayList.class, HashMap.class, TreeMap.class,
                LinkedHashMap.class, Entry.class, Message.VoteRequest.class, Message.VoteResponse.class,
                Message.AppendRequest.class, Message.AppendResponse.class, Message.SnapshotChunk.class,
                Message.SnapshotChunkResponse.class, Message.TimeoutNow.class,
                ConfigOrder.Kind.class, ConfigOrder.class, ConfigStore.EarlierState.class, SessionRecord.Phase.class,
                SessionRecord.class, SessionView.class, PeerMessage.QuotaVerdict.class, FleetConfiguration.class,
                RouteConfig.class, RouteConfig.WeightedBackend.class, BackendConfig.class, BackendConfig.Engine.class,
                ClientLimits.class, TenantConfig.class}) {
            kryo.register(type);
        }
        kryo.register(RouteConfig.class, new Routes()); // in its place above
        kryo.register(BackendConfig.class, new Backends());
        int next = kryo.getNextRegistrationId() + MESSAGE_KINDS;
        for (Class<?> type : new Class<?>[] {VoterConfig.class, ConfigChange.class, ConfigDocument.class,
                ConfigStore.State.class, ConfigDelta.class}) {
            kryo.register(type, next++);
        }
    }

    /** Whether these bytes are of a format that is read here. */
    static boolean wrote(byte[] bytes) {
        return bytes.length > 0 && (bytes[0] >= 0 || bytes[0] == NUMBERED);
    }

    Object read(byte[] bytes) {
        int from = bytes[0] == NUMBERED ? 1 : 0;
        return kryo.readClassAndObject(new Input(bytes, from, bytes.length - from));
    }

    /** Routes stood there as they do now. */
    private static final class Routes extends Serializer<RouteConfig> {
        Routes() {
            super(false, true);
        }

        @Override
        public void write(Kryo writer, Output out, RouteConfig route) {
            ConfigForm.writeRoute(out, route);
        }

        @Override
        public RouteConfig read(Kryo reader, Input in, Class<? extends RouteConfig> type) {
            return ConfigForm.readRoute(in);
        }
    }

    /** A service as it stood there, without its warm-up. */
    private record EarlierBackend(String name, String healthCheck, int maxConnections, BackendConfig.Engine runtime) { }

    /** Services, which have grown since. */
    private static final class Backends extends Serializer<BackendConfig> {
        private final RecordSerializer<EarlierBackend> earlier = new RecordSerializer<>(EarlierBackend.class);

        Backends() {
            super(false, true);
        }

        @Override
        public void write(Kryo writer, Output out, BackendConfig backend) {
            earlier.write(writer, out, new EarlierBackend(backend.name(), backend.healthCheck(),
                    backend.maxConnections(), backend.runtime()));
        }

        @Override
        public BackendConfig read(Kryo reader, Input in, Class<? extends BackendConfig> type) {
            EarlierBackend read = earlier.read(reader, in, EarlierBackend.class);
            return new BackendConfig(read.name(), read.healthCheck(), read.maxConnections(), read.runtime(), 0, 0);
        }
    }
}
