package rowanplank.decision;

import java.util.List;
import rowanplank.balancer.BalancerApi.Server;
import rowanplank.balancer.BalancerApi.Settings;

/**
 * How many tries this node may have at each peer at once, where that is not the module's own choice: its parts of the
 * fleet's budgets. Each question is answered at once, at constant cost.
 */
public interface ServerSlots {
    /** None: the module keeps to its own bound. */
    ServerSlots NONE = new ServerSlots() {
        @Override
        public double limit(long server) {
            return -1;
        }

        @Override
        public boolean tryAcquire(long server, double worth) {
            return true;
        }

        @Override
        public void release(long server, boolean serverKnows) { }

        @Override
        public void updateServers(List<Server> changed, boolean complete, Settings site) { }

        @Override
        public void onSlotsAvailable(Runnable changed) { }
    };

    /** So many at once; below zero where the module keeps to its own bound. */
    double limit(long server);

    /** Whether a try may begin now: if so, {@link #release} follows. @param worth of its request's class */
    boolean tryAcquire(long server, double worth);

    /** A try is over. @param heard whether the peer knows: it answered, or never had it */
    void release(long server, boolean serverKnows);

    /** Peers as discovery tells of them. @param complete whether they are all */
    void updateServers(List<Server> changed, boolean complete, Settings site);

    /** @param changed run when there are places at a peer at which there were none, never within another call */
    void onSlotsAvailable(Runnable changed);
}
