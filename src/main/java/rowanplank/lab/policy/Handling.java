package rowanplank.lab.policy;

import java.util.function.LongFunction;

/**
 * What stands round a choice as its users usually run it. None of them holds back a cold server, refuses before its
 * servers do, or tells clients when to come back; where that breaks a rule of the site, it does.
 *
 * @param ejection by a seed
 * @param holds how long requests wait at most while the choice has no server for them, as a part of their aim; then
 *        they are refused
 */
record Handling(Retries retries, LongFunction<Ejection> ejection, double holds) {
    /** Envoy as Istio configures it. Its circuit breakers' bounds (2^32 - 1 in Istio) are never met. */
    static final Handling ISTIO = new Handling(Retries.ISTIO, seed -> new EnvoyOutliers(), 0);
    static final Handling NGINX = new Handling(Retries.NGINX, seed -> new NginxFails(), 0);
    static final Handling FINAGLE = new Handling(Retries.FINAGLE, FinagleAccrual::new, 0);
    static final Handling GRPC = new Handling(Retries.GRPC, GrpcConnections::new, 0);
    /** C3's: its paper has neither retries nor ejection; what never ran goes to the next in its order. */
    static final Handling C3 = new Handling(Retries.NEVER_RAN, seed -> Ejection.NONE, Double.POSITIVE_INFINITY);
    /** For one that knows all there is to know: whatever fails is tried elsewhere. */
    static final Handling OMNISCIENT = new Handling(Retries.ALWAYS, seed -> Ejection.NONE, 0.2);
}
