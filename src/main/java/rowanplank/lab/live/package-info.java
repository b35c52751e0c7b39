/**
 * A day's site on this machine's loopback, in real time: the same page servers, agents, clients and faults as in
 * virtual time, on the machine's sockets and clock, around real nodes. All of it is on one loop's thread, so that what
 * it shares needs no locks; how late that thread is with its timers is measured and told.
 *
 * <p>What can't be done to loopback or to a process that is not simulated is not played, and said: see
 * {@link rowanplank.lab.live.Unplayed}.
 */
package rowanplank.lab.live;
