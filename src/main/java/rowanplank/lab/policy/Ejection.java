package rowanplank.lab.policy;

import java.util.List;
import rowanplank.balancer.BalancerApi.Outcome;
import rowanplank.balancer.BalancerApi.Server;

/** Which of the ready servers are left out for a while, for what this node saw of them. */
interface Ejection {
    /** None ever is. */
    Ejection NONE = new Ejection() {
        @Override
        public List<Server> left(double nowMs, List<Server> ready) {
            return ready;
        }
    };

    /** These are ready from now on; what is known of others can be forgotten. */
    default void servers(double nowMs, List<Server> ready) { }

    /** Those that may be had. Where none is left, it says what the project does then: none, or all of them. */
    List<Server> left(double nowMs, List<Server> ready);

    /** A request goes to this one. */
    default void sent(double nowMs, long server) { }

    default void ended(double nowMs, long server, Outcome outcome) { }
}
