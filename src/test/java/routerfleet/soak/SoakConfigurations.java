package routerfleet.soak;

import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Configurations with the routes of {@link SoakClient}. */
final class SoakConfigurations {
    /** How many routes each configuration has at least. */
    static final int CLIENT_ROUTES = 5;

    private static final String IDLE_ROUTE = """
            {"name":"idle-%s","host":"fleet.example","path_prefix":"/idle-%s/",
             "type":"safe","timeout_ms":3000,"target_latency_ms":400,"priority":0,"backend":"web","max_attempts":2,
             "public":false}""";

    private static final String PATCH = """
            {"generation":%d,"upsert":{"routes":[%s]}}""";

    private static final String ROUTES = """
            {"generation":%d,"routes":[
            {"name":"pages","host":"fleet.example","path_prefix":"/pages/","type":"unsafe","timeout_ms":1500,
             "target_latency_ms":300,"priority":2,"backend":"web","max_attempts":1,"public":false},
            {"name":"notes","host":"fleet.example","path_prefix":"/notes/","type":"safe","timeout_ms":3000,
             "target_latency_ms":300,"priority":2,"backend":"web","max_attempts":2,"public":false},
            {"name":"drafts","host":"fleet.example","path_prefix":"/drafts/","type":"streaming","timeout_ms":4000,
             "target_latency_ms":500,"priority":1,"backend":"llm","max_attempts":1,"public":false,
             "stream_resume":false,"gap_aim_ms":300},
            {"name":"briefs","host":"fleet.example","path_prefix":"/briefs/","type":"streaming","timeout_ms":6000,
             "target_latency_ms":500,"priority":0,"backend":"llm","max_attempts":2,"public":false,
             "stream_resume":true,"gap_aim_ms":300},
            {"name":"solos","host":"fleet.example","path_prefix":"/solos/","type":"streaming","timeout_ms":8000,
             "target_latency_ms":500,"priority":0,"backend":"solo","max_attempts":2,"public":false,
             "stream_resume":true,"gap_aim_ms":300}%s],
            "backends":[{"name":"web","max_connections":400},{"name":"llm","max_connections":400},
             {"name":"solo","max_connections":400}],
            "limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":3000,
             "idle_timeout_ms":15000},
            "tenants":[{"name":"one","api_keys":["k1"],"priority":0,"unit":"token_count","uncached_tokens":10,
             "rate_per_s":0,"burst":0}]}""";

    private SoakConfigurations() { }

    /** A patch that adds a route without clients. */
    static String idleRoute(long generation) {
        return PATCH.formatted(generation, IDLE_ROUTE.formatted(generation, generation));
    }

    /** A whole configuration. @param idleRoutes how many routes without clients it has besides the others */
    static String routes(long generation, int idleRoutes) {
        String idle = IntStream.range(0, idleRoutes).mapToObj(i -> generation + "-" + i)
                .map(name -> ",\n" + IDLE_ROUTE.formatted(name, name)).collect(Collectors.joining());
        return ROUTES.formatted(generation, idle);
    }
}
