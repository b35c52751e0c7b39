package routerfleet.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import routerfleet.wire.SessionRecord;

/** Parsing of heartbeats. */
class HeartbeatJsonTest {
    private static Either<String, SessionRecord> read(String body) {
        return HeartbeatJson.read("i-1", body.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void unknownFieldsAreIgnored() {
        SessionRecord read = read("{\"backend\":\"llm\",\"models\":[{\"name\":\"m\",\"loras\":[]}],"
                + "\"address\":\"10.0.0.1:80\",\"zone\":\"a\",\"generation\":\"v1\","
                + "\"capacity\":32,\"phase\":\"draining\",\"warmup_left_ms\":1.5,"
                + "\"sequence\":4,\"more\":{\"sequence\":9}}").get();
        assertThat(read, is(new SessionRecord("i-1", "llm", "10.0.0.1:80", "a", 32, SessionRecord.Phase.DRAINING, 4, 1)));
    }

    @Test
    void absentFieldsHaveDefaults() {
        assertThat(read("{\"backend\":\"llm\",\"address\":\"10.0.0.1:80\",\"zone\":null}").get(),
                is(new SessionRecord("i-1", "llm", "10.0.0.1:80", "", 0, SessionRecord.Phase.READY, 0, 0)));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "[]", "7", "null", "{", "{\"backend\":\"llm\"", "{}", "{\"backend\":\"llm\"}",
        "{\"backend\":[],\"address\":\"10.0.0.1:80\"}", "{\"backend\":\"llm\",\"address\":\"x\"}",
        "{\"backend\":\"llm\",\"address\":\"10.0.0.1:80\",\"sequence\":\"x\"}",
        "{\"backend\":\"llm\",\"address\":\"10.0.0.1:80\",\"sequence\":99999999999999999999}"})
    void aMalformedHeartbeatIsReportedInOneLine(String body) {
        assertThat(read(body).getLeft(), containsString("heartbeat"));
    }
}
