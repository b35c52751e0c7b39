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

class RouteTest {
    private static Route route(int own, double price, int zones) {
        Route route = new Route(3, own, price);
        route.servers(IntStream.range(0, zones).boxed().collect(Collectors.toSet()));
        return route;
    }

    /** Guards a zone's servers against the spill of all others together, whatever the number of zones. */
    @Property(seed = "81")
    void thePartsOfAServersNodesSumToTheNodes(@ForAll @IntRange(min = 2, max = 12) int zones,
            @ForAll @IntRange(min = 1, max = 9) int nodesOfEach) {
        double sum = 0;
        for (int zone = 0; zone < zones; zone++) {
            sum += nodesOfEach * route(zone, 0.08, zones).parts(0);
        }
        assertEquals(zones * nodesOfEach, sum, 1e-9); // and less once slow
    }

    @Property(seed = "82")
    void withoutAPriceOrWithOneZoneAllIsOfferedAlike(@ForAll @IntRange(max = 9) int zone) {
        assertEquals(0, route(3, 0, 5).rank(zone));
        assertEquals(1, route(3, 0, 5).parts(zone));
        assertEquals(1, route(0, 0.08, 1).parts(zone));
    }

    @Example
    void theOwnZoneComesFirst() {
        Route route = route(1, 0.08, 3);
        assertTrue(route.rank(1) < route.rank(0));
        assertEquals(route.rank(0), route.rank(2));
    }

    /** Guards a zone that crowds, as with several nodes in it: its extra parts go before answers are late. */
    @Example
    void theOwnZonesExtraPartsShrinkAsItGetsSlow() {
        Route route = route(0, 0.08, 3);
        double before = route.parts(0);
        for (int i = 0; i < 200; i++) {
            route.answered(1, 0.3);
        }
        assertEquals(before, route.parts(0), "another zone's slowness is none of this one's");
        double least = before;
        for (double slow = 0.05; slow < 0.4; slow += 0.001) {
            route.answered(0, slow);
            assertTrue(route.parts(0) <= least && route.parts(0) > least - 0.1, "no cliff");
            least = route.parts(0);
        }
        assertEquals(1, least, 1.0 / 16);
        for (int i = 0; i < 500; i++) {
            route.answered(0, 0.05);
        }
        assertEquals(before, route.parts(0), 1.0 / 16);
    }

    /** Guards a node whose zone has no servers: it must not be left with the small parts of a guest. */
    @Example
    void whereTheOwnZoneHasNoServersPartsAreEven() {
        Route route = new Route(3, 7, 0.08);
        route.servers(Set.of(0, 1));
        assertEquals(1, route.parts(0));
        assertEquals(1, route.parts(1));
    }
}
