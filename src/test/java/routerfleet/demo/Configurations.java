package routerfleet.demo;

/** Configurations that tests send. */
public final class Configurations {
    private Configurations() { }

    /** One page route and two stream routes, one of which may be resumed; tenant one with key k1 and k2. */
    public static String whole(long generation) {
        return whole(generation, "\"k1\",\"k2\"", 0);
    }

    public static String whole(long generation, String keys, long rate) {
        return """
                {"generation":%d,"routes":[
                {"name":"pages","host":"fleet.example","path_prefix":"/pages/","type":"unsafe","timeout_ms":4000,
                 "target_latency_ms":400,"priority":0,"backend":"web","max_attempts":2,"public":false},
                {"name":"drafts","host":"fleet.example","path_prefix":"/drafts/","type":"streaming","timeout_ms":4000,
                 "target_latency_ms":400,"priority":1,"backend":"llm","max_attempts":1,"public":false,
                 "stream_resume":false,"gap_aim_ms":300},
                {"name":"briefs","host":"fleet.example","path_prefix":"/briefs/","type":"streaming","timeout_ms":4000,
                 "target_latency_ms":400,"priority":0,"backend":"llm","max_attempts":2,"public":false,
                 "stream_resume":true,"gap_aim_ms":300}],
                "backends":[{"name":"web","health_check":"/healthz","max_connections":90},
                 {"name":"llm","health_check":"/healthz","max_connections":90}],
                "limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":3000,
                 "idle_timeout_ms":15000},
                "tenants":[{"name":"one","api_keys":[%s],"priority":0,"unit":"token_count","uncached_tokens":100,
                 "rate_per_s":%d,"burst":%d}]}""".formatted(generation, keys, rate, rate);
    }
}
