package routerfleet.control;

import routerfleet.config.ConfigDelta;
import routerfleet.config.ConfigStore;
import routerfleet.wire.PeerCodec;
import routerfleet.wire.PeerMessage;

/** The newest configuration that is known to be committed, as data nodes get it: encoded once for all of them. */
final class CommittedConfigMessages {
    private final PeerCodec codec;
    private final ConfigStore store;
    private PeerMessage.CommittedConfig whole;
    private PeerMessage.CommittedDelta delta;

    /** @param store the state that decided orders have led to */
    CommittedConfigMessages(PeerCodec codec, ConfigStore store) {
        this.codec = codec;
        this.store = store;
    }

    /** All of it. */
    PeerMessage.CommittedConfig full() {
        if (whole == null || whole.generation() != store.generation()) {
            whole = new PeerMessage.CommittedConfig(store.generation(), codec.encode(store.configuration()));
        }
        return whole;
    }

    /** What leads to it from the generation before; null where only the whole is known. */
    PeerMessage.CommittedDelta delta() {
        ConfigDelta last = store.lastDelta();
        if (last == null || last.whole() || last.generation() != store.generation()) {
            return null;
        }
        if (delta == null || delta.generation() != last.generation()) {
            delta = new PeerMessage.CommittedDelta(last.base(), last.generation(), codec.encode(last));
        }
        return delta;
    }
}
