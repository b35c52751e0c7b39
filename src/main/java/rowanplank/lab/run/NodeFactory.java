package rowanplank.lab.run;

import rowanplank.config.NodeConfig;
import rowanplank.lab.site.Truth;
import rowanplank.metrics.RateLimitedLog;
import rowanplank.net.Loop;
import rowanplank.node.Node;

/** Makes the nodes of a day. Another one than the usual puts another module in, or something round the loop. */
public interface NodeFactory {
    NodeFactory USUAL = Node::new;

    Node create(NodeConfig config, Loop loop, RateLimitedLog log);

    /** @param truth what is true of the day's servers, for modules that no real node can have */
    default Node create(NodeConfig config, Loop loop, RateLimitedLog log, Truth truth) {
        return create(config, loop, log);
    }
}
