package rowanplank.agreement;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * One member of a Raft group, which keeps a replicated log (Ongaro and Ousterhout, 2014; Ongaro's thesis, 2014).
 * Beyond basic Raft it has pre-vote, a leader that steps down when it loses contact with a majority, leadership
 * confirmation by heartbeat rounds, snapshots transferred in chunks, voter changes by single steps or by joint
 * consensus, and leadership transfer.
 *
 * <p>Guarantees, even if messages are lost, delayed, duplicated or reordered and processes stall or stop: there is at
 * most one leader per term; an entry passed to {@link Actions#committed} stays at that index on every voter; a round
 * reported to {@link Actions#roundConfirmed} was answered by a majority that had not seen a higher term when the round
 * began. Assumptions: whatever {@link #onStored} reported as written survives a restart, and only one voter uses a
 * name at a time. Time affects liveness only, never safety.
 *
 * <p>Limits: {@link Settings#maxUncommitted} uncommitted entries; {@value #MAX_HELD_MESSAGES} messages waiting for the
 * disk, beyond which the oldest are dropped as if they had been lost; {@value #MAX_SNAPSHOT_BYTES} bytes per snapshot.
 * The log behind the snapshot grows until the owner calls {@link #compact}. A call costs O(voters) plus the entries it
 * moves.
 */
public class RaftNode {
    /** The largest snapshot that a voter accepts. */
    public static final int MAX_SNAPSHOT_BYTES = 8 << 20;
    private static final int MAX_HELD_MESSAGES = 1000;
    /** The limit of unacknowledged messages with entries per peer. */
    private static final int MAX_APPENDS_IN_FLIGHT = 8;
    /** Round requests that arrive within this time of each other are merged into one round. */
    private static final Duration ROUND_BATCH_DELAY = Duration.ofMillis(3);
    /**
     * A voter that can reach a majority, but has not heard of a leader since its start, starts an election after a
     * random part of this time.
     */
    private static final Duration FIRST_ELECTION_JITTER = Duration.ofMillis(40);
    /** For how long a leader counts as new, from its election or from when this node first hears it. */
    private static final Duration NEW_LEADER_PERIOD = Duration.ofSeconds(6);
    /** How long a voter holds back its own election in favor of another candidate that asked first. */
    private static final Duration YIELD_DURATION = Duration.ofMillis(250);
    /**
     * How often a voter yields like this. Then it starts an election anyway, so that it does not wait forever for a
     * candidate that cannot win.
     */
    private static final int MAX_YIELDS = 3;

    /** The role of a voter. {@code ASKING} is a pre-candidate: it is gathering pre-votes. */
    public enum Role { FOLLOWER, ASKING, CANDIDATE, LEADER }

    /**
     * The configuration of a node.
     *
     * @param self this voter's name
     * @param electionTimeout a voter that hears no leader for between one and two of these starts an election; a
     *     leader that hears no majority for one steps down
     * @param firstElectionTimeout replaces {@code electionTimeout} until the voter first hears of a leader. It may be
     *     shorter, since it only makes pre-votes start earlier, which voters that hear a leader ignore
     * @param newLeaderTimeout replaces {@code electionTimeout} for the first seconds of each leader, whose process does
     *     much for the first time then, and so is slower than it will be
     * @param heartbeatInterval the longest time between two messages of a leader to a peer
     * @param maxMessageBytes limit of the entries, or of the snapshot chunk, in one message
     * @param maxUncommitted limit of proposed entries that are not committed yet
     * @param transport how messages travel
     * @param seed of the random election timeouts
     */
    public record Settings(String self, Duration electionTimeout, Duration firstElectionTimeout,
            Duration newLeaderTimeout, Duration heartbeatInterval, int maxMessageBytes, int maxUncommitted,
            Transport transport, long seed) {
        /** Settings with the same timeout for new leaders as for others. */
        public Settings(String self, Duration electionTimeout, Duration firstElectionTimeout,
                Duration heartbeatInterval, int maxMessageBytes, int maxUncommitted, Transport transport, long seed) {
            this(self, electionTimeout, firstElectionTimeout, electionTimeout, heartbeatInterval, maxMessageBytes,
                    maxUncommitted, transport, seed);
        }

        /** Settings for a datagram transport, with the same timeout for the first election. */
        public Settings(String self, Duration electionTimeout, Duration heartbeatInterval, int maxMessageBytes,
                int maxUncommitted, long seed) {
            this(self, electionTimeout, electionTimeout, heartbeatInterval, maxMessageBytes, maxUncommitted,
                    Transport.DATAGRAMS, seed);
        }

        /** Settings for a datagram transport. */
        public Settings(String self, Duration electionTimeout, Duration firstElectionTimeout,
                Duration heartbeatInterval, int maxMessageBytes, int maxUncommitted, long seed) {
            this(self, electionTimeout, firstElectionTimeout, heartbeatInterval, maxMessageBytes, maxUncommitted,
                    Transport.DATAGRAMS, seed);
        }
    }

    /** The transport, which determines when an unanswered message is sent again. */
    public enum Transport {
        /** Any message may be lost; unanswered ones are sent again with the next heartbeat. */
        DATAGRAMS(Duration.ZERO, 0, false, false),
        /**
         * Messages are only lost along with their connection ({@link #onReconnected} reports a new one), but links may
         * be slow, and retransmitting too early would slow them down further.
         */
        CONNECTIONS(Duration.ofSeconds(5), 1 << 20, true, true);

        private final Duration resendDelay;
        /** Bytes of entries covered by the snapshot that are kept for voters that lag a little. */
        private final int trailingBytes;
        /** Whether entries are sent only after the last matching index of the peer has been found. */
        private final boolean probesFirst;
        /** Whether messages that arrive while a node is late wait for it, however many they are. */
        private final boolean holdsArrived;

        Transport(Duration resendDelay, int trailingBytes, boolean probesFirst, boolean holdsArrived) {
            this.resendDelay = resendDelay;
            this.trailingBytes = trailingBytes;
            this.probesFirst = probesFirst;
            this.holdsArrived = holdsArrived;
        }
    }

    /** Callbacks to the owner. Implementations must not call back into the node. */
    public interface Actions {
        /** Sends a message to another voter; it may get lost. */
        void send(String to, Message message);

        /**
         * Writes to stable storage, in the order of the numbers. {@link #onStored} has to be called once the write is
         * durable.
         */
        void store(long number, Write write);

        /** Called for each committed entry, once and in order. */
        void committed(Entry entry);

        /** Replaces the state machine's state with this snapshot. */
        void restore(Snapshot snapshot);

        /** This node is the leader and has passed on all entries that earlier leaders committed. */
        void becameLeader(long term);

        /**
         * This node is no longer the leader. Proposals that were not passed to {@link #committed} yet may or may not
         * be committed later.
         */
        void lostLeadership();

        /** This node asks for votes, having heard nothing of its leader for so long. */
        default void electionStarted(String silentLeader, Duration silence) { }

        /** A majority has answered this round, which also confirms all earlier rounds. */
        void roundConfirmed(long round);
    }

    private record OutboundMessage(String to, Message message) { }

    /** Entries up to {@code lastIndex} whose write with this number is not durable yet. */
    private record PendingAppend(long number, long lastIndex) { }

    private final Settings settings;
    private final Actions actions;
    private final SplittableRandom random;
    private final EntryLog log;
    private VoterConfig voterConfig;
    private long term;
    private String votedFor;
    private long lastCommitted;
    private long lastApplied;

    private Role role = Role.FOLLOWER;
    private String leader;
    private Instant leaderLastHeard;
    /** When the current leader, possibly this node, was elected or first heard; null before the first one. */
    private Instant leaderSince;
    /** Whether this node has seen that it was late itself, and has not judged another node's silence since. */
    private boolean excusedLateness;
    private Instant electionDue;
    /** Whether this voter has heard a leader, or has been one, since its start. */
    private boolean hasHeardLeader;
    /** Whether the owner calls {@link #setReachable}. */
    private boolean isReachabilityKnown;
    private int yieldCount;
    private final TreeSet<String> votesGranted = new TreeSet<>();

    /** The other voters and the learners; maintained by the leader only. */
    private final Map<String, PeerProgress> peers = new TreeMap<>();
    /** Nodes that receive the log but have no vote. */
    private final TreeSet<String> learners = new TreeSet<>();
    /** The index of the no-op entry that this leader appended at the start of its term. */
    private long noOpIndex;
    /** Whether the no-op entry of this leader is committed. */
    private boolean established;
    private Instant heartbeatDue;
    private Instant roundStartedAt;
    private boolean isRoundRequested;
    private long round;
    private long confirmedRound;
    private Instant transferDeadline;
    private boolean isTransferSent;

    private final DurabilityBarrier<OutboundMessage> diskBarrier = new DurabilityBarrier<>(MAX_HELD_MESSAGES);
    private long ownVoteWrite;
    /** The last index of this voter's own log that is on disk. */
    private long durableIndex;
    private final Deque<PendingAppend> pendingAppends = new ArrayDeque<>();

    private final SnapshotAssembler incomingSnapshot = new SnapshotAssembler();

    /**
     * Creates a node as a follower.
     *
     * @param saved the state read from disk. The owner's state machine has to match its snapshot
     */
    public RaftNode(Settings settings, PersistentState saved, Instant now, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        random = new SplittableRandom(settings.seed());
        log = new EntryLog(saved.snapshot(), saved.entries(), settings.transport().trailingBytes);
        term = saved.term();
        votedFor = saved.vote();
        lastCommitted = saved.snapshot().index();
        lastApplied = lastCommitted;
        durableIndex = log.last();
        voterConfig = log.voterConfig();
        awaitElection(now, settings.firstElectionTimeout());
    }

    // ---- queries

    public Role role() {
        return role;
    }

    public long term() {
        return term;
    }

    /** The name of the current leader as far as this voter knows; null if it knows of none. */
    public String leader() {
        return leader;
    }

    /** The voters of the current configuration, without those that a change under way removes. */
    public List<String> voters() {
        return voterConfig.voters();
    }

    /** The current voter configuration, including voters that are being removed. */
    public VoterConfig voterConfig() {
        return voterConfig;
    }

    /** Whether the last voter change is committed. No other change is accepted before. */
    public boolean isVoterChangeCommitted() {
        return log.lastVoterChange() <= lastCommitted;
    }

    public long commitIndex() {
        return lastCommitted;
    }

    public long lastIndex() {
        return log.last();
    }

    /** The number of entries after the snapshot. */
    public int logSize() {
        return log.size();
    }

    /** The number of committed entries after the snapshot. */
    public long committedSinceSnapshot() {
        return lastCommitted - log.snapshot().index();
    }

    /**
     * Whether this node is the leader and has applied everything committed before its term. Only then may it serve
     * reads of the state machine.
     */
    public boolean isEstablished() {
        return role == Role.LEADER && established;
    }

    /** On the leader: the last index of each peer's log that is known to match. */
    public Map<String, Long> matchIndexes() {
        Map<String, Long> found = new TreeMap<>();
        peers.values().forEach(p -> found.put(p.name, p.matchIndex));
        return found;
    }

    /** On the leader: voters that lost entries which they had acknowledged to it before. */
    public List<String> regressedVoters() {
        return peers.values().stream().filter(p -> p.regressed).map(p -> p.name).toList();
    }

    /** When {@link #onTime} has to be called next; null if nothing is due. */
    public Instant due() {
        if (role != Role.LEADER) {
            return mayStartElection() ? electionDue : null;
        }
        Instant batchEnd = roundStartedAt.plus(ROUND_BATCH_DELAY);
        return isRoundRequested && batchEnd.isBefore(heartbeatDue) ? batchEnd : heartbeatDue;
    }

    /**
     * Voters may start an election, and so may a node that had a vote before a voter change that is not committed yet.
     * It may be the only node that has the entry of that change, and the others elect nobody without it (section 4.2.2
     * of Ongaro's thesis). Its own vote counts only if it has one.
     */
    private boolean mayStartElection() {
        long change = log.lastVoterChange();
        return isVoter() || change > lastCommitted && change > log.first() - 1
                && log.voterConfigAfter(change - 1).includes(settings.self());
    }

    private boolean isVoter() {
        return voterConfig.includes(settings.self());
    }

    private Collection<String> others() {
        List<String> others = voterConfig.allVoters();
        others.remove(settings.self());
        return others;
    }

    /** The voter configuration whose majorities are required now. */
    protected VoterConfig decidingConfig() {
        return voterConfig;
    }

    /** The number of voters that make a majority. */
    protected int majority(int voters) {
        return voters / 2 + 1;
    }

    // ---- time

    /** Runs whatever is due: heartbeats and requested rounds on the leader, elections elsewhere. */
    public void onTime(Instant now) {
        if (role == Role.LEADER) {
            if (!now.isBefore(heartbeatDue)) {
                onHeartbeatDue(now);
            } else if (isRoundRequested && !now.isBefore(roundStartedAt.plus(ROUND_BATCH_DELAY))) {
                beginRound(now);
            }
        } else if (mayStartElection() && !now.isBefore(electionDue)) {
            if (excusesSilence(now, electionDue)) {
                electionDue = now.plus(settings.heartbeatInterval());
            } else {
                startPreVote(now);
            }
        }
    }

    /**
     * Whether silence of other nodes is not to be judged now, because this node itself was late by more than a heartbeat
     * interval: their messages may have arrived but not been handled yet. Once only until the next message.
     */
    private boolean excusesSilence(Instant now, Instant due) {
        boolean excuses = settings.transport().holdsArrived && !excusedLateness
                && now.isAfter(due.plus(settings.heartbeatInterval()));
        excusedLateness |= excuses;
        return excuses;
    }

    /** The silence after which the current leader, or a majority as the leader sees it, counts as lost. */
    private Duration silenceTimeout(Instant now) {
        boolean isNew = leaderSince != null && now.isBefore(leaderSince.plus(NEW_LEADER_PERIOD));
        return isNew ? settings.newLeaderTimeout() : settings.electionTimeout();
    }

    private void awaitElection(Instant now) {
        awaitElection(now, settings.electionTimeout());
    }

    private void awaitElection(Instant now, Duration wait) {
        long min = wait.toNanos();
        electionDue = now.plusNanos(min + random.nextLong(min));
    }

    /**
     * Reports which voters can be reached in both directions. Until it has heard a leader, a voter that reaches a
     * majority starts an election almost at once, since the election timeout is meant for leaders that fall silent.
     */
    public void setReachable(Instant now, Collection<String> names) {
        isReachabilityKnown = true;
        boolean mayStartEarly = role == Role.FOLLOWER || role == Role.ASKING;
        if (hasHeardLeader || !mayStartEarly || yieldCount > 0 || !mayStartElection() || !reachesMajority(names)) {
            return;
        }
        Instant earlyDue = now.plusNanos(random.nextLong(FIRST_ELECTION_JITTER.toNanos()));
        if (earlyDue.isBefore(electionDue)) {
            electionDue = earlyDue;
        }
    }

    private boolean reachesMajority(Collection<String> names) {
        return decidingConfig().quorumValue(name -> name.equals(settings.self()) || names.contains(name) ? 1 : 0,
                this::majority) == 1;
    }

    /** The election timeout, which is shorter until a leader has been heard. */
    private Duration nextElectionTimeout() {
        return isReachabilityKnown && !hasHeardLeader ? settings.firstElectionTimeout() : settings.electionTimeout();
    }

    private void onHeartbeatDue(Instant now) {
        boolean hearsMajority =
                decidingConfig().quorumValue(name -> hasHeardRecently(name, now) ? 1 : 0, this::leaderQuorum) >= 1;
        if (!hearsMajority && !excusesSilence(now, heartbeatDue)) {
            becomeFollower(now, term, null);
            return;
        }
        excusedLateness &= !hearsMajority;
        if (transferDeadline != null && !now.isBefore(transferDeadline)) {
            transferDeadline = null;
        }
        for (PeerProgress p : peers.values()) {
            p.resendIfStalled(now, settings.transport().resendDelay);
        }
        beginRound(now);
    }

    private boolean hasHeardRecently(String name, Instant now) {
        if (name.equals(settings.self())) {
            return true;
        }
        PeerProgress p = peers.get(name);
        return p != null && !p.regressed && p.lastHeard.plus(silenceTimeout(now)).isAfter(now);
    }

    private void beginRound(Instant now) {
        round++;
        roundStartedAt = now;
        isRoundRequested = false;
        heartbeatDue = now.plus(settings.heartbeatInterval());
        for (PeerProgress p : peers.values()) {
            sendTo(now, p);
        }
        advanceConfirmedRound();
    }

    // ---- elections

    /**
     * Asks for pre-votes: whether the others would vote for this node. This keeps a voter that was partitioned away
     * from returning with a high term and deposing the leader.
     */
    private void startPreVote(Instant now) {
        if (leader != null) {
            actions.electionStarted(leader, Duration.between(leaderLastHeard, now));
        }
        awaitElection(now, leaderLastHeard == null ? settings.firstElectionTimeout() : settings.electionTimeout());
        role = Role.ASKING;
        leader = null;
        votesGranted.clear();
        votesGranted.add(settings.self());
        for (String other : others()) {
            send(other, new Message.VoteRequest(term + 1, true, false, log.last(), log.lastTerm()));
        }
        countVotes(now);
    }

    private void startElection(Instant now, boolean handover) {
        awaitElection(now, nextElectionTimeout());
        role = Role.CANDIDATE;
        leader = null;
        votesGranted.clear();
        term++;
        votedFor = settings.self();
        ownVoteWrite = store(new Write.Vote(term, votedFor)); // its own vote counts once it is on disk
        for (String other : others()) {
            send(other, new Message.VoteRequest(term, false, handover, log.last(), log.lastTerm()));
        }
    }

    private void countVotes(Instant now) {
        if (decidingConfig().quorumValue(name -> votesGranted.contains(name) ? 1 : 0, this::majority) < 1) {
            return;
        }
        if (role == Role.ASKING) {
            startElection(now, false);
        } else {
            becomeLeader(now);
        }
    }

    private void onVoteRequest(Instant now, String from, Message.VoteRequest m) {
        boolean hasLeader = role == Role.LEADER
                || leader != null && leaderLastHeard.plus(silenceTimeout(now)).isAfter(now);
        if (m.term() > term && hasLeader && !m.handover()) {
            return; // a voter that hears its leader does not support an election
        }
        if (m.pre()) {
            boolean wouldGrant = m.term() > term && isUpToDate(m);
            send(from, new Message.VoteResponse(wouldGrant ? m.term() : term, true, wouldGrant));
            if (wouldGrant) {
                yieldElection(now, from, m);
            }
            return;
        }
        if (m.term() > term) {
            becomeFollower(now, m.term(), null);
        }
        boolean grants = m.term() == term && isUpToDate(m) && (votedFor == null || votedFor.equals(from));
        if (grants) {
            awaitElection(now);
            if (votedFor == null) {
                votedFor = from;
                store(new Write.Vote(term, votedFor));
            }
        }
        send(from, new Message.VoteResponse(term, false, grants));
    }

    /**
     * Before the first leader, lets one of several candidates win: the one whose log is more up to date, or else the
     * first by name. Otherwise voters that start at the same time would split the vote.
     */
    private void yieldElection(Instant now, String from, Message.VoteRequest m) {
        boolean sameLog = m.lastTerm() == log.lastTerm() && m.lastIndex() == log.last();
        boolean hasPrecedence = role == Role.FOLLOWER
                || role == Role.ASKING && (!sameLog || from.compareTo(settings.self()) < 0);
        if (!isReachabilityKnown || hasHeardLeader || yieldCount == MAX_YIELDS || !hasPrecedence) {
            return;
        }
        yieldCount++;
        role = Role.FOLLOWER;
        electionDue = now.plus(YIELD_DURATION).plusNanos(random.nextLong(FIRST_ELECTION_JITTER.toNanos()));
    }

    /**
     * Whether the candidate's log is at least as up to date as this voter's; only then is no committed entry missing
     * there.
     */
    protected boolean isUpToDate(Message.VoteRequest m) {
        return m.lastTerm() > log.lastTerm() || m.lastTerm() == log.lastTerm() && m.lastIndex() >= log.last();
    }

    private void onVoteResponse(Instant now, String from, Message.VoteResponse m) {
        if (!m.granted()) {
            return;
        }
        if (m.pre() ? role == Role.ASKING && m.term() == term + 1 : role == Role.CANDIDATE && m.term() == term) {
            votesGranted.add(from);
            countVotes(now);
        }
    }

    private void becomeLeader(Instant now) {
        role = Role.LEADER;
        hasHeardLeader = true;
        leader = settings.self();
        leaderSince = now;
        excusedLateness = false;
        peers.clear();
        learners.clear();
        for (String other : others()) {
            peers.put(other, new PeerProgress(other, log.last() + 1, now));
        }
        round = 0;
        confirmedRound = 0;
        established = false;
        transferDeadline = null;
        noOpIndex = log.last() + 1;
        appendToLog(List.of(Entry.noOp(noOpIndex, term)));
        beginRound(now);
    }

    private void becomeFollower(Instant now, long newTerm, String newLeader) {
        boolean led = role == Role.LEADER;
        if (newTerm > term) {
            term = newTerm;
            votedFor = null;
            store(new Write.Vote(term, null));
        }
        role = Role.FOLLOWER;
        leader = newLeader;
        leaderLastHeard = now;
        awaitElection(now);
        if (led) {
            peers.clear();
            established = false;
            actions.lostLeadership();
        }
    }

    // ---- messages

    /** Handles a message of another member of the group. */
    public void onMessage(Instant now, String from, Message m) {
        if (m instanceof Message.VoteRequest request) {
            onVoteRequest(now, from, request);
            return;
        }
        boolean isPreVoteGrant = m instanceof Message.VoteResponse r && r.pre() && r.granted();
        if (m.term() > term && !isPreVoteGrant) {
            becomeFollower(now, m.term(), null);
        }
        if (m.term() < term) {
            if (m instanceof Message.AppendRequest || m instanceof Message.SnapshotChunk) {
                send(from, new Message.AppendResponse(term, 0, false, 0)); // tells an old leader the new term
            }
            return;
        }
        if (m instanceof Message.VoteResponse reply) {
            onVoteResponse(now, from, reply);
        } else if (m instanceof Message.AppendRequest append) {
            recordLeaderContact(now, from);
            onAppend(from, append);
        } else if (m instanceof Message.SnapshotChunk chunk) {
            recordLeaderContact(now, from);
            onSnapshotChunk(from, chunk);
        } else if (m instanceof Message.AppendResponse reply) {
            onAppendResponse(now, from, reply);
        } else if (m instanceof Message.SnapshotChunkResponse reply) {
            onSnapshotChunkResponse(now, from, reply);
        } else if (m instanceof Message.TimeoutNow && isVoter() && role == Role.FOLLOWER) {
            startElection(now, true);
        }
    }

    private void recordLeaderContact(Instant now, String from) {
        if (role == Role.LEADER) {
            throw new IllegalStateException("two leaders of term " + term + ": " + settings.self() + " and " + from);
        }
        role = Role.FOLLOWER;
        hasHeardLeader = true;
        if (!from.equals(leader)) {
            leaderSince = now;
        }
        leader = from;
        leaderLastHeard = now;
        excusedLateness = false;
        awaitElection(now, silenceTimeout(now));
    }

    // ---- log replication, follower

    private void onAppend(String from, Message.AppendRequest m) {
        long end = m.previous() + m.entries().size();
        long previous = Math.max(m.previous(), log.snapshot().index());
        if (!isLogConsistent(m, previous)) {
            send(from, new Message.AppendResponse(term, m.round(), false, conflictHint(previous)));
            return;
        }
        List<Entry> newEntries = new ArrayList<>();
        for (Entry e : m.entries()) {
            if (!newEntries.isEmpty()) {
                newEntries.add(e);
            } else if (e.index() > previous && log.term(e.index()) != e.term()) {
                truncateFrom(e.index());
                newEntries.add(e);
            }
        }
        appendToLog(newEntries);
        long match = Math.max(end, previous);
        commitTo(Math.min(m.commit(), match));
        send(from, new Message.AppendResponse(term, m.round(), true, match));
    }

    /**
     * Whether the log up to the entry before the new ones matches the leader's; by induction it does if that entry has
     * the same term.
     */
    protected boolean isLogConsistent(Message.AppendRequest m, long previous) {
        return m.previous() < log.snapshot().index() || log.term(previous) == m.previousTerm();
    }

    /**
     * A guess of the last matching index: the entry before all entries of the conflicting term, so that the leader
     * skips a whole term per message.
     */
    private long conflictHint(long previous) {
        if (previous > log.last()) {
            return log.last();
        }
        long conflictingTerm = log.term(previous);
        long i = previous - 1;
        while (i > lastCommitted && log.term(i) == conflictingTerm) {
            i--;
        }
        return Math.max(i, lastCommitted);
    }

    private void truncateFrom(long index) {
        if (index > log.last()) {
            return;
        }
        if (index <= lastCommitted) {
            throw new IllegalStateException("entry " + index
                    + " is committed here, but the leader has a different one");
        }
        log.truncateFrom(index);
        voterConfig = log.voterConfig();
        durableIndex = Math.min(durableIndex, index - 1);
        pendingAppends.clear();
    }

    private void appendToLog(List<Entry> entries) {
        if (entries.isEmpty()) {
            return;
        }
        entries.forEach(log::append);
        voterConfig = log.voterConfig();
        pendingAppends.add(new PendingAppend(store(new Write.Entries(entries)), log.last()));
    }

    private void commitTo(long index) {
        lastCommitted = Math.max(lastCommitted, index);
        while (lastApplied < lastCommitted) {
            lastApplied++;
            actions.committed(log.get(lastApplied));
        }
        if (role == Role.LEADER && !established && lastCommitted >= noOpIndex) {
            established = true;
            actions.becameLeader(term);
        }
    }

    // ---- log replication, leader

    /**
     * Appends a command to the log.
     *
     * @return the entry's index; 0 if this node is not the leader, leadership is being transferred, or too many
     *     entries are uncommitted
     */
    public long propose(Instant now, byte[] payload) {
        if (!isEstablished() || transferDeadline != null || log.last() - lastCommitted >= settings.maxUncommitted()) {
            return 0;
        }
        return appendAsLeader(Entry.command(log.last() + 1, term, payload));
    }

    /**
     * Adds or removes a single voter.
     *
     * @param changed the new voters, which differ from the current ones by one name
     * @return the entry's index; 0 if it is not possible now because this node is not the leader or another change is
     *     not committed yet, or if the difference is not one name
     */
    public long proposeVoterChange(Instant now, List<String> changed) {
        TreeSet<String> added = new TreeSet<>(changed);
        added.removeAll(voters());
        TreeSet<String> removed = new TreeSet<>(voters());
        removed.removeAll(changed);
        if (!mayChangeVoters() || changed.isEmpty() || added.size() + removed.size() != 1) {
            return 0;
        }
        long index = appendAsLeader(Entry.voterChange(log.last() + 1, term, changed));
        added.forEach(name -> peers.putIfAbsent(name, new PeerProgress(name, index + 1, now)));
        return index;
    }

    private boolean mayChangeVoters() {
        return isEstablished() && transferDeadline == null && log.lastVoterChange() <= lastCommitted
                && !voterConfig.isJoint();
    }

    /**
     * Sets the nodes that receive the log without having a vote, replacing those of an earlier call. This has an
     * effect on the leader only, and lasts until it loses leadership.
     */
    public void setLearners(Instant now, Collection<String> names) {
        if (role != Role.LEADER) {
            return;
        }
        learners.clear();
        learners.addAll(names);
        learners.remove(settings.self());
        peers.keySet().removeIf(name -> !voterConfig.includes(name) && !learners.contains(name));
        for (String name : learners) {
            peers.computeIfAbsent(name, n -> new PeerProgress(n, log.last() + 1, now));
        }
    }

    /** On the leader: whether a voter or learner responds and has every committed entry on disk. */
    public boolean hasAllCommitted(String name) {
        PeerProgress p = peers.get(name);
        return name.equals(settings.self()) || p != null && p.countsTowardsQuorum() && p.matchIndex >= lastCommitted
                && hasHeardRecently(name, roundStartedAt);
    }

    /**
     * Replaces the voters by joint consensus: until the change is complete, majorities of both the old and the new
     * voters are required. New voters must have received all committed entries, as learners ({@link #setLearners}),
     * before they get a vote.
     *
     * @return the index of the first entry of the change; 0 if it is not possible now because this node is not the
     *     leader, another change is not committed yet, or a new voter is not caught up
     */
    public long proposeJointChange(List<String> changed) {
        boolean allCaughtUp = changed.stream().allMatch(name -> voters().contains(name) || hasAllCommitted(name));
        if (!mayChangeVoters() || !allCaughtUp || changed.isEmpty() || changed.equals(voters())) {
            return 0;
        }
        return appendAsLeader(Entry.configChange(log.last() + 1, term, voterConfig.transitionTo(changed)));
    }

    /** Reports a new connection to a voter: messages in flight on the previous one are lost. */
    public void onReconnected(Instant now, String name) {
        PeerProgress p = peers.get(name);
        if (role == Role.LEADER && p != null) {
            p.resendIfStalled(now, Duration.ZERO);
            p.chunkSentAt = null;
            sendTo(now, p);
        }
    }

    private long appendAsLeader(Entry entry) {
        appendToLog(List.of(entry));
        for (PeerProgress p : peers.values()) {
            if (p.snapshotInTransfer == null) {
                sendTo(roundStartedAt, p);
            }
        }
        return entry.index();
    }

    private void sendTo(Instant now, PeerProgress p) {
        if (p.nextIndex < log.firstRetained()) {
            sendChunk(now, p);
            return;
        }
        p.snapshotInTransfer = null;
        List<Entry> entries = p.maySendEntries(MAX_APPENDS_IN_FLIGHT, settings.transport().probesFirst)
                ? log.entriesFrom(p.nextIndex, settings.maxMessageBytes()) : List.of();
        send(p.name, new Message.AppendRequest(term, p.nextIndex - 1, log.term(p.nextIndex - 1), lastCommitted, round,
                entries));
        p.onAppendSent(entries.size());
    }

    /** Whether the transfer of a snapshot is completed even if there is a newer snapshot. */
    protected boolean keepsStartedSnapshot() {
        return true;
    }

    /**
     * Sends the next chunk of a snapshot. A transfer that has started keeps its snapshot until it is complete, however
     * many newer ones appear meanwhile.
     */
    private void sendChunk(Instant now, PeerProgress p) {
        if (p.snapshotInTransfer == null || !keepsStartedSnapshot()
                && p.snapshotInTransfer.index() != log.snapshot().index()) {
            p.snapshotInTransfer = log.snapshot();
            p.bytesReceived = 0;
            p.chunkSentAt = null;
        }
        Snapshot s = p.snapshotInTransfer;
        boolean isDue = p.chunkSentAt == null || !now.isBefore(p.chunkSentAt.plus(settings.transport().resendDelay));
        int length = isDue ? Math.min(chunkCapacity(s.voters()), s.data().length - p.bytesReceived) : 0;
        byte[] bytes = new byte[length];
        System.arraycopy(s.data(), p.bytesReceived, bytes, 0, length);
        send(p.name, new Message.SnapshotChunk(term, round, s.index(), s.term(), s.voters(), s.data().length,
                p.bytesReceived, bytes));
        if (isDue) {
            p.chunkSentAt = now;
        }
    }

    /**
     * The bytes left for a chunk. Each chunk carries the voters' names, and long names must not push it over the size
     * of a datagram.
     */
    private int chunkCapacity(List<String> names) {
        int taken = names.stream().mapToInt(n -> n.length() + 1).sum();
        return Math.max(settings.maxMessageBytes() / 4, settings.maxMessageBytes() - taken);
    }

    private void onAppendResponse(Instant now, String from, Message.AppendResponse m) {
        PeerProgress p = role == Role.LEADER ? peers.get(from) : null;
        if (p == null) {
            return;
        }
        boolean isResendNeeded = !m.ok() && m.round() >= p.rejectedRound && m.match() + 1 < p.nextIndex
                && p.onRejected(m.match(), m.round(), round);
        recordPeerContact(now, p, m.round());
        if (m.ok()) {
            p.onMatch(m.match());
            transferIfCaughtUp(p);
            advanceCommitIndex(now);
            if (role == Role.LEADER && p.nextIndex <= log.last() && p.appendsInFlight < MAX_APPENDS_IN_FLIGHT) {
                sendTo(now, p);
            }
        } else if (isResendNeeded) {
            sendTo(now, p);
        }
    }

    private void recordPeerContact(Instant now, PeerProgress p, long itsRound) {
        p.lastHeard = now;
        p.lastRound = Math.max(p.lastRound, itsRound);
        advanceConfirmedRound();
    }

    /** Commits what a majority has on disk. */
    private void advanceCommitIndex(Instant now) {
        long majorityIndex = decidingConfig().quorumValue(this::durableIndexOf, this::majority);
        if (majorityIndex > lastCommitted && mayCommitByCounting(majorityIndex)) {
            commitTo(majorityIndex);
            continueVoterChange(now);
        }
    }

    private long durableIndexOf(String voter) {
        if (voter.equals(settings.self())) {
            return durableIndex;
        }
        PeerProgress p = peers.get(voter);
        return p == null || !p.countsTowardsQuorum() ? 0 : p.matchIndex;
    }

    /**
     * Entries of earlier terms are not committed by counting replicas (section 5.4.2 of the paper), only along with a
     * later entry of the current term.
     */
    protected boolean mayCommitByCounting(long index) {
        return log.term(index) == term;
    }

    /**
     * Continues after a committed voter change. A joint configuration is followed by the final one. After the final
     * one, removed nodes get no more messages, and a leader that was removed steps down.
     */
    private void continueVoterChange(Instant now) {
        if (log.lastVoterChange() > lastCommitted) {
            return;
        }
        if (voterConfig.isJoint()) {
            appendAsLeader(Entry.voterChange(log.last() + 1, term, voters()));
            return;
        }
        if (!isVoter()) {
            beginRound(now); // tells the others that the change is committed
            becomeFollower(now, term, null);
            return;
        }
        peers.keySet().removeIf(name -> !voterConfig.includes(name) && !learners.contains(name));
    }

    // ---- snapshots

    /**
     * Replaces all entries that were passed to {@link Actions#committed} by a snapshot of the state machine. Has no
     * effect during a joint configuration.
     *
     * @param data the state after the last of these entries
     * @throws IllegalArgumentException if it is larger than {@link #MAX_SNAPSHOT_BYTES}
     */
    public void compact(byte[] data) {
        if (data.length > MAX_SNAPSHOT_BYTES) {
            throw new IllegalArgumentException("snapshot of " + data.length + " bytes exceeds the limit of "
                    + MAX_SNAPSHOT_BYTES);
        }
        VoterConfig then = log.voterConfigAfter(lastApplied);
        if (lastApplied > log.snapshot().index() && !then.isJoint()) {
            log.replaceSnapshot(new Snapshot(lastApplied, log.term(lastApplied), then.voters(), data));
            store(new Write.FullState(persistentState()));
        }
    }

    private PersistentState persistentState() {
        return new PersistentState(term, votedFor, log.snapshot(), log.entriesAfterSnapshot());
    }

    private void onSnapshotChunk(String from, Message.SnapshotChunk m) {
        if (m.index() <= lastCommitted) {
            send(from, new Message.AppendResponse(term, m.round(), true, lastCommitted));
            return;
        }
        if (m.whole() < 0 || m.whole() > MAX_SNAPSHOT_BYTES) {
            return;
        }
        Snapshot snapshot = incomingSnapshot.add(m);
        if (snapshot == null) {
            send(from, new Message.SnapshotChunkResponse(term, m.round(), m.index(), incomingSnapshot.bytesReceived()));
            return;
        }
        installSnapshot(snapshot);
        send(from, new Message.AppendResponse(term, m.round(), true, m.index()));
    }

    private void installSnapshot(Snapshot snapshot) {
        log.replaceSnapshot(snapshot);
        voterConfig = log.voterConfig();
        lastCommitted = snapshot.index();
        lastApplied = lastCommitted;
        pendingAppends.clear();
        durableIndex = Math.min(durableIndex, lastCommitted);
        pendingAppends.add(new PendingAppend(store(new Write.FullState(persistentState())), log.last()));
        actions.restore(snapshot);
    }

    private void onSnapshotChunkResponse(Instant now, String from, Message.SnapshotChunkResponse m) {
        PeerProgress p = role == Role.LEADER ? peers.get(from) : null;
        if (p == null) {
            return;
        }
        recordPeerContact(now, p, m.round());
        if (p.snapshotInTransfer != null && p.snapshotInTransfer.index() == m.index() && m.have() >= 0
                && m.have() <= p.snapshotInTransfer.data().length) {
            boolean hasProgressed = m.have() != p.bytesReceived;
            p.bytesReceived = m.have();
            if (hasProgressed) {
                p.chunkSentAt = null;
                sendTo(now, p);
            }
        }
    }

    // ---- leadership confirmation and transfer

    /**
     * Asks a majority to confirm that this node is still the leader.
     *
     * @return the number of the round. Once {@link Actions#roundConfirmed} reports it or a later one, no other leader
     *     had been elected when this method was called; 0 if this node is not the leader
     */
    public long confirmLeadership(Instant now) {
        if (role != Role.LEADER) {
            return 0;
        }
        if (now.isBefore(roundStartedAt.plus(ROUND_BATCH_DELAY))) {
            isRoundRequested = true;
            return round + 1;
        }
        beginRound(now);
        return round;
    }

    /**
     * Has leadership confirmed by the next round that begins for another reason, a heartbeat at the latest. For requests
     * that come all the time and can wait that long: rounds of their own would multiply the messages of the group.
     *
     * @return the number of that round, see {@link #confirmLeadership}; 0 if this node is no leader
     */
    public long confirmLeadershipWithHeartbeat() {
        return role == Role.LEADER ? round + 1 : 0;
    }

    /** How many voters, including itself, a leader must hear from to stay leader and to confirm a round. */
    protected int leaderQuorum(int voters) {
        return majority(voters);
    }

    private void advanceConfirmedRound() {
        long newest = decidingConfig().quorumValue(this::confirmedRoundOf, this::leaderQuorum);
        if (newest > confirmedRound) {
            confirmedRound = newest;
            actions.roundConfirmed(newest);
        }
    }

    private long confirmedRoundOf(String voter) {
        if (voter.equals(settings.self())) {
            return round;
        }
        PeerProgress p = peers.get(voter);
        return p == null || !p.countsTowardsQuorum() ? 0 : p.lastRound;
    }

    /**
     * Transfers leadership to the first voter that has, or gets, the whole log; used before this node stops. Until
     * then, but for one election timeout at most, new proposals are rejected here.
     *
     * @return whether there is another node to transfer to. This node stays the leader until another one is elected
     */
    public boolean transferLeadership(Instant now) {
        if (role != Role.LEADER || others().isEmpty()) {
            return false;
        }
        transferDeadline = now.plus(settings.electionTimeout());
        isTransferSent = false;
        peers.values().forEach(this::transferIfCaughtUp);
        return true;
    }

    private void transferIfCaughtUp(PeerProgress p) {
        if (transferDeadline != null && !isTransferSent && p.countsTowardsQuorum() && p.matchIndex == log.last()
                && voters().contains(p.name)) {
            isTransferSent = true;
            send(p.name, new Message.TimeoutNow(term));
        }
    }

    // ---- disk

    private long store(Write write) {
        long number = diskBarrier.beginWrite();
        actions.store(number, write);
        return number;
    }

    /** Reports that all writes up to this number are on disk. */
    public void onStored(Instant now, long number) {
        List<OutboundMessage> ready = diskBarrier.done(number);
        while (!pendingAppends.isEmpty() && pendingAppends.peek().number() <= diskBarrier.done()) {
            durableIndex = Math.max(durableIndex, pendingAppends.poll().lastIndex());
        }
        ready.forEach(m -> actions.send(m.to(), m.message()));
        if (role == Role.CANDIDATE && diskBarrier.done() >= ownVoteWrite) {
            votesGranted.add(settings.self());
            countVotes(now);
        } else if (role == Role.LEADER) {
            advanceCommitIndex(now);
        }
    }

    /**
     * Sends a message, after the writes in progress if it may depend on them. A leader's requests and pre-votes never
     * do: what they claim about a voter's disk is confirmed by responses only.
     */
    private void send(String to, Message m) {
        boolean isIndependent = m instanceof Message.AppendRequest || m instanceof Message.SnapshotChunk
                || m instanceof Message.TimeoutNow
                || m instanceof Message.VoteRequest a && a.pre() || m instanceof Message.VoteResponse r && r.pre();
        if (isIndependent || !diskBarrier.isBusy()) {
            actions.send(to, m);
        } else {
            diskBarrier.hold(new OutboundMessage(to, m));
        }
    }
}
