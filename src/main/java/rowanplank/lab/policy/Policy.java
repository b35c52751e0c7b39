package rowanplank.lab.policy;

import rowanplank.balancer.BalancerApi.Actions;
import rowanplank.balancer.BalancerApi.Events;
import rowanplank.balancer.BalancerApi.Settings;

/** Something that can decide in place of the project's module, to be measured beside it; see {@link Policies}. */
public interface Policy {
    /** Lower case, with hyphens. */
    String name();

    /** What it does and where that is described, in a line. */
    String description();

    /** One node's, as its users would run it. */
    Events create(Settings settings, long seed, Actions actions, Extras extras);

    /**
     * Its choice of a server alone, for a module with all else of its own.
     *
     * @return null if it has none to be had alone
     */
    Choice choice(Settings settings, long seed, Extras extras);
}
