package routerfleet.data;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import routerfleet.config.FleetConfiguration;
import routerfleet.config.RouteConfig;
import routerfleet.config.RouteConfig.WeightedBackend;

/** Tests the lookup of routes and the weighted choice of backends. */
class RoutingTableTest {
    private static RouteConfig route(String name, String prefix, List<WeightedBackend> split) {
        return new RouteConfig(name, "Fleet.example", prefix, "safe", 100, 10, 0, "b", split, 1, true, false, false, 0);
    }

    private static RoutingTable table(RouteConfig... routes) {
        return new RoutingTable(new FleetConfiguration(1, List.of(routes), null, null, null), null);
    }

    @Test
    void theLongestMatchingPrefixOfTheHostWins() {
        RoutingTable table = table(route("root", "/", null), route("a", "/a/", null), route("ab", "/a/b/", null));
        assertThat(table.findRoute("fleet.example:80", "/a/b/c?x=/y/").config().name(), is("ab"));
        assertThat(table.findRoute("FLEET.example", "/a/bc").config().name(), is("a"));
        assertThat(table.findRoute("fleet.example", "/b").config().name(), is("root"));
        assertThat(table.findRoute("other.example", "/a/"), is(nullValue()));
        assertThat(table(route("a", "/a/", null)).findRoute("fleet.example", "/ab/"), is(nullValue()));
    }

    @Test
    void backendsAreChosenByWeight() {
        RoutingTable.Route route = table(route("a", "/a/", new ArrayList<>(List.of(new WeightedBackend("x", 1),
                new WeightedBackend("none", 0), new WeightedBackend("y", 3))))).findRoute("fleet.example", "/a/");
        assertThat(route.backend(0), is("x"));
        assertThat(route.backend(0.249), is("x"));
        assertThat(route.backend(0.251), is("y"));
        assertThat(route.backend(0.999), is("y"));
    }
}
