package rowanplank.decision;

import java.util.List;
import rowanplank.balancer.BalancerApi.Server;
import rowanplank.balancer.BalancerApi.Settings;

/**
 * How many tries this node may have at each peer at once, where that is not the module's own choice: its parts of the
 * fleet's budgets. Each question is answered at once, at constant cost.
 */
public interface Places {
    /** None: the module keeps to its own bound. */
    Places NONE = new Places() {
        @Override
        public double at(long server) {
            return -1;
        }

        @Override
        public boolean begin(long server, double worth) {
            return true;
        }

        @Override
        public void end(long server, boolean heard) { }

        @Override
        public void servers(List<Server> changed, boolean complete, Settings site) { }

        @Override
        public void usable(Runnable changed) { }
    };

    /** So many at once; below zero where the module keeps to its own bound. */
    double at(long server);

    /** Whether a try may begin now: if so, {@link #end} follows. @param worth of its request's class */
    boolean begin(long server, double worth);

    /** A try is over. @param heard whether the peer knows: it answered, or never had it */
    void end(long server, boolean heard);

    /** Peers as discovery tells of them. @param complete whether they are all */
    void servers(List<Server> changed, boolean complete, Settings site);

    /** @param changed run when there are places at a peer at which there were none, never within another call */
    void usable(Runnable changed);
}
