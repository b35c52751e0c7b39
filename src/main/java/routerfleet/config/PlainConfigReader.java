package routerfleet.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Reads orders token by token, without the mapping and validation libraries, whose first use costs a small machine seconds
 * of waiting. It takes plain documents only: every known field has the JSON type that it is documented with and satisfies
 * the constraints of its record. For anything else it has no result, and {@link ConfigJson} and {@link ConfigRules} decide;
 * what it does read is what they would read.
 */
final class PlainConfigReader {
    private static final JsonFactory JSON = JsonFactory.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION).build();

    /** Thrown where a document is not plain; without a stack trace, since it only leads to the other reader. */
    private static final class NotPlainException extends IOException {
        private static final long serialVersionUID = 1;

        NotPlainException() {
            super("not plain");
        }

        @Override
        public synchronized Throwable fillInStackTrace() {
            return this;
        }
    }

    /** Reads one item from the parser, which is at the item's first token. */
    private interface ItemReader<T> {
        T read(JsonParser parser) throws IOException;
    }

    /** The lists of a configuration, and its limits; what is absent is null. */
    private static final class Items {
        private List<RouteConfig> routes;
        private List<BackendConfig> backends;
        private ClientLimits limits;
        private List<TenantConfig> tenants;
    }

    /** The names that a patch deletes. */
    private static final class Names {
        private List<String> routes = List.of();
        private List<String> backends = List.of();
        private List<String> tenants = List.of();
    }

    private PlainConfigReader() { }

    /**
     * Reads a whole configuration, or the result of a patch of the current one.
     *
     * @return null if the order is not plain
     */
    static FleetConfiguration read(ConfigOrder order, FleetConfiguration current) {
        try (JsonParser parser = JSON.createParser(order.body())) {
            FleetConfiguration read = order.kind() == ConfigOrder.Kind.REPLACE ? whole(parser) : patched(parser, current);
            require(parser.nextToken() == null);
            return read;
        } catch (IOException e) {
            return null;
        }
    }

    private static void require(boolean isPlain) throws NotPlainException {
        if (!isPlain) {
            throw new NotPlainException();
        }
    }

    private static FleetConfiguration whole(JsonParser parser) throws IOException {
        Items items = new Items();
        long generation = -1;
        require(parser.nextToken() == JsonToken.START_OBJECT);
        for (String name = parser.nextFieldName(); name != null; name = parser.nextFieldName()) {
            parser.nextToken();
            if (name.equals("generation")) {
                generation = count(parser);
            } else {
                readItems(name, parser, items);
            }
        }
        require(generation >= 0);
        return new FleetConfiguration(generation, items.routes, items.backends, items.limits, items.tenants);
    }

    /** Reads a field of a configuration; one that is not known is skipped. */
    private static void readItems(String name, JsonParser parser, Items items) throws IOException {
        switch (name) {
            case "routes" -> items.routes = list(parser, PlainConfigReader::route);
            case "backends" -> items.backends = list(parser, PlainConfigReader::backend);
            case "limits" -> items.limits = limits(parser);
            case "tenants" -> items.tenants = list(parser, PlainConfigReader::tenant);
            default -> parser.skipChildren();
        }
    }

    private static FleetConfiguration patched(JsonParser parser, FleetConfiguration current) throws IOException {
        Items upserted = new Items();
        Names deleted = new Names();
        long generation = -1;
        require(parser.nextToken() == JsonToken.START_OBJECT);
        for (String name = parser.nextFieldName(); name != null; name = parser.nextFieldName()) {
            parser.nextToken();
            switch (name) {
                case "generation" -> generation = count(parser);
                case "upsert" -> readUpserted(parser, upserted);
                case "delete" -> readDeleted(parser, deleted);
                default -> parser.skipChildren();
            }
        }
        require(generation >= 0);
        return new FleetConfiguration(generation,
                merged(current.routes(), deleted.routes, upserted.routes, RouteConfig::name),
                merged(current.backends(), deleted.backends, upserted.backends, BackendConfig::name),
                upserted.limits == null ? current.limits() : upserted.limits,
                merged(current.tenants(), deleted.tenants, upserted.tenants, TenantConfig::name));
    }

    /** Reads what a patch adds or replaces. */
    private static void readUpserted(JsonParser parser, Items items) throws IOException {
        require(parser.currentToken() == JsonToken.START_OBJECT);
        for (String name = parser.nextFieldName(); name != null; name = parser.nextFieldName()) {
            require(parser.nextToken() == (name.equals("limits") ? JsonToken.START_OBJECT : JsonToken.START_ARRAY));
            readItems(name, parser, items);
        }
    }

    private static void readDeleted(JsonParser parser, Names names) throws IOException {
        require(parser.currentToken() == JsonToken.START_OBJECT);
        for (String name = parser.nextFieldName(); name != null; name = parser.nextFieldName()) {
            parser.nextToken();
            List<String> deleted = list(parser, PlainConfigReader::text);
            switch (name) {
                case "routes" -> names.routes = deleted;
                case "backends" -> names.backends = deleted;
                case "tenants" -> names.tenants = deleted;
                default -> throw new NotPlainException();
            }
        }
    }

    private static <T> List<T> merged(List<T> current, List<String> deleted, List<T> upserted, Function<T, String> name) {
        Map<String, T> byName = new LinkedHashMap<>();
        current.forEach(item -> byName.put(name.apply(item), item));
        deleted.forEach(byName::remove);
        if (upserted != null) {
            upserted.forEach(item -> byName.put(name.apply(item), item));
        }
        return new ArrayList<>(byName.values());
    }

    // ---- items

    private static RouteConfig route(JsonParser parser) throws IOException {
        String routeName = null;
        String host = null;
        String pathPrefix = null;
        String type = null;
        String backend = null;
        List<RouteConfig.WeightedBackend> trafficSplit = null;
        long timeoutMs = 0;
        long targetLatencyMs = 0;
        long gapAimMs = 0;
        int priority = 0;
        int maxAttempts = 0;
        boolean isPublic = false;
        boolean sessionAffinity = false;
        boolean streamResume = false;
        require(parser.currentToken() == JsonToken.START_OBJECT);
        for (String name = parser.nextFieldName(); name != null; name = parser.nextFieldName()) {
            parser.nextToken();
            switch (name) {
                case "name" -> routeName = nonBlank(parser);
                case "host" -> host = nonBlank(parser);
                case "path_prefix" -> pathPrefix = pathPrefix(parser);
                case "type" -> type = textOrNull(parser);
                case "timeout_ms" -> timeoutMs = count(parser);
                case "target_latency_ms" -> targetLatencyMs = count(parser);
                case "priority" -> priority = smallCount(parser);
                case "backend" -> backend = textOrNull(parser);
                case "traffic_split" -> trafficSplit = listOrNull(parser, PlainConfigReader::weightedBackend);
                case "max_attempts" -> maxAttempts = smallCount(parser);
                case "public" -> isPublic = flag(parser);
                case "session_affinity" -> sessionAffinity = flag(parser);
                case "stream_resume" -> streamResume = flag(parser);
                case "gap_aim_ms" -> gapAimMs = count(parser);
                default -> parser.skipChildren();
            }
        }
        require(routeName != null && host != null && pathPrefix != null && timeoutMs > 0);
        return new RouteConfig(routeName, host, pathPrefix, type, timeoutMs, targetLatencyMs, priority, backend,
                trafficSplit, maxAttempts, isPublic, sessionAffinity, streamResume, gapAimMs);
    }

    private static RouteConfig.WeightedBackend weightedBackend(JsonParser parser) throws IOException {
        String backend = null;
        double weight = 0;
        require(parser.currentToken() == JsonToken.START_OBJECT);
        for (String name = parser.nextFieldName(); name != null; name = parser.nextFieldName()) {
            parser.nextToken();
            switch (name) {
                case "backend" -> backend = nonBlank(parser);
                case "weight" -> weight = amount(parser);
                default -> parser.skipChildren();
            }
        }
        require(backend != null);
        return new RouteConfig.WeightedBackend(backend, weight);
    }

    private static BackendConfig backend(JsonParser parser) throws IOException {
        String backendName = null;
        String healthCheck = null;
        int maxConnections = 0;
        BackendConfig.Engine engine = null;
        double warmupS = 0;
        double warmupPerS = 0;
        require(parser.currentToken() == JsonToken.START_OBJECT);
        for (String name = parser.nextFieldName(); name != null; name = parser.nextFieldName()) {
            parser.nextToken();
            switch (name) {
                case "name" -> backendName = nonBlank(parser);
                case "health_check" -> healthCheck = textOrNull(parser);
                case "max_connections" -> maxConnections = smallCount(parser);
                case "runtime" -> engine = parser.currentToken() == JsonToken.VALUE_NULL ? null : engine(parser);
                case "warmup_s" -> warmupS = amount(parser);
                case "warmup_per_s" -> warmupPerS = amount(parser);
                default -> parser.skipChildren();
            }
        }
        require(backendName != null);
        return new BackendConfig(backendName, healthCheck, maxConnections, engine, warmupS, warmupPerS);
    }

    private static BackendConfig.Engine engine(JsonParser parser) throws IOException {
        int capacity = 0;
        long kvCapacity = 0;
        int stride = 0;
        require(parser.currentToken() == JsonToken.START_OBJECT);
        for (String name = parser.nextFieldName(); name != null; name = parser.nextFieldName()) {
            parser.nextToken();
            switch (name) {
                case "capacity" -> capacity = smallCount(parser);
                case "kv_capacity" -> kvCapacity = count(parser);
                case "stride" -> stride = smallCount(parser);
                default -> parser.skipChildren();
            }
        }
        return new BackendConfig.Engine(capacity, kvCapacity, stride);
    }

    private static ClientLimits limits(JsonParser parser) throws IOException {
        int maxHeaderBytes = 0;
        int maxBodyBytes = 0;
        long headerTimeoutMs = 0;
        long idleTimeoutMs = 0;
        require(parser.currentToken() == JsonToken.START_OBJECT);
        for (String name = parser.nextFieldName(); name != null; name = parser.nextFieldName()) {
            parser.nextToken();
            switch (name) {
                case "max_header_bytes" -> maxHeaderBytes = smallCount(parser);
                case "max_body_bytes" -> maxBodyBytes = smallCount(parser);
                case "header_timeout_ms" -> headerTimeoutMs = count(parser);
                case "idle_timeout_ms" -> idleTimeoutMs = count(parser);
                default -> parser.skipChildren();
            }
        }
        return new ClientLimits(maxHeaderBytes, maxBodyBytes, headerTimeoutMs, idleTimeoutMs);
    }

    private static TenantConfig tenant(JsonParser parser) throws IOException {
        String tenantName = null;
        List<String> apiKeys = null;
        int priority = 0;
        String unit = null;
        double uncachedTokens = 0;
        double ratePerS = 0;
        double burst = 0;
        require(parser.currentToken() == JsonToken.START_OBJECT);
        for (String name = parser.nextFieldName(); name != null; name = parser.nextFieldName()) {
            parser.nextToken();
            switch (name) {
                case "name" -> tenantName = nonBlank(parser);
                case "api_keys" -> apiKeys = listOrNull(parser, PlainConfigReader::text);
                case "priority" -> priority = smallCount(parser);
                case "unit" -> unit = textOrNull(parser);
                case "uncached_tokens" -> uncachedTokens = amount(parser);
                case "rate_per_s" -> ratePerS = amount(parser);
                case "burst" -> burst = amount(parser);
                default -> parser.skipChildren();
            }
        }
        require(tenantName != null);
        return new TenantConfig(tenantName, apiKeys, priority, unit, uncachedTokens, ratePerS, burst);
    }

    // ---- values

    private static <T> List<T> listOrNull(JsonParser parser, ItemReader<T> items) throws IOException {
        return parser.currentToken() == JsonToken.VALUE_NULL ? null : list(parser, items);
    }

    private static <T> List<T> list(JsonParser parser, ItemReader<T> items) throws IOException {
        require(parser.currentToken() == JsonToken.START_ARRAY);
        List<T> read = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            read.add(items.read(parser));
        }
        return read;
    }

    private static String textOrNull(JsonParser parser) throws IOException {
        return parser.currentToken() == JsonToken.VALUE_NULL ? null : text(parser);
    }

    private static String text(JsonParser parser) throws IOException {
        require(parser.currentToken() == JsonToken.VALUE_STRING);
        return parser.getText();
    }

    private static String nonBlank(JsonParser parser) throws IOException {
        String text = text(parser);
        require(!text.isBlank() && !text.trim().isEmpty());
        return text;
    }

    /** A prefix that begins and ends with a slash, of visible ASCII characters. */
    private static String pathPrefix(JsonParser parser) throws IOException {
        String prefix = nonBlank(parser);
        require(prefix.charAt(0) == '/' && prefix.charAt(prefix.length() - 1) == '/');
        for (int i = 0; i < prefix.length(); i++) {
            require(prefix.charAt(i) > ' ' && prefix.charAt(i) < '\u007f');
        }
        return prefix;
    }

    private static boolean flag(JsonParser parser) throws IOException {
        JsonToken token = parser.currentToken();
        require(token == JsonToken.VALUE_TRUE || token == JsonToken.VALUE_FALSE);
        return token == JsonToken.VALUE_TRUE;
    }

    /** A whole number of at least 0. */
    private static long count(JsonParser parser) throws IOException {
        require(parser.currentToken() == JsonToken.VALUE_NUMBER_INT
                && parser.getNumberType() != JsonParser.NumberType.BIG_INTEGER);
        long count = parser.getLongValue();
        require(count >= 0);
        return count;
    }

    private static int smallCount(JsonParser parser) throws IOException {
        long count = count(parser);
        require(count <= Integer.MAX_VALUE);
        return (int) count;
    }

    /** A finite number of at least 0. */
    private static double amount(JsonParser parser) throws IOException {
        if (parser.currentToken() == JsonToken.VALUE_NUMBER_INT) {
            return count(parser);
        }
        require(parser.currentToken() == JsonToken.VALUE_NUMBER_FLOAT);
        double amount = parser.getDoubleValue();
        require(amount >= 0 && amount <= Double.MAX_VALUE);
        return amount;
    }
}
