package rowanplank.lab.site;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Locale;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

class IdsTest {
    private final UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(7);

    @Test
    void anIdLeadsBackToItsNumberAndNothingElseDoes() {
        int strangers = 0;
        for (int i = 0; i < 100_000; i++) {
            long number = i < 1000 ? i : random.nextLong(Ids.BOUND);
            String id = Ids.text(number);
            assertEquals(number, Ids.number(id));
            strangers += Ids.number(Ids.hex(random.nextLong())) < 0 ? 1 : 0;
        }
        assertTrue(strangers > 99_980, "taken for ours: " + (100_000 - strangers));
        String last = Ids.text(Ids.BOUND - 1);
        for (String no : new String[] {null, "", last.toUpperCase(Locale.ROOT), last + "0", "00000000000000g0"}) {
            assertEquals(-1, Ids.number(no));
        }
    }

    @Test
    void aTrysWorkIsItsOwnAndOnAverageTheRequests() {
        Works works = new Works(3, 0.5);
        double sum = 0;
        for (int request = 0; request < 20_000; request++) {
            works.put(request, 80_000_000, 1);
            sum += works.work(request, 4);
        }
        assertEquals(80e6, sum / 20_000, 80e6 * 0.02);
        assertEquals(works.work(9, 4), works.work(9, 4));
        assertNotEquals(works.work(9, 4), works.work(9, 5));
    }

    @Test
    void worksKnowsOnlyWhatAClientSentInItsForm() {
        Works works = new Works(3, 0);
        long form = Works.form("POST", "/a", new byte[] {1});
        works.put(1, 5_000_000, form);
        assertTrue(works.isForm(1, form));
        assertFalse(works.isForm(1, Works.form("POST", "/a", new byte[] {2})));
        assertFalse(works.isForm(2, form));
        for (int i = 0; i < Works.MOST; i++) {
            works.put(10 + i, 1, 0);
        }
        assertFalse(works.knows(1), "guards the heap");
    }
}
