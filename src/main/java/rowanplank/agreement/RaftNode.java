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
 * owner lets it grow before {@link #compact}; {@value #MOST_HELD} messages that wait for the disk, of more the oldest
 * are dropped as if lost; a snapshot of {@value #MAX_SNAPSHOT_BYTES} bytes. A call costs O(voters) and the entries that
 * it moves.
 */
public class RaftNode {
    public static final int MAX_SNAPSHOT_BYTES = 8 << 20;
    private static final int MOST_HELD = 1000;
    /** So many messages with entries may be on their way to a voter that has not answered. */
    private static final int WINDOW = 8;
    /** Rounds that are wanted in quick succession become one. */
    private static final Duration GATHER = Duration.ofMillis(3);
    /** Who reaches a majority before it has heard of any leader asks for votes within this time. */
    private static final Duration FIRST_TURN = Duration.ofMillis(40);
    /** For so long a voter then leaves the election to another one that has asked first. */
    private static final Duration GIVE_WAY = Duration.ofMillis(250);
    /** So often; then it asks whatever the others do, so that nobody waits for ever for one that can't win. */
    private static final int MOST_WAYS_GIVEN = 3;

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

        private final Duration patience;
        /** Of the entries kept before the snapshot, for voters that are a moment late. */
        private final int trailingBytes;
        /** Whether entries are sent only once it is known where they belong. */
        private final boolean probesFirst;

        Transport(Duration patience, int trailingBytes, boolean probesFirst) {
            this.patience = patience;
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

    private record PendingAppend(long number, long last) { }

    private final Settings settings;
    private final Actions actions;
    private final SplittableRandom random;
    private final EntryLog log;
    private VoterConfig membership;
    private long term;
    private String vote;
    private long commit;
    private long applied;

    private Role role = Role.FOLLOWER;
    private String leader;
    private Instant leaderHeard;
    private Instant electionDue;
    /** Whether a leader has been heard, or this voter has led, since its start. */
    private boolean hasHeardLeader;
    /** Whether the owner tells who can be reached. */
    private boolean isToldOfReach;
    private int waysGiven;
    private final TreeSet<String> granted = new TreeSet<>();

    /** As a leader. */
    private final Map<String, PeerProgress> peers = new TreeMap<>();
    /** Who gets the log without a vote. */
    private final TreeSet<String> learners = new TreeSet<>();
    private long opening;
    private boolean established;
    private Instant heartbeatDue;
    private Instant roundBegan;
    private boolean roundWanted;
    private long round;
    private long confirmedRound;
    private Instant handingOverUntil;
    private boolean handedOver;

    private final DurabilityBarrier<OutboundMessage> disk = new DurabilityBarrier<>(MOST_HELD);
    private long ownVote;
    private long durable;
    private final Deque<PendingAppend> unstored = new ArrayDeque<>();

    private final SnapshotAssembler incoming = new SnapshotAssembler();

    /** @param saved what is on disk: the owner's state machine is to be as its snapshot has it */
    public RaftNode(Settings settings, PersistentState saved, Instant now, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        random = new SplittableRandom(settings.seed());
        log = new EntryLog(saved.snapshot(), saved.entries(), settings.transport().trailingBytes);
        term = saved.term();
        vote = saved.vote();
        commit = saved.snapshot().index();
        applied = commit;
        durable = log.last();
        membership = log.membership();
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
        return membership.voters();
    }

    /** Who votes, with those that are on their way out. */
    public VoterConfig voterConfig() {
        return membership;
    }

    /** Whether the last change of the voters is decided; until then no other one is taken. */
    public boolean isVoterChangeCommitted() {
        return log.lastChange() <= commit;
    }

    public long commitIndex() {
        return commit;
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
        return commit - log.snapshot().index();
    }

    /** Whether it leads and has all that was decided before: only then may it answer for the state machine. */
    public boolean isEstablished() {
        return role == Role.LEADER && established;
    }

    /** Of a leader: up to where a voter's log is known to be alike. */
    public Map<String, Long> matchIndexes() {
        Map<String, Long> found = new TreeMap<>();
        peers.values().forEach(p -> found.put(p.name, p.match));
        return found;
    }

    /** Of a leader: voters that have less on disk than they had told of to it. */
    public List<String> regressedVoters() {
        return peers.values().stream().filter(p -> p.regressed).map(p -> p.name).toList();
    }

    /** When {@link #onTime} is to be called next; null where nothing is due. */
    public Instant due() {
        if (role != Role.LEADER) {
            return mayStand() ? electionDue : null;
        }
        Instant gathered = roundBegan.plus(GATHER);
        return roundWanted && gathered.isBefore(heartbeatDue) ? gathered : heartbeatDue;
    }

    /**
     * Who has a vote stands, and who had one until a change that is not decided yet: it may be the only one that holds the
     * change, and the others then choose nobody who does not (section 4.2.2 of Ongaro's thesis). Its own vote counts
     * where it has one.
     */
    private boolean mayStand() {
        long change = log.lastChange();
        return isVoter() || change > commit && change > log.first() - 1
                && log.membershipAfter(change - 1).includes(settings.self());
    }

    private boolean isVoter() {
        return membership.includes(settings.self());
    }

    private Collection<String> others() {
        List<String> others = membership.allVoters();
        others.remove(settings.self());
        return others;
    }

    /** Who decides now. */
    protected VoterConfig decidingConfig() {
        return membership;
    }

    /** How many of so many voters decide. */
    protected int majority(int voters) {
        return voters / 2 + 1;
    }

    // ---- time

    public void onTime(Instant now) {
        if (role == Role.LEADER) {
            if (!now.isBefore(heartbeatDue)) {
                beat(now);
            } else if (roundWanted && !now.isBefore(roundBegan.plus(GATHER))) {
                beginRound(now);
            }
        } else if (mayStand() && !now.isBefore(electionDue)) {
            ask(now);
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
        isToldOfReach = true;
        boolean mayAsk = role == Role.FOLLOWER || role == Role.ASKING;
        if (hasHeardLeader || !mayAsk || waysGiven > 0 || !mayStand() || !reachesMajority(names)) {
            return;
        }
        Instant turn = now.plusNanos(random.nextLong(FIRST_TURN.toNanos()));
        if (turn.isBefore(electionDue)) {
            electionDue = turn;
        }
    }

    private boolean reachesMajority(Collection<String> names) {
        return decidingConfig().quorumValue(name -> name.equals(settings.self()) || names.contains(name) ? 1 : 0,
                this::majority) == 1;
    }

    /** What a voter waits for that has not heard of a leader yet is a shorter time. */
    private Duration patience() {
        return isToldOfReach && !hasHeardLeader ? settings.firstElectionTimeout() : settings.electionTimeout();
    }

    private void beat(Instant now) {
        if (decidingConfig().quorumValue(name -> hears(name, now) ? 1 : 0, this::leaderQuorum) < 1) {
            follow(now, term, null);
            return;
        }
        if (handingOverUntil != null && !now.isBefore(handingOverUntil)) {
            handingOverUntil = null;
        }
        for (PeerProgress p : peers.values()) {
            p.sendAgain(now, settings.transport().patience);
        }
        beginRound(now);
    }

    private boolean hears(String name, Instant now) {
        if (name.equals(settings.self())) {
            return true;
        }
        PeerProgress p = peers.get(name);
        return p != null && !p.regressed && p.heard.plus(settings.electionTimeout()).isAfter(now);
    }

    private void beginRound(Instant now) {
        round++;
        roundBegan = now;
        roundWanted = false;
        heartbeatDue = now.plus(settings.heartbeatInterval());
        for (PeerProgress p : peers.values()) {
            sendTo(now, p);
        }
        countRounds();
    }

    // ---- elections

    /** Would I get the votes? Guards against a voter that was cut off and comes back with a high term. */
    private void ask(Instant now) {
        awaitElection(now, leaderHeard == null ? settings.firstElectionTimeout() : settings.electionTimeout());
        role = Role.ASKING;
        leader = null;
        granted.clear();
        granted.add(settings.self());
        for (String other : others()) {
            send(other, new Message.VoteRequest(term + 1, true, false, log.last(), log.lastTerm()));
        }
        countVotes(now);
    }

    private void stand(Instant now, boolean handover) {
        awaitElection(now, patience());
        role = Role.CANDIDATE;
        leader = null;
        granted.clear();
        term++;
        vote = settings.self();
        ownVote = store(new Write.Vote(term, vote)); // its own vote counts once it is on disk
        for (String other : others()) {
            send(other, new Message.VoteRequest(term, false, handover, log.last(), log.lastTerm()));
        }
    }

    private void countVotes(Instant now) {
        if (decidingConfig().quorumValue(name -> granted.contains(name) ? 1 : 0, this::majority) < 1) {
            return;
        }
        if (role == Role.ASKING) {
            stand(now, false);
        } else {
            lead(now);
        }
    }

    private void onVoteAsk(Instant now, String from, Message.VoteRequest m) {
        boolean content = role == Role.LEADER
                || leader != null && leaderHeard.plus(settings.electionTimeout()).isAfter(now);
        if (m.term() > term && content && !m.handover()) {
            return; // whoever hears its leader helps nobody to unseat it
        }
        if (m.pre()) {
            boolean would = m.term() > term && isUpToDate(m);
            send(from, new Message.VoteResponse(would ? m.term() : term, true, would));
            if (would) {
                giveWay(now, from, m);
            }
            return;
        }
        if (m.term() > term) {
            follow(now, m.term(), null);
        }
        boolean grants = m.term() == term && isUpToDate(m) && (vote == null || vote.equals(from));
        if (grants) {
            awaitElection(now);
            if (vote == null) {
                vote = from;
                store(new Write.Vote(term, vote));
            }
        }
        send(from, new Message.VoteResponse(term, false, grants));
    }

    /**
     * Where nobody has led yet, one is left to win: of two that ask, the one whose log says more, or the first by name.
     * Without it voters that start together would share out the votes among themselves.
     */
    private void giveWay(Instant now, String from, Message.VoteRequest m) {
        boolean sameLog = m.lastTerm() == log.lastTerm() && m.lastIndex() == log.last();
        boolean goesBefore = role == Role.FOLLOWER
                || role == Role.ASKING && (!sameLog || from.compareTo(settings.self()) < 0);
        if (!isToldOfReach || hasHeardLeader || waysGiven == MOST_WAYS_GIVEN || !goesBefore) {
            return;
        }
        waysGiven++;
        role = Role.FOLLOWER;
        electionDue = now.plus(GIVE_WAY).plusNanos(random.nextLong(FIRST_TURN.toNanos()));
    }

    /** Whether the one who asks has at least what this voter has: only then can nothing decided be missing there. */
    protected boolean isUpToDate(Message.VoteRequest m) {
        return m.lastTerm() > log.lastTerm() || m.lastTerm() == log.lastTerm() && m.lastIndex() >= log.last();
    }

    private void onVoteReply(Instant now, String from, Message.VoteResponse m) {
        if (!m.granted()) {
            return;
        }
        if (m.pre() ? role == Role.ASKING && m.term() == term + 1 : role == Role.CANDIDATE && m.term() == term) {
            granted.add(from);
            countVotes(now);
        }
    }

    private void lead(Instant now) {
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
        handingOverUntil = null;
        opening = log.last() + 1;
        write(List.of(Entry.noOp(opening, term)));
        beginRound(now);
    }

    private void follow(Instant now, long newTerm, String newLeader) {
        boolean led = role == Role.LEADER;
        if (newTerm > term) {
            term = newTerm;
            vote = null;
            store(new Write.Vote(term, null));
        }
        role = Role.FOLLOWER;
        leader = newLeader;
        leaderHeard = now;
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
            onVoteAsk(now, from, ask);
            return;
        }
        boolean future = m instanceof Message.VoteResponse r && r.pre() && r.granted();
        if (m.term() > term && !future) {
            follow(now, m.term(), null);
        }
        if (m.term() < term) {
            if (m instanceof Message.AppendRequest || m instanceof Message.SnapshotChunk) {
                send(from, new Message.AppendResponse(term, 0, false, 0)); // so that an old leader hears of the new term
            }
            return;
        }
        if (m instanceof Message.VoteResponse reply) {
            onVoteReply(now, from, reply);
        } else if (m instanceof Message.AppendRequest append) {
            hear(now, from);
            onAppend(from, append);
        } else if (m instanceof Message.SnapshotChunk piece) {
            hear(now, from);
            onPiece(from, piece);
        } else if (m instanceof Message.AppendResponse reply) {
            onAppendReply(now, from, reply);
        } else if (m instanceof Message.SnapshotChunkResponse reply) {
            onPieceReply(now, from, reply);
        } else if (m instanceof Message.TimeoutNow && isVoter() && role == Role.FOLLOWER) {
            stand(now, true);
        }
    }

    private void hear(Instant now, String from) {
        if (role == Role.LEADER) {
            throw new IllegalStateException("two leaders of term " + term + ": " + settings.self() + " and " + from);
        }
        role = Role.FOLLOWER;
        hasHeardLeader = true;
        leader = from;
        leaderHeard = now;
        awaitElection(now);
    }

    // ---- the log, at those who follow

    private void onAppend(String from, Message.AppendRequest m) {
        long end = m.previous() + m.entries().size();
        long previous = Math.max(m.previous(), log.snapshot().index());
        if (!isLogConsistent(m, previous)) {
            send(from, new Message.AppendResponse(term, m.round(), false, mayBeAlike(previous)));
            return;
        }
        List<Entry> fresh = new ArrayList<>();
        for (Entry e : m.entries()) {
            if (!fresh.isEmpty()) {
                fresh.add(e);
            } else if (e.index() > previous && log.term(e.index()) != e.term()) {
                cutFrom(e.index());
                fresh.add(e);
            }
        }
        write(fresh);
        long match = Math.max(end, previous);
        commitTo(Math.min(m.commit(), match));
        send(from, new Message.AppendResponse(term, m.round(), true, match));
    }

    /** Whether all up to the entry before the new ones is alike at the leader: by induction, where that one is. */
    protected boolean isLogConsistent(Message.AppendRequest m, long previous) {
        return m.previous() < log.snapshot().index() || log.term(previous) == m.previousTerm();
    }

    /** Before this entry, or before all of its term, so that a leader passes over a whole term at once. */
    private long mayBeAlike(long previous) {
        if (previous > log.last()) {
            return log.last();
        }
        long other = log.term(previous);
        long i = previous - 1;
        while (i > commit && log.term(i) == other) {
            i--;
        }
        return Math.max(i, commit);
    }

    private void cutFrom(long index) {
        if (index > log.last()) {
            return;
        }
        if (index <= commit) {
            throw new IllegalStateException("entry " + index + " is decided, and another leader has another one");
        }
        log.cutFrom(index);
        membership = log.membership();
        durable = Math.min(durable, index - 1);
        unstored.clear();
    }

    private void write(List<Entry> entries) {
        if (entries.isEmpty()) {
            return;
        }
        entries.forEach(log::append);
        membership = log.membership();
        unstored.add(new PendingAppend(store(new Write.Entries(entries)), log.last()));
    }

    private void commitTo(long index) {
        commit = Math.max(commit, index);
        while (applied < commit) {
            applied++;
            actions.committed(log.get(applied));
        }
        if (role == Role.LEADER && !established && commit >= opening) {
            established = true;
            actions.becameLeader(term);
        }
    }

    // ---- the log, at the leader

    /** @return the entry's index; 0 where this voter doesn't lead, or too much is undecided */
    public long propose(Instant now, byte[] payload) {
        if (!isEstablished() || handingOverUntil != null || log.last() - commit >= settings.maxUncommitted()) {
            return 0;
        }
        return appendOwn(Entry.command(log.last() + 1, term, payload));
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
        long index = appendOwn(Entry.voterChange(log.last() + 1, term, changed));
        difference.forEach(name -> peers.putIfAbsent(name, new PeerProgress(name, index + 1, now)));
        return index;
    }

    private boolean mayChangeVoters() {
        return isEstablished() && handingOverUntil == null && log.lastChange() <= commit && !membership.isJoint();
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
        peers.keySet().removeIf(name -> !membership.includes(name) && !learners.contains(name));
        for (String name : learners) {
            peers.computeIfAbsent(name, n -> new PeerProgress(n, log.last() + 1, now));
        }
    }

    /** Whether a name, with a vote or without, is there and holds on its disk all that is decided; of a leader. */
    public boolean hasAllCommitted(String name) {
        PeerProgress p = peers.get(name);
        return name.equals(settings.self()) || p != null && p.counts() && p.match >= commit && hears(name, roundBegan);
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
        return appendOwn(Entry.configChange(log.last() + 1, term, membership.transitionTo(changed)));
    }

    /** There is a new connection to a voter: what was under way on the one before is lost. */
    public void onReconnected(Instant now, String name) {
        PeerProgress p = peers.get(name);
        if (role == Role.LEADER && p != null) {
            p.sendAgain(now, Duration.ZERO);
            p.pieceSent = null;
            sendTo(now, p);
        }
    }

    private long appendOwn(Entry entry) {
        write(List.of(entry));
        for (PeerProgress p : peers.values()) {
            if (p.sending == null) {
                sendTo(roundBegan, p);
            }
        }
        return entry.index();
    }

    private void sendTo(Instant now, PeerProgress p) {
        if (p.next < log.firstKept()) {
            sendPiece(now, p);
            return;
        }
        p.sending = null;
        List<Entry> entries = p.mayBeSentEntries(WINDOW, settings.transport().probesFirst) ? log.from(p.next, settings.maxMessageBytes()) : List.of();
        send(p.name, new Message.AppendRequest(term, p.next - 1, log.term(p.next - 1), commit, round, entries));
        p.sent(entries.size());
    }

    /** Whether a snapshot that is on its way is sent to its end, though there is a newer one. */
    protected boolean keepsStartedSnapshot() {
        return true;
    }

    /** A snapshot that is on its way stays the same until it is there, however many newer ones there are meanwhile. */
    private void sendPiece(Instant now, PeerProgress p) {
        if (p.sending == null || !keepsStartedSnapshot() && p.sending.index() != log.snapshot().index()) {
            p.sending = log.snapshot();
            p.have = 0;
            p.pieceSent = null;
        }
        Snapshot s = p.sending;
        boolean again = p.pieceSent == null || !now.isBefore(p.pieceSent.plus(settings.transport().patience));
        int length = again ? Math.min(roomBeside(s.voters()), s.data().length - p.have) : 0;
        byte[] bytes = new byte[length];
        System.arraycopy(s.data(), p.have, bytes, 0, length);
        send(p.name, new Message.SnapshotChunk(term, round, s.index(), s.term(), s.voters(), s.data().length, p.have, bytes));
        if (again) {
            p.pieceSent = now;
        }
    }

    /** Guards against pieces that no datagram holds: the voters' names go with each, and may be long. */
    private int roomBeside(List<String> names) {
        int taken = names.stream().mapToInt(n -> n.length() + 1).sum();
        return Math.max(settings.maxMessageBytes() / 4, settings.maxMessageBytes() - taken);
    }

    private void onAppendReply(Instant now, String from, Message.AppendResponse m) {
        PeerProgress p = role == Role.LEADER ? peers.get(from) : null;
        if (p == null) {
            return;
        }
        boolean goesBack = !m.ok() && m.round() >= p.refusedRound && m.match() + 1 < p.next
                && p.refused(m.match(), m.round(), round);
        hearPeer(now, p, m.round());
        if (m.ok()) {
            p.alikeTo(m.match());
            handOverTo(p);
            count(now);
            if (role == Role.LEADER && p.next <= log.last() && p.underWay < WINDOW) {
                sendTo(now, p);
            }
        } else if (goesBack) {
            sendTo(now, p);
        }
    }

    private void hearPeer(Instant now, PeerProgress p, long itsRound) {
        p.heard = now;
        p.round = Math.max(p.round, itsRound);
        countRounds();
    }

    /** What a majority has on disk is decided. */
    private void count(Instant now) {
        long decided = decidingConfig().quorumValue(this::onDiskOf, this::majority);
        if (decided > commit && mayCommitByCounting(decided)) {
            commitTo(decided);
            settle(now);
        }
    }

    private long onDiskOf(String voter) {
        if (voter.equals(settings.self())) {
            return durable;
        }
        PeerProgress p = peers.get(voter);
        return p == null || !p.counts() ? 0 : p.match;
    }

    /** Of earlier terms nothing is decided by counting (section 5.4.2 of the paper), only by what stands behind it. */
    protected boolean mayCommitByCounting(long index) {
        return log.term(index) == term;
    }

    /**
     * After a decided change of the voters: a joint step is followed by the last one; those that are none any more hear
     * nothing more, this one steps down.
     */
    private void settle(Instant now) {
        if (log.lastChange() > commit) {
            return;
        }
        if (membership.isJoint()) {
            appendOwn(Entry.voterChange(log.last() + 1, term, voters()));
            return;
        }
        if (!isVoter()) {
            beginRound(now); // so that the others hear that the change is decided
            follow(now, term, null);
            return;
        }
        peers.keySet().removeIf(name -> !membership.includes(name) && !learners.contains(name));
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
        VoterConfig then = log.membershipAfter(applied);
        if (applied > log.snapshot().index() && !then.isJoint()) {
            log.replace(new Snapshot(applied, log.term(applied), then.voters(), data));
            store(new Write.FullState(saved()));
        }
    }

    private PersistentState saved() {
        return new PersistentState(term, vote, log.snapshot(), log.all());
    }

    private void onPiece(String from, Message.SnapshotChunk m) {
        if (m.index() <= commit) {
            send(from, new Message.AppendResponse(term, m.round(), true, commit));
            return;
        }
        if (m.whole() < 0 || m.whole() > MAX_SNAPSHOT_BYTES) {
            return;
        }
        Snapshot whole = incoming.add(m);
        if (whole == null) {
            send(from, new Message.SnapshotChunkResponse(term, m.round(), m.index(), incoming.have()));
            return;
        }
        takeUp(whole);
        send(from, new Message.AppendResponse(term, m.round(), true, m.index()));
    }

    private void takeUp(Snapshot snapshot) {
        log.replace(snapshot);
        membership = log.membership();
        commit = snapshot.index();
        applied = commit;
        unstored.clear();
        durable = Math.min(durable, commit);
        unstored.add(new PendingAppend(store(new Write.FullState(saved())), log.last()));
        actions.restore(snapshot);
    }

    private void onPieceReply(Instant now, String from, Message.SnapshotChunkResponse m) {
        PeerProgress p = role == Role.LEADER ? peers.get(from) : null;
        if (p == null) {
            return;
        }
        hearPeer(now, p, m.round());
        if (p.sending != null && p.sending.index() == m.index() && m.have() >= 0
                && m.have() <= p.sending.data().length) {
            boolean further = m.have() != p.have;
            p.have = m.have();
            if (further) {
                p.pieceSent = null;
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
        if (now.isBefore(roundBegan.plus(GATHER))) {
            roundWanted = true;
            return round + 1;
        }
        beginRound(now);
        return round;
    }

    /** From how many a leader has to hear, itself included, to go on and to have a round confirmed. */
    protected int leaderQuorum(int voters) {
        return majority(voters);
    }

    private void countRounds() {
        long by = decidingConfig().quorumValue(this::roundOf, this::leaderQuorum);
        if (by > confirmedRound) {
            confirmedRound = by;
            actions.roundConfirmed(by);
        }
    }

    private long roundOf(String voter) {
        if (voter.equals(settings.self())) {
            return round;
        }
        PeerProgress p = peers.get(voter);
        return p == null || !p.counts() ? 0 : p.round;
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
        handingOverUntil = now.plus(settings.electionTimeout());
        handedOver = false;
        peers.values().forEach(this::handOverTo);
        return true;
    }

    private void handOverTo(PeerProgress p) {
        if (handingOverUntil != null && !handedOver && p.counts() && p.match == log.last() && voters().contains(p.name)) {
            handedOver = true;
            send(p.name, new Message.TimeoutNow(term));
        }
    }

    // ---- disk

    private long store(Write write) {
        long number = disk.begin();
        actions.store(number, write);
        return number;
    }

    /** All writes up to this number are on disk. */
    public void onStored(Instant now, long number) {
        List<OutboundMessage> free = disk.done(number);
        while (!unstored.isEmpty() && unstored.peek().number() <= disk.done()) {
            durable = Math.max(durable, unstored.poll().last());
        }
        free.forEach(m -> actions.send(m.to(), m.message()));
        if (role == Role.CANDIDATE && disk.done() >= ownVote) {
            granted.add(settings.self());
            countVotes(now);
        } else if (role == Role.LEADER) {
            count(now);
        }
    }

    /** What rests on a write waits for it; what a leader sends rests on none that is not told by its reply. */
    private void send(String to, Message m) {
        boolean free = m instanceof Message.AppendRequest || m instanceof Message.SnapshotChunk || m instanceof Message.TimeoutNow
                || m instanceof Message.VoteRequest a && a.pre() || m instanceof Message.VoteResponse r && r.pre();
        if (free || !disk.isBusy()) {
            actions.send(to, m);
        } else {
            disk.hold(new OutboundMessage(to, m));
        }
    }
}
