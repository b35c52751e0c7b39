/**
 * An open-loop load on real sockets: the laboratory's clients ({@link rowanplank.lab.client}) on threads of their own,
 * each with its own loop, and what they measure. Requests come when they are due, whatever has become of earlier ones,
 * and their time counts from then (Tene, <em>How not to measure latency</em>, 2013: whoever waits for an answer before
 * the next request, or counts from the sending, leaves out those that a stall kept from being sent). How late the tool
 * itself was is measured beside it, since it would else pass for the server's time.
 */
package rowanplank.lab.load;
