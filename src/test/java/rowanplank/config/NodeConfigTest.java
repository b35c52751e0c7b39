package rowanplank.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class NodeConfigTest {
    private static final String FILE = "{\"name\":\"n0\",\"listen\":\"127.0.0.1:1\",\"discovery\":\"127.0.0.1:2\"%s,"
            + "\"limits\":{\"body_bytes\":%s},\"settings\":{\"classes\":[{\"name\":\"a\",\"aim_ms\":1,\"deadline_ms\":2}]}}";

    private static NodeConfig read(String more, String bodyBytes, Map<String, String> environment) {
        return NodeConfig.read(environment, (name, most) -> String.format(FILE, more, bodyBytes));
    }

    @Test
    void theEnvironmentGoesBeforeTheFileAndADoorIsThereOnlyWhereOneIsNamed() {
        assertNull(read("", "1", Map.of("EDGE_CONFIG", "f")).admin());
        String door = ",\"admin_addr\":\"127.0.0.1:3\"";
        assertEquals(3, read(door, "1", Map.of("EDGE_CONFIG", "f")).admin().getPort());
        NodeConfig told = read(door, "1", Map.of("EDGE_CONFIG", "f", "EDGE_ADMIN_ADDR", "127.0.0.1:4", "EDGE_FD", "0"));
        assertEquals(4, told.admin().getPort());
        assertTrue(told.inheritsListener());
    }

    /** Each fault says where it stands: the variable, or the file and the key. */
    @ParameterizedTest
    @CsvSource(quoteCharacter = '`', value = {"EDGE_ADMIN_ADDR, here, EDGE_ADMIN_ADDR: no numeric address and port: here",
        "EDGE_LISTEN, :x, EDGE_LISTEN: no numeric address and port: :x",
        "EDGE_FD, 3, EDGE_FD: only descriptor 0 can be inherited: 3"})
    void aFaultOfTheEnvironmentNamesItsVariable(String variable, String value, String line) {
        Map<String, String> environment = Map.of("EDGE_CONFIG", "f", variable, value);
        assertEquals(line, assertThrows(ConfigException.class, () -> read("", "1", environment)).getMessage());
    }

    @ParameterizedTest
    @CsvSource(quoteCharacter = '`', delimiter = '|', value = {
        "`,\"admin_addr\":\"here\"` | 1 | EDGE_CONFIG: f: admin_addr: no numeric address and port: here",
        "`` | 0 | EDGE_CONFIG: f: limits.body_bytes is not within 1 and 33554432: 0",
        "`` | -5 | EDGE_CONFIG: f: limits.body_bytes is not within 1 and 33554432: -5",
        "`` | 33554433 | EDGE_CONFIG: f: limits.body_bytes is not within 1 and 33554432: 33554433"})
    void aFaultOfTheFileNamesItsKey(String more, String bodyBytes, String line) {
        Map<String, String> environment = Map.of("EDGE_CONFIG", "f");
        assertEquals(line, assertThrows(ConfigException.class, () -> read(more, bodyBytes, environment)).getMessage());
    }
}
