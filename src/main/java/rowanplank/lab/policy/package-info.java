/**
 * Rival policies: what a node's users would have choose its servers in place of the project's own module, each from
 * its published description. For the laboratory only.
 *
 * <p>A {@link rowanplank.lab.policy.Choice} chooses one of the servers that may be had, and learns. What stands round
 * it is the {@link rowanplank.lab.policy.Carrier}: requests, tries, drains, deadlines; and a
 * {@link rowanplank.lab.policy.Handling}: the retries and the ejection that the rival's users usually have. So the two
 * comparisons are kept apart: a choice alone can be put into the module, and a {@link rowanplank.lab.policy.Policy} is
 * a choice as it is usually run.
 *
 * <p>All is one node's, on its one thread; time comes as milliseconds on the node's clock, chance from its seed.
 */
package rowanplank.lab.policy;
