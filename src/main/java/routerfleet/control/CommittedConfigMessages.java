package routerfleet.control;

import routerfleet.config.ConfigDelta;
import routerfleet.config.ConfigStore;
import routerfleet.wire.PeerCodec;
import routerfleet.wire.PeerMessage;

/** The newest committed configuration as sent to data nodes. Each message is encoded once and shared by all of them. */
final class CommittedConfigMessages {
    private final PeerCodec codec;
    private final ConfigStore store;
    private PeerMessage.CommittedConfig full;
    private PeerMessage.CommittedDelta delta;

    /** @param store the state after all applied log entries */
    CommittedConfigMessages(PeerCodec codec, ConfigStore store) {
        this.codec = codec;
        this.store = store;
    }

    /** The full configuration. */
    PeerMessage.CommittedConfig full() {
        if (full == null || full.generation() != store.generation()) {
            full = new PeerMessage.CommittedConfig(store.generation(), codec.encode(store.configuration()));
        }
        return full;
    }

    /** The change from the previous generation to the newest one; null if only the full configuration is known. */
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
