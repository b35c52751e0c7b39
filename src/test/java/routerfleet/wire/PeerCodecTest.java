package routerfleet.wire;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.junit.jupiter.api.Test;
import routerfleet.config.ConfigJson;
import routerfleet.config.FleetConfiguration;
import routerfleet.demo.Configurations;

/** Messages as bytes and back. */
class PeerCodecTest {
    private final PeerCodec codec = new PeerCodec();

    /** Guards data nodes: they get what the control nodes have checked, to the last value. */
    @Test
    void aConfigurationArrivesAsItWasRead() throws Exception {
        String split = Configurations.whole(3).replace("\"backend\":\"web\"",
                "\"traffic_split\":[{\"backend\":\"web\",\"weight\":1.5}]");
        for (String document : new String[] {"{\"generation\":1}", Configurations.whole(2), split}) {
            FleetConfiguration read = ConfigJson.read(document.getBytes(StandardCharsets.UTF_8)).get();
            byte[] bytes = codec.encode(new PeerMessage.CommittedConfig(read.generation(), codec.encode(read)));
            byte[] configuration = codec.decode(bytes, PeerMessage.CommittedConfig.class).configuration();
            assertThat(codec.decode(configuration, FleetConfiguration.class), is(read));
        }
    }

    @Test
    void bytesThatAreNoMessageAreToldAsSuch() {
        byte[] bytes = codec.encode(new PeerMessage.Ping(7));
        assertThrows(PeerCodec.MalformedMessageException.class,
                () -> codec.decode(Arrays.copyOf(bytes, bytes.length - 1), PeerMessage.class));
        assertThrows(PeerCodec.MalformedMessageException.class, () -> codec.decode(new byte[] {99, 1}, PeerMessage.class));
        assertThrows(PeerCodec.MalformedMessageException.class, () -> codec.decode(bytes, PeerMessage.Pong.class));
    }
}
