package rowanplank.decision;

import java.util.List;
import rowanplank.balancer.BalancerApi.Server;
import rowanplank.balancer.BalancerApi.Settings;

/**
 * Limits the pending attempts of this node at each server to its allocation of the fleet-wide limit. Each call
 * returns immediately and takes constant time.
 */
public interface ServerSlots {
    /** No fleet-wide limit: the decision module applies its own limit. */
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

    /**
     * Returns how many attempts may be pending at the server at once; negative if the decision module applies its own
     * limit.
     */
    double limit(long server);

    /**
     * Takes a slot for an attempt if there is one.
     *
     * @param worth the worth of the request's class
     * @return whether the attempt may begin; if so, {@link #release} must follow
     */
    boolean tryAcquire(long server, double worth);

    /**
     * Returns the slot of an attempt that has ended.
     *
     * @param serverKnows whether the server knows that the attempt has ended: it responded, or never got the request
     */
    void release(long server, boolean serverKnows);

    /**
     * Takes in a server list from discovery.
     *
     * @param changed the listed servers
     * @param complete whether the list is complete; otherwise it holds changes only
     * @param site the settings of the decision module
     */
    void updateServers(List<Server> changed, boolean complete, Settings site);

    /**
     * Sets the callback for slots that become available.
     *
     * @param changed run when there are slots at a server that had none before; never from within another call
     */
    void onSlotsAvailable(Runnable changed);
}
