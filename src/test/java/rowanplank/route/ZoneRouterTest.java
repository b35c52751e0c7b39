package rowanplank.route;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class ZoneRouterTest {
    private static ZoneRouter route(int own, double price, int zones) {
        ZoneRouter route = new ZoneRouter(3, own, price);
        route.updateZones(IntStream.range(0, zones).boxed().collect(Collectors.toSet()));
        return route;
    }

    /** Guards a zone's servers against the spill of all others together, whatever the number of zones. */
    @Property(seed = "81")
    void thePartsOfAServersNodesSumToTheNodes(@ForAll @IntRange(min = 2, max = 12) int zones,
            @ForAll @IntRange(min = 1, max = 9) int nodesOfEach) {
        double sum = 0;
        for (int zone = 0; zone < zones; zone++) {
            sum += nodesOfEach * route(zone, 0.08, zones).serverShare(0);
        }
        assertEquals(zones * nodesOfEach, sum, 1e-9); // and less once slow
    }

    @Property(seed = "82")
    void withoutAPriceOrWithOneZoneAllIsOfferedAlike(@ForAll @IntRange(max = 9) int zone) {
        assertEquals(0, route(3, 0, 5).zonePreference(zone));
        assertEquals(1, route(3, 0, 5).serverShare(zone));
        assertEquals(1, route(0, 0.08, 1).serverShare(zone));
    }

    @Example
    void theOwnZoneComesFirst() {
        ZoneRouter route = route(1, 0.08, 3);
        assertTrue(route.zonePreference(1) < route.zonePreference(0));
        assertEquals(route.zonePreference(0), route.zonePreference(2));
    }

    /** Guards a zone that crowds, as with several nodes in it: its extra parts go before answers are late. */
    @Example
    void theOwnZonesExtraPartsShrinkAsItGetsSlow() {
        ZoneRouter route = route(0, 0.08, 3);
        double before = route.serverShare(0);
        for (int i = 0; i < 200; i++) {
            route.recordLatency(1, 0.3);
        }
        assertEquals(before, route.serverShare(0), "another zone's slowness is none of this one's");
        double least = before;
        for (double slow = 0.05; slow < 0.4; slow += 0.001) {
            route.recordLatency(0, slow);
            assertTrue(route.serverShare(0) <= least && route.serverShare(0) > least - 0.1, "no cliff");
            least = route.serverShare(0);
        }
        assertEquals(1, least, 1.0 / 16);
        for (int i = 0; i < 500; i++) {
            route.recordLatency(0, 0.05);
        }
        assertEquals(before, route.serverShare(0), 1.0 / 16);
    }

    /** Guards a node whose zone has no servers: it must not be left with the small parts of a guest. */
    @Example
    void whereTheOwnZoneHasNoServersPartsAreEven() {
        ZoneRouter route = new ZoneRouter(3, 7, 0.08);
        route.updateZones(Set.of(0, 1));
        assertEquals(1, route.serverShare(0));
        assertEquals(1, route.serverShare(1));
    }
}
