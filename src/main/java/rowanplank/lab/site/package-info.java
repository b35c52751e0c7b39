/**
 * The emulated site that nodes serve: page servers ({@link rowanplank.lab.site.PageServer}, and what their machines
 * make of their work, {@link rowanplank.lab.site.ServerModel}) and discovery ({@link rowanplank.lab.site.Roster}, and
 * an agent a node, {@link rowanplank.lab.site.DiscoveryAgent}), as the platform's pages describe them. All of it is
 * written against {@link rowanplank.net.Loop}, so that it runs in virtual time and on real sockets alike, and speaks
 * HTTP with a reader of its own, so that no fault of the node's codec is hidden by the same fault here.
 *
 * <p>What happens is told as {@link rowanplank.lab.trace.Event}s. Chance comes only from the sources that are handed
 * in, time only from the loop.
 */
package rowanplank.lab.site;
