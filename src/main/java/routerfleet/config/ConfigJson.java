package routerfleet.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;

/** Configurations as JSON: reads them, merges changes by name, and keeps fields that are not known. */
public final class ConfigJson {
    private static final ObjectMapper MAPPER = new ObjectMapper()
            .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
    private static final String GENERATION = "generation";
    private static final String UPSERT = "upsert";
    private static final String DELETE = "delete";
    private static final String NAME = "name";

    private ConfigJson() { }

    /** The typed form of a whole configuration. */
    public static Either<ConfigFault, FleetConfiguration> read(byte[] document) {
        return tree(document).flatMap(ConfigJson::typed);
    }

    static Either<ConfigFault, FleetConfiguration> typed(JsonNode document) {
        try {
            return Either.right(MAPPER.treeToValue(document, FleetConfiguration.class));
        } catch (JsonProcessingException | IllegalArgumentException e) {
            return Either.left(ConfigFault.invalid("", "malformed: " + firstLine(e)));
        }
    }

    static Either<ConfigFault, ObjectNode> tree(byte[] body) {
        try {
            JsonNode node = MAPPER.readTree(body);
            if (!(node instanceof ObjectNode object)) {
                return Either.left(ConfigFault.invalid("", "is no JSON object"));
            }
            JsonNode generation = object.path(GENERATION);
            if (!generation.isIntegralNumber() || !generation.canConvertToLong()) {
                return Either.left(ConfigFault.invalid(GENERATION, "is no whole number"));
            }
            return Either.right(object);
        } catch (IOException e) {
            return Either.left(ConfigFault.invalid("", "can't be read whole: " + firstLine(e)));
        }
    }

    private static String firstLine(Exception e) {
        return String.valueOf(e.getMessage()).lines().findFirst().orElse("");
    }

    static byte[] bytes(JsonNode document) {
        try {
            return MAPPER.writeValueAsBytes(document);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a tree that was read can't be written", e);
        }
    }

    /** The document with a patch's items put in place of those of the same name, and its deletions taken out. */
    static Either<ConfigFault, ObjectNode> patched(ObjectNode document, ObjectNode patch) {
        for (String part : new String[] {DELETE, UPSERT}) {
            if (patch.has(part) && !patch.get(part).isObject()) {
                return Either.left(ConfigFault.invalid(part, "is no object of lists"));
            }
        }
        // Items are shared with the document, and never changed.
        ObjectNode result = MAPPER.createObjectNode();
        result.setAll(document);
        result.set(GENERATION, patch.get(GENERATION));
        for (Map.Entry<String, JsonNode> list : patch.path(DELETE).properties()) {
            if (!list.getValue().isArray()) {
                return Either.left(ConfigFault.invalid(DELETE + "." + list.getKey(), "is no list of names"));
            }
            delete(result, list.getKey(), list.getValue());
        }
        for (Map.Entry<String, JsonNode> list : patch.path(UPSERT).properties()) {
            if (list.getValue().isObject()) {
                result.set(list.getKey(), list.getValue());
            } else if (list.getValue().isArray()) {
                upsert(result, list.getKey(), list.getValue());
            } else {
                return Either.left(ConfigFault.invalid(UPSERT + "." + list.getKey(), "is no list of items"));
            }
        }
        return Either.right(result);
    }

    private static void delete(ObjectNode document, String list, JsonNode names) {
        Map<String, JsonNode> items = byName(document, list);
        names.forEach(name -> items.remove(name.asText()));
        put(document, list, items);
    }

    private static void upsert(ObjectNode document, String list, JsonNode changed) {
        Map<String, JsonNode> items = byName(document, list);
        changed.forEach(item -> items.put(item.path(NAME).asText(), item));
        put(document, list, items);
    }

    private static Map<String, JsonNode> byName(ObjectNode document, String list) {
        Map<String, JsonNode> items = new LinkedHashMap<>();
        document.path(list).forEach(item -> items.put(item.path(NAME).asText(), item));
        return items;
    }

    private static void put(ObjectNode document, String list, Map<String, JsonNode> items) {
        ArrayNode array = document.putArray(list);
        items.values().forEach(array::add);
    }
}
