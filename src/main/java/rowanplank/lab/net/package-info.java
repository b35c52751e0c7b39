/**
 * A network of machines in virtual time, on which whole nodes and their site run unchanged: a {@link SimProcess}
 * is a {@link rowanplank.net.Loop}, and its connections are Jetty end points. The table of {@code TcpTest} is
 * played on real loopback sockets and here, and must end alike.
 *
 * <h2>What is there</h2>
 * {@link SimNetwork} has machines, their addresses, and a {@link Link} for each pair of halls and direction, with
 * one more place for all clients. A {@link SimMachine} has addresses, files and processes. A {@link SimProcess}
 * has a thread's worth of work, sockets and timers, and their bounds ({@link Process}).
 *
 * <h2>What of TCP is kept</h2>
 * <ul>
 * <li>The handshake takes one round trip. SYN and SYN-ACK can be lost; SYN is sent again after 1, 2, 4 ... 32 s,
 * then the opening fails. A port where nobody listens refuses by RST.
 * <li>A listener's queue holds one connection more than its backlog, as Linux's does. While it is full, SYNs are
 * dropped, and so is the last step of a handshake: that client believes itself connected, and what it sends is
 * sent again until there is room. A listener that closes resets what waits in its queue.
 * <li>Bytes arrive in order and once. What is lost, or comes to a machine that is silent, is sent again after 0.2
 * s and two latencies, then twice that, up to 120 s; after 15 tries without any success the connection has failed.
 * All that is sent behind it waits with it.
 * <li>Each side takes 128 KiB into its send buffer and grants 128 KiB of receive buffer. Word that bytes have been
 * read goes back with what is sent, or by itself once a quarter of the buffer was read.
 * <li>Both directions end apart from each other (FIN). What was written before a close still goes out after it.
 * <li>A close with received bytes unread, the death of a process, and bytes that come to a closed connection or to
 * one that is no more, each send RST. It is sent once, so it can be lost. Bytes that came before it can still be
 * read; bytes that wait to be sent are lost with it.
 * <li>A silent machine's processes run on. Their connections stay open at both ends; when it is heard again, what
 * is still being sent again arrives, or is answered by RST where the connection is no more.
 * <li>When an address moves to another machine, what is sent to it comes there. Connections opened to it before
 * are reset by that machine; what the old machine still sends from it is lost.
 * </ul>
 *
 * <h2>What is not</h2>
 * Bandwidth, congestion control and fast retransmission: a write of any length is on the way at once, as far as
 * the window goes, and one lost packet of it delays all of it by a time-out. Selective acknowledgement: with one
 * direction cut, data that goes the other way arrives, while its sender hears of no reading. Waiting states after
 * a close, keep-alive, Nagle's delay, path MTU, ICMP. A killed process resets connections that a real system would
 * close by FIN where nothing is unread: the platform says reset. Descriptors used up make no process spin: what
 * waits to be accepted is accepted when one becomes free.
 *
 * <h2>Datagrams</h2>
 * Each takes a time of its own, drawn from the network's range, so they overtake each other. They are lost as
 * packets are, doubled as often as the network of itself loses one, and dropped where nobody is bound, where they
 * are longer than the receiver takes, or where 256 wait for a process. One sent to a group's address goes to each
 * member.
 *
 * <h2>Order</h2>
 * All is entered in the world's agenda, and of two things at one instant the one that was entered first comes
 * first. With a process that has time, a task that is due at an instant runs at that instant, in order of entry:
 * timers when they are due, {@code execute} after all that was there for the present instant, and a connection's
 * readiness together with the arrival that brings it. While a process is busy or paused, what is due waits in the
 * order in which it became due; a timer that waits so can still be cancelled. A connection that comes up in the
 * very instant of its time-out has failed, for the time-out was entered first. Nothing is ordered by hash or
 * identity, and chance comes from one named source a direction of a pair of halls.
 *
 * <h2>Cost</h2>
 * A message on an open connection is one entry of the agenda and two copies of its bytes; a handshake is five
 * entries, of which two are struck out. Opening, closing, listening and timers are O(1) beside the agenda's O(log
 * n). A silent machine's connection costs one entry a try to send again. Nothing is held for a process that has
 * ended but what its system still sends.
 */
package rowanplank.lab.net;
