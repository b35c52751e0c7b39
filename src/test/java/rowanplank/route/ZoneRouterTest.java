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

/** Tests of {@link ZoneRouter}. */
class ZoneRouterTest {
    private static ZoneRouter route(int own, double price, int zones) {
        ZoneRouter route = new ZoneRouter(3, own, price);
        route.updateZones(IntStream.range(0, zones).boxed().collect(Collectors.toSet()));
        return route;
    }

    /**
     * Shares of a server must sum to the number of nodes whatever the number of zones; otherwise all other zones
     * together could overload a zone's servers.
     */
    @Property(seed = "81")
    void theSharesOfAServerSumToTheNumberOfNodes(@ForAll @IntRange(min = 2, max = 12) int zones,
            @ForAll @IntRange(min = 1, max = 9) int nodesOfEach) {
        double sum = 0;
        for (int zone = 0; zone < zones; zone++) {
            sum += nodesOfEach * route(zone, 0.08, zones).serverShare(0);
        }
        assertEquals(zones * nodesOfEach, sum, 1e-9); // less once the zone is slow
    }

    @Property(seed = "82")
    void withoutACostOrWithOneZoneAllServersAreOfferedAlike(@ForAll @IntRange(max = 9) int zone) {
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

    /**
     * In a crowded zone, for example one with several nodes, the extra shares must shrink before responses are late.
     */
    @Example
    void theOwnZonesExtraShareShrinksAsItGetsSlow() {
        ZoneRouter route = route(0, 0.08, 3);
        double before = route.serverShare(0);
        for (int i = 0; i < 200; i++) {
            route.recordLatency(1, 0.3);
        }
        assertEquals(before, route.serverShare(0), "the slowness of another zone must not matter");
        double least = before;
        for (double slow = 0.05; slow < 0.4; slow += 0.001) {
            route.recordLatency(0, slow);
            assertTrue(route.serverShare(0) <= least && route.serverShare(0) > least - 0.1,
                    "must shrink in small steps");
            least = route.serverShare(0);
        }
        assertEquals(1, least, 1.0 / 16);
        for (int i = 0; i < 500; i++) {
            route.recordLatency(0, 0.05);
        }
        assertEquals(before, route.serverShare(0), 1.0 / 16);
    }

    /** A node whose zone has no servers must get even shares, not the small shares of nodes of other zones. */
    @Example
    void whereTheOwnZoneHasNoServersSharesAreEven() {
        ZoneRouter route = new ZoneRouter(3, 7, 0.08);
        route.updateZones(Set.of(0, 1));
        assertEquals(1, route.serverShare(0));
        assertEquals(1, route.serverShare(1));
    }
}
