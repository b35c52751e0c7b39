package rowanplank.lab.policy;

import java.util.List;
import java.util.SplittableRandom;
import rowanplank.balancer.BalancerApi.Request;
import rowanplank.balancer.BalancerApi.Server;

/**
 * Any server, each as likely as any other (Envoy, Supported load balancers: Random). It has no constants. O(1).
 */
final class RandomChoice implements Choice {
    private final SplittableRandom random;

    RandomChoice(long seed) {
        random = new SplittableRandom(seed);
    }

    @Override
    public void servers(double nowMs, List<Server> ready) { }

    @Override
    public Server choose(double nowMs, Request request, List<Server> candidates) {
        return candidates.get(random.nextInt(candidates.size()));
    }
}
