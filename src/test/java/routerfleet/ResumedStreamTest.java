package routerfleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import routerfleet.demo.Configurations;
import routerfleet.demo.EmulatedServer;
import routerfleet.demo.EmulatedServer.AnswerKind;
import routerfleet.demo.EventNumbering;
import routerfleet.demo.LoopbackFleet;
import routerfleet.demo.LoopbackHttp;
import routerfleet.settings.Bounds;

/** Streams that a further server answers or continues, whose events are numbered in each way that the protocol allows. */
class ResumedStreamTest {
    private static final int EVENTS = 12;
    private static final int CUT_EVENT = 5;
    /** Longer than a data node waits before it asks a second server: a third of the route's timeout of 4 s. */
    private static final int SILENCE_MS = 2_500;
    /** Longer than a silent server needs to speak again. */
    private static final int LATE_MS = 3_500;
    private static final double RETRY_RATIO = 1;
    private static final double RETRY_SLACK = 20;

    @TempDir
    private Path folder;
    private final Map<String, Integer> arrivalCounts = new ConcurrentHashMap<>();
    private LoopbackFleet fleet;
    private FleetClient client;
    private List<EmulatedServer> servers;

    @BeforeEach
    void start() throws IOException {
        fleet = new LoopbackFleet(folder, 3);
        servers = List.of(new EmulatedServer("llm-1", "llm", fleet.seeds(), this::pace),
                new EmulatedServer("llm-2", "llm", fleet.seeds(), this::pace),
                new EmulatedServer("llm-3", "llm", fleet.seeds(), this::pace));
        String configuration = Configurations.whole(1).replace("\"max_attempts\":2", "\"max_attempts\":3");
        assertThat(fleet.order("replace", 0, configuration), is(200));
        fleet.startData(true, new Bounds(null, null, null, null, null, null, null, null, null, RETRY_RATIO, null,
                RETRY_SLACK, null, null, null, null, null, null, null));
        client = new FleetClient(fleet, 4_000);
        client.warmUp("/briefs/BY_ONE/serve");
    }

    @AfterEach
    void end() throws IOException {
        for (EmulatedServer server : servers) {
            server.close();
        }
        fleet.close();
    }

    /** The servers that are asked do in turn what the words of the path say; each further one serves. */
    private EmulatedServer.Pace pace(EmulatedServer.Arrival arrival) {
        String[] path = arrival.path().split("/");
        String[] troubles = path[3].split("-");
        int count = arrivalCounts.merge(arrival.headers().get("rowanplank-attempt-id"), 1, Integer::sum);
        String trouble = count <= troubles.length ? troubles[count - 1] : "serve";
        AnswerKind answer = switch (trouble) {
            case "refuse" -> AnswerKind.REFUSED;
            case "fail" -> AnswerKind.FAILED;
            default -> AnswerKind.SERVED;
        };
        return new EmulatedServer.Pace(trouble.equals("late") ? LATE_MS : 0, EVENTS, 10,
                trouble.startsWith("silent") ? SILENCE_MS : 0, EventNumbering.valueOf(path[2]),
                trouble.endsWith("cut") ? CUT_EVENT : -1, answer);
    }

    private LoopbackHttp.Answer request(String id, String path, String lastEventId) throws IOException {
        return client.request(id, path, lastEventId == null ? Map.of() : Map.of("Last-Event-Id", lastEventId));
    }

    private static void assertWhole(LoopbackHttp.Answer answer, String events) {
        assertThat(answer.status(), is(200));
        assertThat(answer.body(), is(events));
        assertThat(answer.whole(), is(true));
    }

    // LOST, review/3: a stream that a second server answered after a refusal was closed behind its first event.
    @ParameterizedTest
    @EnumSource
    void aStreamIsWholeWhenASecondServerAnswersAfterARefusal(EventNumbering numbering) throws IOException {
        assertWhole(request("refused", "/briefs/" + numbering + "/refuse", null), numbering.stream(EVENTS));
    }

    // LOST and ORDER, as review/3: a stream that a second server continued was closed, or ended with events missing.
    @ParameterizedTest
    @EnumSource
    void aStreamIsWholeWhenItIsResumedAfterACutInsideAnEvent(EventNumbering numbering) throws IOException {
        assertWhole(request("cut", "/briefs/" + numbering + "/cut", null), numbering.stream(EVENTS));
    }

    // LOST, as review/3: a stream that a second server answered beside a silent one was closed behind its first event.
    @ParameterizedTest
    @EnumSource
    void aStreamIsWholeWhenASecondServerAnswersBesideASilentOne(EventNumbering numbering) throws IOException {
        assertWhole(request("silent", "/briefs/" + numbering + "/silent", null), numbering.stream(EVENTS));
    }

    // LOST and ORDER, as review/3: a stream that its client resumed was closed, or had events missing or twice.
    @ParameterizedTest
    @EnumSource
    void aStreamThatItsClientResumesIsWholeAfterARefusalAndAfterACut(EventNumbering numbering) throws IOException {
        String rest = numbering.stream(EVENTS).substring(numbering.stream(2).length());
        assertWhole(request("resumed", "/briefs/" + numbering + "/refuse", numbering.id(1)), rest);
        for (int i = 0; i < 10; i++) {
            request("more-" + i, "/briefs/BY_ONE/serve", null);
        }
        assertWhole(request("resumed-cut", "/briefs/" + numbering + "/cut", numbering.id(1)), rest);
    }

    // LOST: a stream that was to be continued was closed behind a failure of the second server, with an attempt left.
    @Test
    void aStreamIsContinuedByAThirdServerWhenTheSecondFails() throws IOException {
        assertWhole(request("failed", "/briefs/BY_FIVE/cut-fail", null), EventNumbering.BY_FIVE.stream(EVENTS));
    }

    // LOST: a stream was closed when a silent server spoke again, which ends the second attempt, and then broke off.
    @Test
    void aStreamIsContinuedByAThirdServerWhenTheSilentOneSpeaksAgainAndBreaksOff() throws IOException {
        assertWhole(request("spoke", "/briefs/BY_FIVE/silent+cut-late", null), EventNumbering.BY_FIVE.stream(EVENTS));
    }
}
