package rowanplank.lab.site;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import rowanplank.lab.day.PressDay;

class OpenWorksTest {
    private final OpenWorks works = new OpenWorks(1, 0, PressDay.DAY.classes());

    @Test
    void whatHasAnIdAndAClassIsARequestWhoeverSentIt() {
        long own = works.number(Ids.text(77), "/article/page?n=77");
        assertEquals(77, own);
        long others = works.number("curl-1", "/article");
        assertTrue(others >= 0 && others == works.number("curl-1", "/article") && works.isForm(others, 5));
        assertEquals(works.work(others, 1), works.work(others, 2), "all tries of it are the same work");
        assertEquals(-1, works.number(null, "/article/1"));
        assertEquals(-1, works.number("a", "/articles/1"));
        assertEquals(-1, works.number("a", "/"));
        assertEquals(-1, works.number("x".repeat(1000), "/article/1"));
    }

    @Test
    void itsWorkIsTheClasss() {
        double mean = LongStream.range(0, 20_000).map(i -> works.work(works.number("r" + i, "/epaper/" + i), 0))
                .average().orElseThrow();
        assertEquals(30e6, mean, 1.5e6);
    }
}
