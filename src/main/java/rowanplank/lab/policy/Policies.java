package rowanplank.lab.policy;

import java.util.List;
import rowanplank.balancer.Balancer;
import rowanplank.balancer.BalancerApi.Actions;
import rowanplank.balancer.BalancerApi.Events;
import rowanplank.balancer.BalancerApi.Settings;
import rowanplank.config.ConfigException;

/** All policies by their names: the project's module, and its rivals. */
public final class Policies {
    /** The project's own module. */
    public static final String MODULE = "rowanplank";

    /** In the order in which tables show them. */
    private static final List<Policy> ALL = List.of(
            new Module(MODULE, "this project's module, docs/design.md"),
            new Rival("random", "any server; Envoy's Random, run as in Istio", (s, seed, e) -> new RandomChoice(seed),
                    Handling.ISTIO),
            new Rival("round-robin", "each in its turn; Envoy's Round robin, run as in Istio",
                    (s, seed, e) -> new RoundRobin(seed, SlowStart.NONE), Handling.ISTIO),
            new Rival("round-robin-slow-start", "the same with Envoy's slow start over the site's cold time",
                    (s, seed, e) -> new RoundRobin(seed, new SlowStart(s.rules().warmupMs())), Handling.ISTIO),
            new Rival("round-robin-nginx", "each in its turn, run as by nginx",
                    (s, seed, e) -> new RoundRobin(seed, SlowStart.NONE), Handling.NGINX),
            new Rival("least-request", "least requests of two choices; Envoy's Least request, run as in Istio",
                    (s, seed, e) -> new LeastRequest(seed, SlowStart.NONE), Handling.ISTIO),
            new Rival("least-request-slow-start", "the same with Envoy's slow start over the site's cold time",
                    (s, seed, e) -> new LeastRequest(seed, new SlowStart(s.rules().warmupMs())), Handling.ISTIO),
            new Rival("least-request-zone", "least-request with Envoy's zone aware routing",
                    (s, seed, e) -> new ZoneAware(s, ~seed, new LeastRequest(seed, SlowStart.NONE)), Handling.ISTIO),
            new Rival("peak-ewma", "peak EWMA of two choices; Finagle's p2cPeakEwma, run as by Finagle",
                    (s, seed, e) -> new PeakEwma(seed), Handling.FINAGLE),
            new Rival("weighted-round-robin", "weights by load reports; gRPC's client-side WRR, gRFC A58",
                    (s, seed, e) -> new WeightedRoundRobin(s, seed), Handling.GRPC),
            new Rival("c3", "C3, ranking and rate control; Suresh et al., NSDI 2015",
                    (s, seed, e) -> new C3(s, seed, true), Handling.C3),
            new Rival("c3-ranking", "C3's ranking without its rate control", (s, seed, e) -> new C3(s, seed, false),
                    Handling.C3),
            new Rival("prequal", "Prequal with servers of its own; Wydrowski et al., NSDI 2024; run as by gRPC",
                    (s, seed, e) -> new Prequal(seed, e, true), Handling.GRPC),
            new Rival("prequal-reports", "Prequal by the site's load reports alone",
                    (s, seed, e) -> new Prequal(seed, e, false), Handling.GRPC),
            new Rival("omniscient", "the server that would truly answer first",
                    (s, seed, e) -> new Omniscient(s, e, false), Handling.OMNISCIENT),
            new Rival("omniscient-near", "the same, in its own zone where that costs little",
                    (s, seed, e) -> new Omniscient(s, e, true), Handling.OMNISCIENT));

    /** A rival: a choice in its usual surroundings. */
    private record Rival(String name, String description, Choice.Maker maker, Handling handling) implements Policy {
        @Override
        public Events create(Settings settings, long seed, Actions actions, Extras extras) {
            return new Carrier(settings, seed, actions, choice(settings, seed, extras), handling);
        }

        @Override
        public Choice choice(Settings settings, long seed, Extras extras) {
            Choice choice = maker.create(settings, seed, extras);
            if (choice instanceof Extras.Listener listener) {
                extras.listen(listener);
            }
            return choice;
        }
    }

    private record Module(String name, String description) implements Policy {
        @Override
        public Events create(Settings settings, long seed, Actions actions, Extras extras) {
            return new Balancer(settings, seed, actions);
        }

        @Override
        public Choice choice(Settings settings, long seed, Extras extras) {
            return null;
        }
    }

    private Policies() { }

    /** In the order in which tables show them. */
    public static List<Policy> all() {
        return ALL;
    }

    /** @throws ConfigException if there is none, with one line that names all there are */
    public static Policy named(String name) {
        return ALL.stream().filter(p -> p.name().equals(name)).findFirst().orElseThrow(() -> new ConfigException(
                "no policy: " + name + "; there are "
                + String.join(", ", ALL.stream().map(Policy::name).toList())));
    }
}
