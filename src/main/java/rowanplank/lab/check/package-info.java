/**
 * The rules of the platform, checked on the event stream of a day alone ({@link rowanplank.lab.trace.Event}); nothing
 * here uses a node's code. {@link rowanplank.lab.check.Rules} is told all events and gives a
 * {@link rowanplank.lab.check.Verdict}: {@link rowanplank.lab.check.Break}s of each
 * {@link rowanplank.lab.check.Rule}, how often each {@link rowanplank.lab.check.Excuse} was granted, and
 * {@link rowanplank.lab.check.Count}s of what only has a price.
 *
 * <p>{@code Picture} holds what the events have told of nodes, servers, lists and faults, {@code Requests} the requests
 * that can still matter; each rule is a {@code Check} with its formula, which asks the two and changes neither. A
 * request is judged once nothing can come any more that matters to it, since events come in the order in which they are
 * seen, and the rules ask when things were sent.
 */
package rowanplank.lab.check;
