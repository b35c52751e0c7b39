package routerfleet.control;

import java.util.List;
import java.util.concurrent.TimeUnit;
import routerfleet.wire.PeerLink;
import routerfleet.wire.PeerMessage;
import routerfleet.wire.Scheduler;
import routerfleet.wire.SessionView;

/** Tells data nodes of sessions, configurations and evacuations, as they change and when asked. */
final class DataNodeService {
    /** Changes within this time go out together. */
    private static final long GATHER_MS = 4;

    private final Scheduler scheduler;
    private final long epoch;
    private final SessionTable table;
    private final DataNodeConnections nodes;
    private final ControlPeers peers;
    private final ReplicaGroup group;
    private final FreshnessTracker freshness;
    private final long warmUntilNanos;
    private byte[] earlierSessions = {};
    private boolean flushPlanned;

    /** @param warmUntilNanos until when the session table may still lack servers, on the scheduler's clock */
    DataNodeService(Scheduler scheduler, long epoch, SessionTable table, DataNodeConnections nodes, ControlPeers peers,
            ReplicaGroup group, FreshnessTracker freshness, long warmUntilNanos) {
        this.scheduler = scheduler;
        this.epoch = epoch;
        this.table = table;
        this.nodes = nodes;
        this.peers = peers;
        this.group = group;
        this.freshness = freshness;
        this.warmUntilNanos = warmUntilNanos;
    }

    /** Takes the servers known before the start, as {@link PeerMessage.EarlierSessions} carries them. */
    void setEarlierSessions(byte[] sessions) {
        earlierSessions = sessions;
    }

    private boolean isWarming() {
        return scheduler.nanoTime() - warmUntilNanos < 0;
    }

    void receivedHello(PeerLink link, PeerMessage.DataHello hello) {
        DataNodeConnections.Connection session = nodes.open(link, hello.ip());
        boolean known = hello.epoch() == epoch && hello.revision() <= table.revision();
        session.sentRevision = known ? hello.revision() : 0;
        if (!known) {
            session.sentRevision = table.revision();
            link.send(new PeerMessage.SessionChanges(epoch, table.revision(), true, table.changesAfter(0)));
        }
        if (hello.epoch() == 0 && isWarming() && earlierSessions.length > 0) {
            link.send(new PeerMessage.EarlierSessions(earlierSessions));
        }
        flush(session);
    }

    void receivedPoll(PeerLink link, PeerMessage.Poll poll) {
        DataNodeConnections.Connection session = nodes.find(link);
        if (session == null) {
            return;
        }
        long now = scheduler.nanoTime();
        boolean becamePrimary = poll.primary() && !session.primary;
        nodes.recordPoll(session, poll, now);
        if (becamePrimary) {
            session.sentGeneration = poll.generation(); // so far it has only been told the number
        }
        if (poll.generation() == 0) {
            Runnable answer = () -> answer(session, poll, now);
            freshness.whenFresh(answer, answer); // it has just started, and serves nothing before it knows the newest
        } else {
            answer(session, poll, now);
        }
    }

    /** @param arrivedNanos when the question came, on the scheduler's clock */
    private void answer(DataNodeConnections.Connection session, PeerMessage.Poll poll, long arrivedNanos) {
        long now = scheduler.nanoTime();
        session.link.send(new PeerMessage.PollReply(poll.id(), group.generation(), freshness.ageMicros(arrivedNanos),
                isWarming(), nodes.countActive(now), peers.connectedAddresses(), group.replicaAddresses(), group.evacuations()));
        session.sentEvacuations = group.evacuations().revision();
        flush(session);
    }

    void sendConfiguration(PeerLink link, long knownGeneration) {
        if (group.generation() > knownGeneration) {
            link.send(group.committed().full());
        }
    }

    /** Something has changed that data nodes have to hear of. */
    void scheduleFlush() {
        if (!flushPlanned) {
            flushPlanned = true;
            scheduler.schedule(this::flushAll, GATHER_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void flushAll() {
        flushPlanned = false;
        nodes.all().forEach(this::flush);
    }

    /** The newest configuration: what has changed, for one that has the generation before. */
    private PeerMessage committedFor(DataNodeConnections.Connection session) {
        PeerMessage.CommittedDelta delta = group.committed().delta();
        return delta != null && delta.base() == session.sentGeneration ? delta : group.committed().full();
    }

    private void flush(DataNodeConnections.Connection session) {
        if (session.sentRevision < table.revision()) {
            List<SessionView> changes = table.changesAfter(session.sentRevision);
            session.sentRevision = table.revision();
            session.link.send(new PeerMessage.SessionChanges(epoch, table.revision(), false, changes));
        }
        if (session.sentEvacuations < group.evacuations().revision()) {
            session.sentEvacuations = group.evacuations().revision();
            session.link.send(new PeerMessage.EvacuationNotice(group.evacuations()));
        }
        boolean known = freshness.ageMicros(scheduler.nanoTime()) >= 0; // before, it may be any earlier configuration
        if (known && session.hasPolled && session.sentGeneration < group.generation()) {
            session.link.send(session.primary ? committedFor(session) : new PeerMessage.ConfigNotice(group.generation()));
            session.sentGeneration = group.generation();
        }
    }
}
