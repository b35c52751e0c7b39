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
import rowanplank.agreement.Membership;
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
 * Turns messages and stored records into bytes and back with Kryo. Only registered types are read. For one thread; the
 * order of registration is the format, so new types go to the end.
 */
public final class PeerCodec {
    private static final int FIRST_BUFFER = 512;
    /** First byte of all that is encoded; negative, as no value's bytes began before formats were numbered. */
    private static final byte FORMAT = (byte) 0x81;
    private final Kryo kryo = new Kryo();

    /** Registers every type that is sent or stored. */
    public PeerCodec() {
        kryo.setRegistrationRequired(true);
        kryo.setReferences(false);
        ImmutableCollectionsSerializers.registerSerializers(kryo);
        for (Class<?> type : new Class<?>[] {byte[].class, ArrayList.class, HashMap.class, TreeMap.class,
                LinkedHashMap.class, Entry.class, Message.VoteAsk.class, Message.VoteReply.class, Message.Append.class,
                Message.AppendReply.class, Message.Piece.class, Message.PieceReply.class, Message.TakeOver.class,
                ConfigOrder.Kind.class, ConfigOrder.class, ConfigStore.EarlierState.class, SessionRecord.Phase.class,
                SessionRecord.class, SessionView.class, PeerMessage.QuotaVerdict.class, FleetConfiguration.class,
                RouteConfig.class, RouteConfig.WeightedBackend.class, BackendConfig.class, BackendConfig.Engine.class,
                ClientLimits.class, TenantConfig.class}) {
            kryo.register(type);
        }
        kryo.register(RouteConfig.class, new RouteSerializer()); // in its place above
        for (Class<?> type : PeerMessage.class.getPermittedSubclasses()) {
            kryo.register(type);
        }
        kryo.register(Membership.class);
        kryo.register(ConfigChange.class);
        kryo.register(ConfigDocument.class);
        kryo.register(ConfigStore.State.class);
        kryo.register(ConfigDelta.class);
    }

    /** The bytes of a value of a registered type. */
    public byte[] encode(Object value) {
        Output output = new Output(FIRST_BUFFER, -1);
        output.writeByte(FORMAT);
        kryo.writeClassAndObject(output, value);
        return output.toBytes();
    }

    /** Reads a message. @throws MalformedMessageException if the bytes are no value of that type, or of another format */
    public <T> T decode(byte[] bytes, Class<T> type) throws MalformedMessageException {
        requireFormat(bytes);
        return read(new Input(bytes, 1, bytes.length - 1), type);
    }

    /**
     * Reads what was stored, maybe by an earlier build.
     *
     * @throws MalformedMessageException if the bytes are no value of that type, or of a later build
     */
    public <T> T decodeStored(byte[] bytes, Class<T> type) throws MalformedMessageException {
        if (bytes.length > 0 && bytes[0] >= 0) {
            return read(new Input(bytes), type); // from before formats were numbered
        }
        return decode(bytes, type);
    }

    private static void requireFormat(byte[] bytes) throws MalformedMessageException {
        if (bytes.length == 0 || bytes[0] != FORMAT) {
            throw new MalformedMessageException("of format " + (bytes.length == 0 ? "none" : bytes[0] & 0xff)
                    + ", and this build reads " + (FORMAT & 0xff), null);
        }
    }

    private <T> T read(Input input, Class<T> type) throws MalformedMessageException {
        try {
            return type.cast(kryo.readClassAndObject(input));
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
