package rowanplank.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import rowanplank.balancer.BalancerApi.Lifecycle;
import rowanplank.config.HostList.Member;

class HostListTest {
    private static final List<String> ZONES = List.of("a", "b");
    private static final String LIST = "{\"revision\":41,\"complete\":true,\"members\":[{\"id\":\"s-5be2a07c\","
            + "\"host_port\":\"127.0.0.18:7070\",\"locality\":\"b\",\"flavor\":\"m2\",\"cell\":3,\"phase\":\"draining\","
            + "\"size\":1.5,\"up_since_ms\":1764576000123}]}";

    @Example
    void anEntryIsReadIntoTheModulesTerms() {
        HostList list = HostList.parse(LIST, ZONES);
        Member m = list.members().get(0);
        assertEquals(41, list.revision());
        assertEquals("127.0.0.18:7070", Addresses.format(m.address()));
        assertEquals(1, m.server().zone());
        assertEquals(Lifecycle.DRAINING, m.server().lifecycle());
        assertEquals(1764576000123.0, m.server().startedAtMs());
    }

    /** Guards the choice of a server: one of a size that is no size would win every comparison, or none. */
    @Example
    void aSizeThatIsNoSizeIsClamped() {
        for (String size : List.of("1e300", "-1e300", "0", "100", "0.01")) {
            double share = HostList.parse(LIST.replace("\"size\":1.5", "\"size\":" + size), ZONES).members().get(0)
                    .server().weight();
            assertEquals(Math.min(100, Math.max(0.01, Double.parseDouble(size))), share);
        }
    }

    /** Guards against numbers in order of arrival: nodes would not agree on who is who. */
    @Example
    void aPeersNumberIsMadeOfItsNameAlone() {
        assertEquals(HostList.number("s-5be2a07c"), HostList.parse(LIST, ZONES).members().get(0).server().id());
        assertEquals(0x2cf24dba5fb0a30eL, HostList.number("hello"));
    }

    /** Guards the servers: a complete list whose members are unknown must not pass for one of none. */
    @Example
    void aCompleteListOfUnknownMembersIsMalformed() {
        String unknown = "{\"revision\":42,\"complete\":%s,\"members\":null}";
        assertThrows(ConfigException.class, () -> HostList.parse(unknown.formatted("true"), ZONES));
        assertEquals(List.of(), HostList.parse(unknown.formatted("false"), ZONES).members());
        assertEquals(List.of(), HostList.parse("{\"revision\":42,\"complete\":true,\"members\":[]}", ZONES).members());
    }

    @Property(seed = "31")
    void aCutListIsMalformed(@ForAll @IntRange(max = 240) int length) {
        String cut = LIST.substring(0, Math.min(length, LIST.length() - 1));
        assertThrows(ConfigException.class, () -> HostList.parse(cut, ZONES));
    }

    @Property(seed = "32")
    void garbageIsMalformedAndNothingWorse(@ForAll String garbage) {
        assertThrows(ConfigException.class, () -> HostList.parse(garbage, ZONES));
    }

    @Property(seed = "33")
    void garbageInsideAListThrowsNothingElse(@ForAll @IntRange(max = 180) int at, @ForAll String garbage) {
        try {
            HostList.parse(LIST.substring(0, at) + garbage + LIST.substring(at), ZONES);
        } catch (ConfigException e) {
            assertEquals(false, e.getMessage().isEmpty());
        }
    }

    /** Guards against an empty object being taken for a change that sets the version back. */
    @Example
    void whatListsNothingIsMalformed() {
        for (String text : List.of("{}", "[]", "{\"revision\":1,\"complete\":false}", LIST.replace("draining", "odd"),
                LIST.replace(":7070", ""), LIST.replace("127.0.0.18", "localhost"), LIST.replace("1.5", "1e999"))) {
            assertThrows(ConfigException.class, () -> HostList.parse(text, ZONES), text);
        }
    }
}
