package routerfleet.control;

import java.util.List;
import java.util.concurrent.TimeUnit;
import routerfleet.wire.PeerLink;
import routerfleet.wire.PeerMessage;
import routerfleet.wire.Scheduler;
import routerfleet.wire.SessionView;

/** Sends sessions, configurations and evacuations to connected data nodes, as they change and on request. */
final class DataNodeService {
    /** Changes within this time are sent together. */
    private static final long BATCH_DELAY_MS = 4;

    private final Scheduler scheduler;
    private final long epoch;
    private final SessionTable table;
    private final DataNodeConnections connections;
    private final ControlPeers peers;
    private final ReplicaGroup group;
    private final FreshnessTracker freshness;
    private final long warmupEndNanos;
    private byte[] earlierSessions = {};
    private boolean flushScheduled;

    /** @param warmupEndNanos until when the session table may still lack servers, on the scheduler's clock */
    DataNodeService(Scheduler scheduler, long epoch, SessionTable table, DataNodeConnections connections,
            ControlPeers peers, ReplicaGroup group, FreshnessTracker freshness, long warmupEndNanos) {
        this.scheduler = scheduler;
        this.epoch = epoch;
        this.table = table;
        this.connections = connections;
        this.peers = peers;
        this.group = group;
        this.freshness = freshness;
        this.warmupEndNanos = warmupEndNanos;
    }

    /** Sets the servers known before the start, encoded as in {@link PeerMessage.EarlierSessions}. */
    void setEarlierSessions(byte[] sessions) {
        earlierSessions = sessions;
    }

    private boolean isWarming() {
        return scheduler.nanoTime() - warmupEndNanos < 0;
    }

    /** Registers a data node's connection, and sends the sessions that it does not have yet. */
    void receivedHello(PeerLink link, PeerMessage.DataHello hello) {
        DataNodeConnections.Connection connection = connections.open(link, hello.ip());
        boolean known = hello.epoch() == epoch && hello.revision() <= table.revision();
        connection.sentRevision = known ? hello.revision() : 0;
        if (!known) {
            connection.sentRevision = table.revision();
            link.send(new PeerMessage.SessionChanges(epoch, table.revision(), true, table.changesAfter(0)));
        }
        if (hello.epoch() == 0 && isWarming() && earlierSessions.length > 0) {
            link.send(new PeerMessage.EarlierSessions(earlierSessions));
        }
        flush(connection);
    }

    /**
     * Records a poll and replies to it; the reply to a node without a configuration waits until this node's state is
     * fresh.
     */
    void receivedPoll(PeerLink link, PeerMessage.Poll poll) {
        DataNodeConnections.Connection connection = connections.find(link);
        if (connection == null) {
            return;
        }
        long now = scheduler.nanoTime();
        boolean becamePrimary = poll.primary() && !connection.primary;
        connections.recordPoll(connection, poll, now);
        if (becamePrimary) {
            connection.sentGeneration = poll.generation(); // a secondary connection was only sent this number
        }
        if (poll.generation() == 0) {
            Runnable reply = () -> replyToPoll(connection, poll, now);
            freshness.whenFresh(reply, reply); // it has just started, and serves nothing without the newest configuration
        } else {
            replyToPoll(connection, poll, now);
        }
    }

    /** @param arrivedNanos when the poll arrived, on the scheduler's clock */
    private void replyToPoll(DataNodeConnections.Connection connection, PeerMessage.Poll poll, long arrivedNanos) {
        long now = scheduler.nanoTime();
        connection.link.send(new PeerMessage.PollReply(poll.id(), group.generation(), freshness.ageMicros(arrivedNanos),
                isWarming(), connections.countActive(now), peers.connectedAddresses(), group.replicaAddresses(),
                group.evacuations()));
        connection.sentEvacuations = group.evacuations().revision();
        flush(connection);
    }

    /** Sends the committed configuration if it is newer than the known generation. */
    void sendConfiguration(PeerLink link, long knownGeneration) {
        if (group.generation() > knownGeneration) {
            link.send(group.committed().full());
        }
    }

    /** Schedules the sending of changes to all data nodes. */
    void scheduleFlush() {
        if (!flushScheduled) {
            flushScheduled = true;
            scheduler.schedule(this::flushAll, BATCH_DELAY_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void flushAll() {
        flushScheduled = false;
        connections.all().forEach(this::flush);
    }

    /** Returns the newest configuration, as a delta where the data node has the generation before it. */
    private PeerMessage configurationFor(DataNodeConnections.Connection connection) {
        PeerMessage.CommittedDelta delta = group.committed().delta();
        return delta != null && delta.base() == connection.sentGeneration ? delta : group.committed().full();
    }

    private void flush(DataNodeConnections.Connection connection) {
        if (connection.sentRevision < table.revision()) {
            List<SessionView> changes = table.changesAfter(connection.sentRevision);
            connection.sentRevision = table.revision();
            connection.link.send(new PeerMessage.SessionChanges(epoch, table.revision(), false, changes));
        }
        if (connection.sentEvacuations < group.evacuations().revision()) {
            connection.sentEvacuations = group.evacuations().revision();
            connection.link.send(new PeerMessage.EvacuationNotice(group.evacuations()));
        }
        boolean known = freshness.ageMicros(scheduler.nanoTime()) >= 0; // before, it may be an outdated one
        if (known && connection.hasPolled && connection.sentGeneration < group.generation()) {
            connection.link.send(connection.primary ? configurationFor(connection)
                    : new PeerMessage.ConfigNotice(group.generation()));
            connection.sentGeneration = group.generation();
        }
    }
}
