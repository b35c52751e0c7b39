package rowanplank.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.time.LocalTime;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class WindowTest {
    @ParameterizedTest
    @CsvSource({"02:00-05:00,02:00,true", "02:00-05:00,04:59:59,true", "02:00-05:00,05:00,false", "02:00-05:00,01:59:59,false",
        "22:30-04:00,22:30,true", "22:30-04:00,00:00,true", "22:30-04:00,03:59,true", "22:30-04:00,04:00,false",
        "22:30-04:00,22:29,false", "23:00-00:00,23:59:59,true", "23:00-00:00,00:00,false"})
    void itIsAPartOfEachDayAndMaySpanMidnight(String window, LocalTime time, boolean within) {
        assertEquals(within, Window.parse(window).contains(time));
        assertEquals(window, Window.parse(window).toString());
    }

    @ParameterizedTest
    @CsvSource({"2:00-5:00", "24:00-05:00", "02:60-05:00", "02:00-02:00", "02:00", "''"})
    void allElseIsNone(String text) {
        assertNull(Window.parse(text));
    }
}
