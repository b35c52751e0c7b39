/**
 * The clients of the laboratory: what they want and when ({@link rowanplank.lab.client.Arrivals}, drawn ahead), the
 * fronts that carry it to the nodes ({@link rowanplank.lab.client.Front}), and clients that mean no good
 * ({@link rowanplank.lab.client.BadClients}). All but the drawing runs on a {@link rowanplank.net.Loop}, in virtual
 * time or on the machine's own sockets, and tells what it sees to a {@link rowanplank.lab.trace.Trace}; it shares no
 * code with the node, whose faults it is there to see.
 */
package rowanplank.lab.client;
