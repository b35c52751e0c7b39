package routerfleet.control;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.io.IOException;
import routerfleet.settings.HostPort;
import routerfleet.wire.SessionRecord;

/** The heartbeat of a model server as it is sent. */
@JsonIgnoreProperties(ignoreUnknown = true)
record HeartbeatJson(String backend, String address, String zone, int capacity, String phase, long sequence,
        @JsonProperty("warmup_left_ms") long warmupLeftMs) {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String DRAINING = "draining";

    /** @return the session that it tells of, or in one line what is wrong with it */
    static Either<String, SessionRecord> read(String uid, byte[] body) {
        HeartbeatJson told;
        try {
            told = MAPPER.readValue(body, HeartbeatJson.class);
        } catch (IOException e) {
            return Either.left("heartbeat can't be read: " + String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
        }
        if (told == null || told.backend() == null || told.address() == null) {
            return Either.left("heartbeat: backend and address are needed");
        }
        try {
            HostPort.parse(told.address());
        } catch (IllegalArgumentException e) {
            return Either.left("heartbeat: address: " + e.getMessage());
        }
        SessionRecord.Phase phase = DRAINING.equals(told.phase()) ? SessionRecord.Phase.DRAINING
                : SessionRecord.Phase.READY;
        return Either.right(new SessionRecord(uid, told.backend(), told.address(),
                told.zone() == null ? "" : told.zone(), told.capacity(), phase, told.sequence(), told.warmupLeftMs()));
    }
}
