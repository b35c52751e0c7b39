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
 * One voter's part of a log that is alike at all voters: Raft (Ongaro and Ousterhout, 2014; Ongaro's thesis, 2014), with
 * votes asked for beforehand, a leader that steps down where it hears no majority, leadership confirmed by rounds,
 * snapshots in pieces, voters changed one at a time or together (joint consensus), and leadership handed on.
 *
 * <p>Guaranteed, whatever is lost, late, doubled, out of order, stalled or stopped: at most one leader a term; an entry
 * handed to {@link Actions#committed} stands at that index at every voter for good; a round told to
 * {@link Actions#roundConfirmed} was answered by a majority that had heard of no higher term when it began. Assumed: what was
 * told by {@link #onStored} is still there after a restart, and a name is used by one voter at a time. Time only decides
 * how soon something happens.
 *
 * <p>Bounds: {@link Settings#maxUncommitted} entries that are not decided; the log behind the snapshot is as long as the
 * owner lets it grow before {@link #compact}; {@value #MAX_HELD_MESSAGES} messages that wait for the disk, of more the oldest
 * are dropped as if lost; a snapshot of {@value #MAX_SNAPSHOT_BYTES} bytes. A call costs O(voters) and the entries that
 * it moves.
 */
public class RaftNode {
    public static final int MAX_SNAPSHOT_BYTES = 8 << 20;
    private static final int MAX_HELD_MESSAGES = 1000;
    /** So many messages with entries may be on their way to a voter that has not answered. */
    private static final int MAX_APPENDS_IN_FLIGHT = 8;
    /** Rounds that are wanted in quick succession become one. */
    private static final Duration ROUND_BATCH_DELAY = Duration.ofMillis(3);
    /** Who reaches a majority before it has heard of any leader asks for votes within this time. */
    private static final Duration FIRST_ELECTION_JITTER = Duration.ofMillis(40);
    /** For so long a voter then leaves the election to another one that has asked first. */
    private static final Duration YIELD_DURATION = Duration.ofMillis(250);
    /** So often; then it asks whatever the others do, so that nobody waits for ever for one that can't win. */
    private static final int MAX_YIELDS = 3;

    /** What a voter is doing. */
    public enum Role { FOLLOWER, ASKING, CANDIDATE, LEADER }

    /**
     * @param self this voter's name
     * @param electionTimeout without a leader for one to two of these, a voter stands; a leader without a majority steps down
     * @param firstElectionTimeout takes the place of {@code election} until a voter has heard of a leader since its start: it asks
     *     whether it would get the votes that much sooner. Voters that hear a leader say nothing to that
     * @param heartbeatInterval how often a leader is heard at least
     * @param maxMessageBytes of the entries, or the piece of a snapshot, in one message
     * @param transport how messages travel
     */
    public record Settings(String self, Duration electionTimeout, Duration firstElectionTimeout, Duration heartbeatInterval, int maxMessageBytes,
            int maxUncommitted, Transport transport, long seed) {
        /** With the first election no sooner than later ones, over messages that get lost. */
        public Settings(String self, Duration election, Duration heartbeat, int mostBytes, int mostUndecided, long seed) {
            this(self, election, election, heartbeat, mostBytes, mostUndecided, Transport.DATAGRAMS, seed);
        }

        /** Over messages that get lost. */
        public Settings(String self, Duration election, Duration firstElection, Duration heartbeat, int mostBytes,
                int mostUndecided, long seed) {
            this(self, election, firstElection, heartbeat, mostBytes, mostUndecided, Transport.DATAGRAMS, seed);
        }
    }

    /** How messages travel, which says when one that brought no answer is sent again. */
    public enum Transport {
        /** Any message may be lost: again with the next heartbeat. */
        DATAGRAMS(Duration.ZERO, 0, false),
        /**
         * Lost with its connection only ({@link #onReconnected} is told of a new one), and slow where a link is slow: what is
         * sent again too soon would only make it slower.
         */
        CONNECTIONS(Duration.ofSeconds(5), 1 << 20, true);

        private final Duration resendDelay;
        /** Of the entries kept before the snapshot, for voters that are a moment late. */
        private final int trailingBytes;
        /** Whether entries are sent only once it is known where they belong. */
        private final boolean probesFirst;

        Transport(Duration patience, int trailingBytes, boolean probesFirst) {
            this.resendDelay = patience;
            this.trailingBytes = trailingBytes;
            this.probesFirst = probesFirst;
        }
    }

    /** What it asks of its owner; none of these calls back into it. */
    public interface Actions {
        void send(String to, Message message);

        /** Put this on disk, in the order of the numbers; {@link #onStored} is to be called once it is there. */
        void store(long number, Write write);

        /** Each decided entry, once and in order. */
        void committed(Entry entry);

        /** The state machine is to be as this snapshot has it. */
        void restore(Snapshot snapshot);

        /** It leads, and has handed over all entries that were decided under earlier leaders. */
        void becameLeader(long term);

        /** It leads no more; what was proposed and not handed over may or may not be decided yet. */
        void lostLeadership();

        /** A majority has answered this round, and thereby all before it. */
        void roundConfirmed(long round);
    }

    private record OutboundMessage(String to, Message message) { }

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
    private Instant electionDue;
    /** Whether a leader has been heard, or this voter has led, since its start. */
    private boolean hasHeardLeader;
    /** Whether the owner tells who can be reached. */
    private boolean isReachabilityKnown;
    private int yieldCount;
    private final TreeSet<String> votesGranted = new TreeSet<>();

    /** As a leader. */
    private final Map<String, PeerProgress> peers = new TreeMap<>();
    /** Who gets the log without a vote. */
    private final TreeSet<String> learners = new TreeSet<>();
    private long noOpIndex;
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
    private long durableIndex;
    private final Deque<PendingAppend> pendingAppends = new ArrayDeque<>();

    private final SnapshotAssembler incomingSnapshot = new SnapshotAssembler();

    /** @param saved what is on disk: the owner's state machine is to be as its snapshot has it */
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

    // ---- asked

    public Role role() {
        return role;
    }

    public long term() {
        return term;
    }

    /** Who leads, as far as this voter knows; null where it knows of nobody. */
    public String leader() {
        return leader;
    }

    public List<String> voters() {
        return voterConfig.voters();
    }

    /** Who votes, with those that are on their way out. */
    public VoterConfig voterConfig() {
        return voterConfig;
    }

    /** Whether the last change of the voters is decided; until then no other one is taken. */
    public boolean isVoterChangeCommitted() {
        return log.lastVoterChange() <= lastCommitted;
    }

    public long commitIndex() {
        return lastCommitted;
    }

    public long lastIndex() {
        return log.last();
    }

    /** How many entries stand behind the snapshot. */
    public int logSize() {
        return log.size();
    }

    /** How many entries up to {@link #commitIndex} stand behind the snapshot. */
    public long committedSinceSnapshot() {
        return lastCommitted - log.snapshot().index();
    }

    /** Whether it leads and has all that was decided before: only then may it answer for the state machine. */
    public boolean isEstablished() {
        return role == Role.LEADER && established;
    }

    /** Of a leader: up to where a voter's log is known to be alike. */
    public Map<String, Long> matchIndexes() {
        Map<String, Long> found = new TreeMap<>();
        peers.values().forEach(p -> found.put(p.name, p.matchIndex));
        return found;
    }

    /** Of a leader: voters that have less on disk than they had told of to it. */
    public List<String> regressedVoters() {
        return peers.values().stream().filter(p -> p.regressed).map(p -> p.name).toList();
    }

    /** When {@link #onTime} is to be called next; null where nothing is due. */
    public Instant due() {
        if (role != Role.LEADER) {
            return mayStartElection() ? electionDue : null;
        }
        Instant gathered = roundStartedAt.plus(ROUND_BATCH_DELAY);
        return isRoundRequested && gathered.isBefore(heartbeatDue) ? gathered : heartbeatDue;
    }

    /**
     * Who has a vote stands, and who had one until a change that is not decided yet: it may be the only one that holds the
     * change, and the others then choose nobody who does not (section 4.2.2 of Ongaro's thesis). Its own vote counts
     * where it has one.
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

    /** Who decides now. */
    protected VoterConfig decidingConfig() {
        return voterConfig;
    }

    /** How many of so many voters decide. */
    protected int majority(int voters) {
        return voters / 2 + 1;
    }

    // ---- time

    public void onTime(Instant now) {
        if (role == Role.LEADER) {
            if (!now.isBefore(heartbeatDue)) {
                onHeartbeatDue(now);
            } else if (isRoundRequested && !now.isBefore(roundStartedAt.plus(ROUND_BATCH_DELAY))) {
                beginRound(now);
            }
        } else if (mayStartElection() && !now.isBefore(electionDue)) {
            startPreVote(now);
        }
    }

    private void awaitElection(Instant now) {
        awaitElection(now, settings.electionTimeout());
    }

    private void awaitElection(Instant now, Duration wait) {
        long least = wait.toNanos();
        electionDue = now.plusNanos(least + random.nextLong(least));
    }

    /**
     * Tells which voters can be reached, there and back. Until a leader has been heard, a voter that reaches a majority asks
     * for votes at once, in place of waiting for an election's time that is meant for leaders that fall silent.
     */
    public void setReachable(Instant now, Collection<String> names) {
        isReachabilityKnown = true;
        boolean mayAsk = role == Role.FOLLOWER || role == Role.ASKING;
        if (hasHeardLeader || !mayAsk || yieldCount > 0 || !mayStartElection() || !reachesMajority(names)) {
            return;
        }
        Instant turn = now.plusNanos(random.nextLong(FIRST_ELECTION_JITTER.toNanos()));
        if (turn.isBefore(electionDue)) {
            electionDue = turn;
        }
    }

    private boolean reachesMajority(Collection<String> names) {
        return decidingConfig().quorumValue(name -> name.equals(settings.self()) || names.contains(name) ? 1 : 0,
                this::majority) == 1;
    }

    /** What a voter waits for that has not heard of a leader yet is a shorter time. */
    private Duration nextElectionTimeout() {
        return isReachabilityKnown && !hasHeardLeader ? settings.firstElectionTimeout() : settings.electionTimeout();
    }

    private void onHeartbeatDue(Instant now) {
        if (decidingConfig().quorumValue(name -> hasHeardRecently(name, now) ? 1 : 0, this::leaderQuorum) < 1) {
            becomeFollower(now, term, null);
            return;
        }
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
        return p != null && !p.regressed && p.lastHeard.plus(settings.electionTimeout()).isAfter(now);
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

    /** Would I get the votes? Guards against a voter that was cut off and comes back with a high term. */
    private void startPreVote(Instant now) {
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
        boolean content = role == Role.LEADER
                || leader != null && leaderLastHeard.plus(settings.electionTimeout()).isAfter(now);
        if (m.term() > term && content && !m.handover()) {
            return; // whoever hears its leader helps nobody to unseat it
        }
        if (m.pre()) {
            boolean would = m.term() > term && isUpToDate(m);
            send(from, new Message.VoteResponse(would ? m.term() : term, true, would));
            if (would) {
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
     * Where nobody has led yet, one is left to win: of two that ask, the one whose log says more, or the first by name.
     * Without it voters that start together would share out the votes among themselves.
     */
    private void yieldElection(Instant now, String from, Message.VoteRequest m) {
        boolean sameLog = m.lastTerm() == log.lastTerm() && m.lastIndex() == log.last();
        boolean goesBefore = role == Role.FOLLOWER
                || role == Role.ASKING && (!sameLog || from.compareTo(settings.self()) < 0);
        if (!isReachabilityKnown || hasHeardLeader || yieldCount == MAX_YIELDS || !goesBefore) {
            return;
        }
        yieldCount++;
        role = Role.FOLLOWER;
        electionDue = now.plus(YIELD_DURATION).plusNanos(random.nextLong(FIRST_ELECTION_JITTER.toNanos()));
    }

    /** Whether the one who asks has at least what this voter has: only then can nothing decided be missing there. */
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

    public void onMessage(Instant now, String from, Message m) {
        if (m instanceof Message.VoteRequest ask) {
            onVoteRequest(now, from, ask);
            return;
        }
        boolean future = m instanceof Message.VoteResponse r && r.pre() && r.granted();
        if (m.term() > term && !future) {
            becomeFollower(now, m.term(), null);
        }
        if (m.term() < term) {
            if (m instanceof Message.AppendRequest || m instanceof Message.SnapshotChunk) {
                send(from, new Message.AppendResponse(term, 0, false, 0)); // so that an old leader hears of the new term
            }
            return;
        }
        if (m instanceof Message.VoteResponse reply) {
            onVoteResponse(now, from, reply);
        } else if (m instanceof Message.AppendRequest append) {
            recordLeaderContact(now, from);
            onAppend(from, append);
        } else if (m instanceof Message.SnapshotChunk piece) {
            recordLeaderContact(now, from);
            onSnapshotChunk(from, piece);
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
        leader = from;
        leaderLastHeard = now;
        awaitElection(now);
    }

    // ---- the log, at those who follow

    private void onAppend(String from, Message.AppendRequest m) {
        long end = m.previous() + m.entries().size();
        long previous = Math.max(m.previous(), log.snapshot().index());
        if (!isLogConsistent(m, previous)) {
            send(from, new Message.AppendResponse(term, m.round(), false, conflictHint(previous)));
            return;
        }
        List<Entry> fresh = new ArrayList<>();
        for (Entry e : m.entries()) {
            if (!fresh.isEmpty()) {
                fresh.add(e);
            } else if (e.index() > previous && log.term(e.index()) != e.term()) {
                truncateFrom(e.index());
                fresh.add(e);
            }
        }
        appendToLog(fresh);
        long match = Math.max(end, previous);
        commitTo(Math.min(m.commit(), match));
        send(from, new Message.AppendResponse(term, m.round(), true, match));
    }

    /** Whether all up to the entry before the new ones is alike at the leader: by induction, where that one is. */
    protected boolean isLogConsistent(Message.AppendRequest m, long previous) {
        return m.previous() < log.snapshot().index() || log.term(previous) == m.previousTerm();
    }

    /** Before this entry, or before all of its term, so that a leader passes over a whole term at once. */
    private long conflictHint(long previous) {
        if (previous > log.last()) {
            return log.last();
        }
        long other = log.term(previous);
        long i = previous - 1;
        while (i > lastCommitted && log.term(i) == other) {
            i--;
        }
        return Math.max(i, lastCommitted);
    }

    private void truncateFrom(long index) {
        if (index > log.last()) {
            return;
        }
        if (index <= lastCommitted) {
            throw new IllegalStateException("entry " + index + " is decided, and another leader has another one");
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

    // ---- the log, at the leader

    /** @return the entry's index; 0 where this voter doesn't lead, or too much is undecided */
    public long propose(Instant now, byte[] payload) {
        if (!isEstablished() || transferDeadline != null || log.last() - lastCommitted >= settings.maxUncommitted()) {
            return 0;
        }
        return appendAsLeader(Entry.command(log.last() + 1, term, payload));
    }

    /**
     * Changes who votes, by one name at a time.
     *
     * @return the entry's index; 0 where it can't be done now: no leader, or another change is not decided yet
     */
    public long proposeVoterChange(Instant now, List<String> changed) {
        TreeSet<String> difference = new TreeSet<>(changed);
        difference.removeAll(voters());
        TreeSet<String> gone = new TreeSet<>(voters());
        gone.removeAll(changed);
        if (!mayChangeVoters() || changed.isEmpty() || difference.size() + gone.size() != 1) {
            return 0;
        }
        long index = appendAsLeader(Entry.voterChange(log.last() + 1, term, changed));
        difference.forEach(name -> peers.putIfAbsent(name, new PeerProgress(name, index + 1, now)));
        return index;
    }

    private boolean mayChangeVoters() {
        return isEstablished() && transferDeadline == null && log.lastVoterChange() <= lastCommitted && !voterConfig.isJoint();
    }

    /**
     * Sends the log to names that have no vote, in place of those of an earlier call: as a leader only, and until it leads
     * no more.
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

    /** Whether a name, with a vote or without, is there and holds on its disk all that is decided; of a leader. */
    public boolean hasAllCommitted(String name) {
        PeerProgress p = peers.get(name);
        return name.equals(settings.self()) || p != null && p.countsTowardsQuorum() && p.matchIndex >= lastCommitted && hasHeardRecently(name, roundStartedAt);
    }

    /**
     * Puts one group of voters in place of another as one step (joint consensus): until it is over, majorities of both are
     * needed. Newcomers have to hold all that is decided, as {@link #learners}, before they get a vote.
     *
     * @return the first entry of the change; 0 where it can't be done now: no leader, another change is not decided yet, or
     *     a newcomer lacks something
     */
    public long proposeJointChange(List<String> changed) {
        boolean allThere = changed.stream().allMatch(name -> voters().contains(name) || hasAllCommitted(name));
        if (!mayChangeVoters() || !allThere || changed.isEmpty() || changed.equals(voters())) {
            return 0;
        }
        return appendAsLeader(Entry.configChange(log.last() + 1, term, voterConfig.transitionTo(changed)));
    }

    /** There is a new connection to a voter: what was under way on the one before is lost. */
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
        List<Entry> entries = p.maySendEntries(MAX_APPENDS_IN_FLIGHT, settings.transport().probesFirst) ? log.entriesFrom(p.nextIndex, settings.maxMessageBytes()) : List.of();
        send(p.name, new Message.AppendRequest(term, p.nextIndex - 1, log.term(p.nextIndex - 1), lastCommitted, round, entries));
        p.onAppendSent(entries.size());
    }

    /** Whether a snapshot that is on its way is sent to its end, though there is a newer one. */
    protected boolean keepsStartedSnapshot() {
        return true;
    }

    /** A snapshot that is on its way stays the same until it is there, however many newer ones there are meanwhile. */
    private void sendChunk(Instant now, PeerProgress p) {
        if (p.snapshotInTransfer == null || !keepsStartedSnapshot() && p.snapshotInTransfer.index() != log.snapshot().index()) {
            p.snapshotInTransfer = log.snapshot();
            p.bytesReceived = 0;
            p.chunkSentAt = null;
        }
        Snapshot s = p.snapshotInTransfer;
        boolean again = p.chunkSentAt == null || !now.isBefore(p.chunkSentAt.plus(settings.transport().resendDelay));
        int length = again ? Math.min(chunkCapacity(s.voters()), s.data().length - p.bytesReceived) : 0;
        byte[] bytes = new byte[length];
        System.arraycopy(s.data(), p.bytesReceived, bytes, 0, length);
        send(p.name, new Message.SnapshotChunk(term, round, s.index(), s.term(), s.voters(), s.data().length, p.bytesReceived, bytes));
        if (again) {
            p.chunkSentAt = now;
        }
    }

    /** Guards against pieces that no datagram holds: the voters' names go with each, and may be long. */
    private int chunkCapacity(List<String> names) {
        int taken = names.stream().mapToInt(n -> n.length() + 1).sum();
        return Math.max(settings.maxMessageBytes() / 4, settings.maxMessageBytes() - taken);
    }

    private void onAppendResponse(Instant now, String from, Message.AppendResponse m) {
        PeerProgress p = role == Role.LEADER ? peers.get(from) : null;
        if (p == null) {
            return;
        }
        boolean goesBack = !m.ok() && m.round() >= p.rejectedRound && m.match() + 1 < p.nextIndex
                && p.onRejected(m.match(), m.round(), round);
        recordPeerContact(now, p, m.round());
        if (m.ok()) {
            p.onMatch(m.match());
            transferIfCaughtUp(p);
            advanceCommitIndex(now);
            if (role == Role.LEADER && p.nextIndex <= log.last() && p.appendsInFlight < MAX_APPENDS_IN_FLIGHT) {
                sendTo(now, p);
            }
        } else if (goesBack) {
            sendTo(now, p);
        }
    }

    private void recordPeerContact(Instant now, PeerProgress p, long itsRound) {
        p.lastHeard = now;
        p.lastRound = Math.max(p.lastRound, itsRound);
        advanceConfirmedRound();
    }

    /** What a majority has on disk is decided. */
    private void advanceCommitIndex(Instant now) {
        long decided = decidingConfig().quorumValue(this::durableIndexOf, this::majority);
        if (decided > lastCommitted && mayCommitByCounting(decided)) {
            commitTo(decided);
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

    /** Of earlier terms nothing is decided by counting (section 5.4.2 of the paper), only by what stands behind it. */
    protected boolean mayCommitByCounting(long index) {
        return log.term(index) == term;
    }

    /**
     * After a decided change of the voters: a joint step is followed by the last one; those that are none any more hear
     * nothing more, this one steps down.
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
            beginRound(now); // so that the others hear that the change is decided
            becomeFollower(now, term, null);
            return;
        }
        peers.keySet().removeIf(name -> !voterConfig.includes(name) && !learners.contains(name));
    }

    // ---- snapshots

    /**
     * The state machine as it is now, in place of all entries that were handed over; no effect in the midst of a change of
     * the voters.
     *
     * @throws IllegalArgumentException if it is longer than any voter would take
     */
    public void compact(byte[] data) {
        if (data.length > MAX_SNAPSHOT_BYTES) {
            throw new IllegalArgumentException("a snapshot of " + data.length + " bytes, over " + MAX_SNAPSHOT_BYTES);
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
        Snapshot whole = incomingSnapshot.add(m);
        if (whole == null) {
            send(from, new Message.SnapshotChunkResponse(term, m.round(), m.index(), incomingSnapshot.bytesReceived()));
            return;
        }
        installSnapshot(whole);
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
            boolean further = m.have() != p.bytesReceived;
            p.bytesReceived = m.have();
            if (further) {
                p.chunkSentAt = null;
                sendTo(now, p);
            }
        }
    }

    // ---- leadership confirmed, and handed on

    /**
     * Has a majority confirm that this voter still leads.
     *
     * @return the round: once {@link Actions#roundConfirmed} has told of it or a later one, no other voter had been chosen
     *     when this was called; 0 where it doesn't lead
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

    /** From how many a leader has to hear, itself included, to go on and to have a round confirmed. */
    protected int leaderQuorum(int voters) {
        return majority(voters);
    }

    private void advanceConfirmedRound() {
        long by = decidingConfig().quorumValue(this::confirmedRoundOf, this::leaderQuorum);
        if (by > confirmedRound) {
            confirmedRound = by;
            actions.roundConfirmed(by);
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
     * Asks a voter to take over, as this one is about to stop: the first that has all entries, now or as soon as it has
     * them. Until then, and for an election's length at the most, nothing is proposed here.
     *
     * @return whether there is anybody to ask; it leads on until another one does
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
        if (transferDeadline != null && !isTransferSent && p.countsTowardsQuorum() && p.matchIndex == log.last() && voters().contains(p.name)) {
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

    /** All writes up to this number are on disk. */
    public void onStored(Instant now, long number) {
        List<OutboundMessage> free = diskBarrier.done(number);
        while (!pendingAppends.isEmpty() && pendingAppends.peek().number() <= diskBarrier.done()) {
            durableIndex = Math.max(durableIndex, pendingAppends.poll().lastIndex());
        }
        free.forEach(m -> actions.send(m.to(), m.message()));
        if (role == Role.CANDIDATE && diskBarrier.done() >= ownVoteWrite) {
            votesGranted.add(settings.self());
            countVotes(now);
        } else if (role == Role.LEADER) {
            advanceCommitIndex(now);
        }
    }

    /** What rests on a write waits for it; what a leader sends rests on none that is not told by its reply. */
    private void send(String to, Message m) {
        boolean free = m instanceof Message.AppendRequest || m instanceof Message.SnapshotChunk || m instanceof Message.TimeoutNow
                || m instanceof Message.VoteRequest a && a.pre() || m instanceof Message.VoteResponse r && r.pre();
        if (free || !diskBarrier.isBusy()) {
            actions.send(to, m);
        } else {
            diskBarrier.hold(new OutboundMessage(to, m));
        }
    }
}
