package routerfleet.wire;

import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import routerfleet.config.ConfigChange;
import routerfleet.config.ConfigDelta;
import routerfleet.config.ConfigOrder;
import routerfleet.config.ConfigStore;
import routerfleet.config.EvacuationOrder;
import routerfleet.config.Evacuations;
import routerfleet.config.FleetConfiguration;
import routerfleet.config.ShardState;

/**
 * Turns messages and stored records into bytes and back, with Kryo's streams. Each type is written field by field: to have
 * Kryo find its way through records by reflection costs each start of a process 20 ms and more of processor time, and
 * all machines may start at one time. What earlier builds have stored is read by {@link EarlierRecords}.
 *
 * <p>The bytes begin with the format's number and the value's kind. It keeps no state between calls but for one thread.
 */
public final class PeerCodec {
    private static final int FIRST_BUFFER = 512;
    /** First byte of what is stored; negative, as no value's bytes began before formats were numbered. */
    private static final byte STORED_FORMAT = (byte) 0x82;
    /** First byte of messages; nodes of two formats do not talk. */
    private static final byte MESSAGE_FORMAT = (byte) 0x83;
    private static final int MESSAGE = 1;
    private static final int CONFIGURATION = 2;
    private static final int DELTA = 3;
    private static final int ORDER = 4;
    private static final int CHANGE = 5;
    private static final int STATE = 6;
    private static final int EVACUATION_ORDER = 10;
    private static final int SHARD_STATE = 11;
    /** Made where something of an earlier format has to be read. */
    private EarlierRecords earlier;

    /** The bytes of a value of one of the types above. */
    public byte[] encode(Object value) {
        Output out = new Output(FIRST_BUFFER, -1);
        out.writeByte(value instanceof PeerMessage ? MESSAGE_FORMAT : STORED_FORMAT);
        if (value instanceof PeerMessage message) {
            out.writeByte(MESSAGE);
            MessageForm.write(out, message);
        } else if (value instanceof FleetConfiguration configuration) {
            out.writeByte(CONFIGURATION);
            ConfigForm.write(out, configuration);
        } else if (value instanceof ConfigDelta delta) {
            out.writeByte(DELTA);
            ConfigForm.write(out, delta);
        } else if (value instanceof ConfigOrder order) {
            out.writeByte(ORDER);
            ConfigForm.write(out, order);
        } else if (value instanceof ConfigChange change) {
            out.writeByte(CHANGE);
            ConfigForm.write(out, change);
        } else if (value instanceof ConfigStore.State state) {
            out.writeByte(STATE);
            ConfigForm.write(out, state);
        } else if (value instanceof EvacuationOrder order) {
            out.writeByte(EVACUATION_ORDER);
            EvacuationForm.write(out, order);
        } else if (value instanceof ShardState state) {
            out.writeByte(SHARD_STATE);
            EvacuationForm.write(out, state.evacuations());
            ConfigForm.write(out, state.configuration());
        } else {
            throw new IllegalArgumentException("no form for " + value.getClass());
        }
        return out.toBytes();
    }

    /** Reads a message. @throws MalformedMessageException if the bytes are no value of that type, or of another format */
    public <T> T decode(byte[] bytes, Class<T> type) throws MalformedMessageException {
        if (bytes.length == 0 || !reads(bytes[0], type)) {
            throw new MalformedMessageException("of format " + (bytes.length == 0 ? "none" : bytes[0] & 0xff)
                    + ", and this build reads " + (formatOf(type) & 0xff), null);
        }
        return guarded(type, () -> read(new Input(bytes, 1, bytes.length - 1)));
    }

    /** A message of the stored format is read only as the type that was stored, never from a connection. */
    private static boolean reads(byte format, Class<?> type) {
        return format == formatOf(type) || format == STORED_FORMAT && type != PeerMessage.class;
    }

    private static byte formatOf(Class<?> type) {
        return PeerMessage.class.isAssignableFrom(type) ? MESSAGE_FORMAT : STORED_FORMAT;
    }

    /**
     * Reads what was stored, maybe by an earlier build.
     *
     * @throws MalformedMessageException if the bytes are no value of that type, or of a later build
     */
    public <T> T decodeStored(byte[] bytes, Class<T> type) throws MalformedMessageException {
        if (!EarlierRecords.wrote(bytes)) {
            return decode(bytes, type);
        }
        if (earlier == null) {
            earlier = new EarlierRecords();
        }
        return guarded(type, () -> earlier.read(bytes));
    }

    private static Object read(Input in) {
        int kind = in.readByte();
        Object value = switch (kind) {
            case MESSAGE -> MessageForm.read(in);
            case CONFIGURATION -> ConfigForm.readConfiguration(in);
            case DELTA -> ConfigForm.readDelta(in);
            case ORDER -> ConfigForm.readOrder(in);
            case CHANGE -> ConfigForm.readChange(in);
            case STATE -> ConfigForm.readState(in);
            case EVACUATION_ORDER -> EvacuationForm.readOrder(in);
            case SHARD_STATE -> readShardState(in);
            default -> throw new KryoException("no value of kind " + kind);
        };
        if (in.position() != in.limit()) {
            throw new KryoException((in.limit() - in.position()) + " bytes behind it");
        }
        return value;
    }

    private static ShardState readShardState(Input in) {
        Evacuations evacuations = EvacuationForm.readEvacuations(in);
        return new ShardState(ConfigForm.readState(in), evacuations);
    }

    private interface Reading {
        Object read();
    }

    private static <T> T guarded(Class<T> type, Reading reading) throws MalformedMessageException {
        try {
            return type.cast(reading.read());
        } catch (KryoException | ClassCastException | IllegalArgumentException | IndexOutOfBoundsException
                | NegativeArraySizeException | NullPointerException e) {
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
