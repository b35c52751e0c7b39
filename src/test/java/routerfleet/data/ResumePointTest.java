package routerfleet.data;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which events of a resumed stream are taken for repeated, and how ids are compared. */
class ResumePointTest {
    private static final StreamEvent WITHOUT_ID = new StreamEvent(new byte[0], null, true);

    private static List<String> forwarded(ResumePoint point, String... ids) {
        List<String> forwarded = new ArrayList<>();
        for (String id : ids) {
            if (!point.isRepeated(new StreamEvent(new byte[0], id, true))) {
                forwarded.add(id);
            }
        }
        return forwarded;
    }

    @ParameterizedTest
    @CsvSource({"15, 120, true", "120, 15, false", "15, 15, false", "007, 8, true", "07, 7, false",
            "1764860000123-0, 1764860000123-1, true", "1764860000123-9, 1764860000123-10, true",
            "1764860000123-9, 1764860000124-0, true", "1764860000124-0, 1764860000123-9, false",
            "98765432109876543210, 98765432109876543211, true", "event-7, event-12, true", "event-7, part-12, false",
            "aab, aac, false", "1a, 2b, false", "1-2, 1, false", "1, 1-2, false", "1-, 2-, true"})
    void ordersIdsThatDifferInNumbersOnly(String id, String other, boolean precedes) {
        assertThat(EventIdOrder.precedes(id, other), is(precedes));
    }

    @Test
    void forwardsAllEventsOfAServerThatContinuesBehindThePoint() {
        assertThat(forwarded(ResumePoint.after("75"), "80", "85"), is(List.of("80", "85")));
        assertThat(forwarded(ResumePoint.after("aac"), "aad", "aae"), is(List.of("aad", "aae")));
    }

    @Test
    void dropsEventsOfAServerThatBeginsAnew() {
        assertThat(forwarded(ResumePoint.after("1764860000123-1"), "1764860000123-0", "1764860000123-1",
                "1764860000123-2"), is(List.of("1764860000123-2")));
        assertThat(forwarded(ResumePoint.after("aac"), "aac", "aad"), is(List.of("aad")));
    }

    @Test
    void comparesNothingBehindThePoint() {
        assertThat(forwarded(ResumePoint.after("5"), "6", "2", "5"), is(List.of("6", "2", "5")));
        assertThat(forwarded(ResumePoint.START, "6", "2"), is(List.of("6", "2")));
    }

    @Test
    void knowsThatAServerEndedBeforeThePoint() {
        ResumePoint point = ResumePoint.after("5");
        assertThat("a server that sends nothing has nothing more to send", point.isAhead(), is(false));
        point.isRepeated(new StreamEvent(new byte[0], "3", true));
        assertThat(point.isAhead(), is(true));
        assertThat("belongs to the event before it", point.isRepeated(WITHOUT_ID), is(true));
        point.isRepeated(new StreamEvent(new byte[0], "5", true));
        assertThat(point.isAhead(), is(false));
        assertThat(point.isRepeated(WITHOUT_ID), is(false));
    }
}
