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
        assertEquals(0.08, SettingsReader.parse(SETTINGS.formatted("0.08")).module().crossZoneCost());
        assertEquals(0, SettingsReader.parse(SETTINGS.replace("cross_zone", "novel").formatted("1")).module()
                .crossZoneCost());
    }

    /** Guards one tenant's share against another's requests, and requests that name no tenant, or one that is not listed. */
    @Test
    void aTenantIsFoundByItsName() {
        SiteSettings none = SettingsReader.parse(SETTINGS.formatted("0"));
        assertEquals(0, none.tenant(null));
        assertEquals(0, none.tenant("anyone"));
        SiteSettings two = SettingsReader.parse(SETTINGS.formatted("0").replace("\"deductions\"",
                "\"tenants\": [{\"name\": \"north\"}, {\"name\": \"south\"}], \"deductions\""));
        assertEquals(1, two.tenant("south"));
        assertEquals(0, two.tenant("north"));
        assertEquals(2, two.tenant(null));
        assertEquals(2, two.tenant("South"));
    }

    @Test
    void twoOfOneNameAreRefused() {
        String two = "[{\"name\": \"x\", \"aim_ms\": 4, \"deadline_ms\": 9}, {\"name\": \"x\", \"aim_ms\": 4, \"deadline_ms\": 9}]";
        var e = assertThrows(ConfigException.class, () -> SettingsReader.parse("{\"classes\": " + two + "}"));
        assertTrue(e.getMessage().contains("classes[].name names x twice"), e.getMessage());
        e = assertThrows(ConfigException.class, () -> SettingsReader.parse(SETTINGS.formatted("0")
                .replace("\"deductions\"", "\"tenants\": " + two + ", \"deductions\"")));
        assertTrue(e.getMessage().contains("tenants[].name names x twice"), e.getMessage());
    }

    @Test
    void aPriceThatIsNoneIsRefusedByItsName() {
        for (String price : new String[] {"-0.01", "\"much\"", "1e999"}) {
            var e = assertThrows(ConfigException.class, () -> SettingsReader.parse(SETTINGS.formatted(price)));
            assertTrue(e.getMessage().contains("cross_zone"), e.getMessage());
        }
    }
}
