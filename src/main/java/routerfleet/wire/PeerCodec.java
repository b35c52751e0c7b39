package routerfleet.wire;

import com.esotericsoftware.kryo.Kryo;
import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import com.esotericsoftware.kryo.serializers.ImmutableCollectionsSerializers;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.TreeMap;
import rowanplank.agreement.Entry;
import rowanplank.agreement.Message;
import routerfleet.config.BackendConfig;
import routerfleet.config.ClientLimits;
import routerfleet.config.ConfigOrder;
import routerfleet.config.ConfigStore;
import routerfleet.config.FleetConfiguration;
import routerfleet.config.RouteConfig;
import routerfleet.config.TenantConfig;

/**
 * Turns messages and stored records into bytes and back with Kryo. Only registered types are read. For one thread; the
 * order of registration is the format, so new types go to the end.
 */
public final class PeerCodec {
    private static final int FIRST_BUFFER = 512;
    private final Kryo kryo = new Kryo();

    /** Registers every type that is sent or stored. */
    public PeerCodec() {
        kryo.setRegistrationRequired(true);
        kryo.setReferences(false);
        ImmutableCollectionsSerializers.registerSerializers(kryo);
        for (Class<?> type : new Class<?>[] {byte[].class, ArrayList.class, HashMap.class, TreeMap.class,
                LinkedHashMap.class, Entry.class, Message.VoteAsk.class, Message.VoteReply.class, Message.Append.class,
                Message.AppendReply.class, Message.Piece.class, Message.PieceReply.class, Message.TakeOver.class,
                ConfigOrder.Kind.class, ConfigOrder.class, ConfigStore.State.class, SessionRecord.Phase.class,
                SessionRecord.class, SessionView.class, PeerMessage.QuotaVerdict.class, FleetConfiguration.class,
                RouteConfig.class, RouteConfig.WeightedBackend.class, BackendConfig.class, BackendConfig.Engine.class,
                ClientLimits.class, TenantConfig.class}) {
            kryo.register(type);
        }
        for (Class<?> type : PeerMessage.class.getPermittedSubclasses()) {
            kryo.register(type);
        }
    }

    /** The bytes of a value of a registered type. */
    public byte[] encode(Object value) {
        Output output = new Output(FIRST_BUFFER, -1);
        kryo.writeClassAndObject(output, value);
        return output.toBytes();
    }

    /** @throws MalformedMessageException if the bytes are no value of that type */
    public <T> T decode(byte[] bytes, Class<T> type) throws MalformedMessageException {
        try {
            return type.cast(kryo.readClassAndObject(new Input(bytes)));
        } catch (KryoException | ClassCastException | IllegalArgumentException | IndexOutOfBoundsException
                | NegativeArraySizeException e) {
            throw new MalformedMessageException("no " + type.getSimpleName() + ": " + e.getMessage(), e);
        }
    }

    /** Bytes that are no message of this protocol. */
    public static final class MalformedMessageException extends Exception {
        private static final long serialVersionUID = 1;

        MalformedMessageException(String message, Throwable cause) {
            super(message, cause);
        }
    }
}
