package rowanplank.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class SettingsReaderTest {
    private static final String SETTINGS =
            "{\"classes\": [{\"aim_ms\": 400, \"deadline_ms\": 1200}], \"deductions\": {\"cross_zone\": %s}}";

    @Test
    void thePriceOfCrossingZonesIsRead() {
        assertEquals(0.08, SettingsReader.parse(SETTINGS.formatted("0.08")).module().crossingPrice());
        assertEquals(0, SettingsReader.parse(SETTINGS.replace("cross_zone", "novel").formatted("1")).module()
                .crossingPrice());
    }

    @Test
    void aPriceThatIsNoneIsRefusedByItsName() {
        for (String price : new String[] {"-0.01", "\"much\"", "1e999"}) {
            var e = assertThrows(ConfigException.class, () -> SettingsReader.parse(SETTINGS.formatted(price)));
            assertTrue(e.getMessage().contains("cross_zone"), e.getMessage());
        }
    }
}
