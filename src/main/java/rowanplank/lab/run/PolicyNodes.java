package rowanplank.lab.run;

import java.util.function.UnaryOperator;
import rowanplank.balancer.BalancerApi.Actions;
import rowanplank.balancer.BalancerApi.Events;
import rowanplank.balancer.BalancerApi.Settings;
import rowanplank.config.NodeConfig;
import rowanplank.decision.DecisionDriver;
import rowanplank.exchange.RequestContext;
import rowanplank.lab.policy.Policy;
import rowanplank.lab.site.Truth;
import rowanplank.metrics.RateLimitedLog;
import rowanplank.net.Loop;
import rowanplank.node.Node;

/** Makes the nodes of a day with a policy in place of the module. */
public final class PolicyNodes implements NodeFactory {
    private final Policy policy;

    public PolicyNodes(Policy policy) {
        this.policy = policy;
    }

    @Override
    public Node create(NodeConfig config, Loop loop, RateLimitedLog log) {
        return create(config, loop, log, null);
    }

    @Override
    public Node create(NodeConfig config, Loop loop, RateLimitedLog log, Truth truth) {
        NodeExtras extras = new NodeExtras(config, loop, truth);
        Node node = new Node(config, loop, log, new Module(extras));
        extras.reach(node::addressOf);
        return node;
    }

    /** The policy as a node knows it; what the node shows goes to the extras. */
    private final class Module implements DecisionDriver.ModuleFactory {
        private final NodeExtras extras;

        Module(NodeExtras extras) {
            this.extras = extras;
        }

        @Override
        public Events create(Settings settings, long seed, Actions actions) {
            return policy.create(settings, seed, actions, extras);
        }

        @Override
        public void requestAccepted(long request, RequestContext context) {
            extras.requestAccepted(request, context);
        }

        @Override
        public void responseReceived(long peer, UnaryOperator<String> field) {
            extras.responseReceived(peer, field);
        }
    }
}
