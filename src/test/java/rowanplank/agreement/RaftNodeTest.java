package rowanplank.agreement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Raft nodes exchanging messages one by one. VirtualTrialTest runs whole fleets under faults. */
class RaftNodeTest {
    private static final Instant ZERO = Instant.parse("2026-01-01T00:00:00Z");
    private static final Duration ELECTION = Duration.ofMillis(300);

    private record Sent(String from, String to, Message message) { }

    /**
     * A group of voters with fast disks and immediate delivery, except for messages from and to those that are cut
     * off.
     */
    private static final class Group {
        final Map<String, RaftNode> voters = new TreeMap<>();
        final Map<String, List<Entry>> committed = new TreeMap<>();
        final Map<String, byte[]> restored = new TreeMap<>();
        final List<String> events = new ArrayList<>();
        final TreeSet<String> cut = new TreeSet<>();
        final Deque<Sent> inFlight = new ArrayDeque<>();
        final boolean countOlder;
        final int maxMessageBytes;
        /** The largest snapshot chunk, including the voters' names. */
        int largestChunk;
        final Duration firstElection;
        Instant now = ZERO;

        Group(int count, boolean countOlder, int maxMessageBytes) {
            this(count, countOlder, maxMessageBytes, ELECTION);
        }

        Group(int count, boolean countOlder, int maxMessageBytes, Duration firstElection) {
            this.firstElection = firstElection;
            this.countOlder = countOlder;
            this.maxMessageBytes = maxMessageBytes;
            List<String> names = new ArrayList<>();
            for (int i = 1; i <= count; i++) {
                names.add("v" + i);
            }
            names.forEach(n -> start(n, PersistentState.initial(names)));
        }

        void start(String name, PersistentState saved) {
            committed.put(name, new ArrayList<>());
            Deque<Runnable> stored = new ArrayDeque<>();
            RaftNode[] self = new RaftNode[1];
            RaftNode.Actions actions = new RaftNode.Actions() {
                @Override
                public void send(String to, Message m) {
                    inFlight.add(new Sent(name, to, m));
                }

                @Override
                public void store(long number, Write write) {
                    stored.add(() -> self[0].onStored(now, number));
                    inFlight.add(new Sent(name, "disk", null));
                    disks.put(name, stored);
                }

                @Override
                public void committed(Entry entry) {
                    committed.get(name).add(entry);
                }

                @Override
                public void restore(Snapshot snapshot) {
                    restored.put(name, snapshot.data());
                }

                @Override
                public void becameLeader(long term) {
                    events.add(name + " leads " + term);
                }

                @Override
                public void lostLeadership() {
                    events.add(name + " leads no more");
                }

                @Override
                public void roundConfirmed(long round) {
                    events.add(name + " confirmed " + round);
                }
            };
            self[0] = new RaftNode(new RaftNode.Settings(name, ELECTION, firstElection, Duration.ofMillis(75),
                    maxMessageBytes, 100, name.hashCode()), saved, now, actions) {
                @Override
                protected boolean mayCommitByCounting(long index) {
                    return countOlder || super.mayCommitByCounting(index);
                }
            };
            voters.put(name, self[0]);
        }

        final Map<String, Deque<Runnable>> disks = new TreeMap<>();

        /** Delivers all messages in flight, and those that they cause. */
        void settle() {
            settle(m -> true);
        }

        /** Like {@link #settle()}, but messages that do not match are lost. */
        void settle(Predicate<Message> passes) {
            for (Sent s; (s = inFlight.poll()) != null;) {
                if (s.message() == null || passes.test(s.message())) {
                    deliver(s);
                }
            }
        }

        private void deliver(Sent s) {
            if (s.message() instanceof Message.SnapshotChunk p) {
                largestChunk = Math.max(largestChunk, p.bytes().length + String.join(" ", p.voters()).length());
            }
            if (s.message() == null) {
                disks.get(s.from()).poll().run();
            } else if (!cut.contains(s.from()) && !cut.contains(s.to()) && voters.containsKey(s.to())) {
                voters.get(s.to()).onMessage(now, s.from(), s.message());
            }
        }

        void pass(long ms) {
            for (long i = 0; i < ms; i += 5) {
                now = now.plusMillis(5);
                voters.values().forEach(v -> v.onTime(now));
                settle();
            }
        }

        RaftNode leader() {
            return voters.values().stream().filter(v -> v.isEstablished() && !cut.contains(v.leader())).findFirst()
                    .orElseThrow();
        }

        String leaderName() {
            return leader().leader();
        }

        List<Integer> payloads(String voter) {
            return committed.get(voter).stream().filter(e -> e.payload().length > 0).map(e -> (int) e.payload()[0])
                    .toList();
        }

        String other(String... than) {
            return voters.keySet().stream().filter(n -> !List.of(than).contains(n)).findFirst().orElseThrow();
        }
    }

    private static Group settled(int count) {
        Group g = new Group(count, false, 1000);
        g.pass(1500);
        return g;
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 5, 7})
    void proposalsAreCommittedOnAllVoters(int count) {
        Group g = settled(count);
        for (byte i = 1; i <= 20; i++) {
            assertTrue(g.leader().propose(g.now, new byte[] {i}) > 0);
        }
        g.pass(200);
        for (String v : g.voters.keySet()) {
            assertEquals(20, g.payloads(v).size(), v);
        }
    }

    /** A leader that was replaced without noticing must not get a round confirmed, or two nodes could hold a lease. */
    @Test
    void replacedLeaderConfirmsNoRoundAndStepsDown() {
        Group g = settled(3);
        String old = g.leaderName();
        RaftNode replaced = g.leader();
        g.cut.add(old);
        g.events.clear();
        long round = replaced.confirmLeadership(g.now.plusMillis(10));
        assertTrue(round > 0);
        g.pass(1500);
        assertTrue(g.events.stream().noneMatch(t -> t.startsWith(old + " confirmed")), g.events::toString);
        assertTrue(g.events.contains(old + " leads no more"));
        assertFalse(g.leaderName().equals(old));
    }

    /**
     * After a power loss the fleet serves nothing until a leader is elected, so the first election must come sooner.
     */
    @Test
    void firstElectionUsesTheShorterTimeout() {
        Duration first = ELECTION.dividedBy(4);
        Group g = new Group(3, false, 1000, first);
        g.pass(first.toMillis() * 2 + 50);
        assertTrue(g.events.stream().anyMatch(t -> t.contains("leads")), g.events::toString);
        String leader = g.leaderName();
        long term = g.leader().term();
        g.start(g.other(leader), PersistentState.initial(g.leader().voters()));
        g.pass(5000);
        assertEquals(leader, g.leaderName(), "a single voter that starts does not depose the leader");
        assertEquals(term, g.leader().term());
    }

    private static List<String> reachAll(Group g) {
        List<String> all = List.copyOf(g.voters.keySet());
        g.voters.values().forEach(v -> v.setReachable(g.now, all));
        return all;
    }

    /** After a power loss, voters that reach each other must elect a leader at once and without a split vote. */
    @ParameterizedTest
    @ValueSource(ints = {1, 3, 5, 7})
    void votersThatReachEachOtherElectALeaderAtOnce(int count) {
        Group g = new Group(count, false, 1000);
        reachAll(g);
        g.pass(50);
        assertEquals(1, g.events.stream().filter(t -> t.contains("leads")).count(), g.events::toString);
        assertEquals(1, g.leader().term(), "there was no split vote");
    }

    /**
     * A voter that yields to another candidate must do so for a limited time only, as that candidate may not be able
     * to win.
     */
    @Test
    void yieldingToAnUnelectableCandidateIsLimited() {
        Group g = new Group(3, false, 1000);
        g.cut.add("v1");
        List<String> all = List.copyOf(g.voters.keySet());
        g.voters.get("v2").setReachable(g.now, all);
        g.voters.get("v3").setReachable(g.now, all);
        g.pass(1000);
        assertTrue(g.events.stream().anyMatch(t -> t.startsWith("v2 leads") || t.startsWith("v3 leads")),
                g.events::toString);
    }

    /** Reachability reports must not trigger elections once there has been a leader. */
    @Test
    void reachabilityStartsNoElectionOnceALeaderWasHeard() {
        Group g = settled(3);
        String leader = g.leaderName();
        long term = g.leader().term();
        for (int i = 0; i < 20; i++) {
            reachAll(g);
            g.pass(20);
        }
        assertEquals(leader, g.leaderName());
        assertEquals(term, g.leader().term());
    }

    /** A voter whose log lacks a committed entry must leave the election to one that has it. */
    @Test
    void voterWithTheShorterLogYields() {
        Group g = settled(3);
        String leader = g.leaderName();
        String behind = g.other(leader);
        g.cut.add(behind);
        g.leader().propose(g.now, new byte[] {7});
        g.pass(100);
        g.cut.remove(behind);
        List<String> names = List.copyOf(g.voters.keySet());
        Entry seven = g.committed.get(leader).get(g.committed.get(leader).size() - 1);
        for (String name : names) {
            List<Entry> log = new ArrayList<>(g.committed.get(name));
            if (!name.equals(behind) && !log.contains(seven)) {
                log.add(seven);
            }
            g.start(name, new PersistentState(1, null, PersistentState.initial(names).snapshot(), log));
        }
        g.inFlight.clear();
        g.events.clear();
        reachAll(g);
        g.pass(600);
        assertTrue(g.events.stream().anyMatch(t -> t.contains(" leads ")), g.events::toString);
        assertFalse(g.events.stream().anyMatch(t -> t.startsWith(behind + " leads ")), g.events::toString);
    }

    /** A voter that was partitioned away must not depose the leader when it returns (pre-vote). */
    @Test
    void returningVoterDoesNotDeposeTheLeader() {
        Group g = settled(5);
        String leader = g.leaderName();
        long term = g.leader().term();
        String away = g.other(leader);
        g.cut.add(away);
        g.pass(5000);
        g.cut.remove(away);
        g.pass(1000);
        assertEquals(leader, g.leaderName());
        assertEquals(term, g.leader().term());
        assertEquals(term, g.voters.get(away).term());
    }

    @Test
    void laggingVoterCatchesUpByASnapshotInChunks() {
        Group g = new Group(3, false, 50);
        g.pass(1500);
        String away = g.other(g.leaderName());
        g.cut.add(away);
        for (byte i = 1; i <= 30; i++) {
            g.leader().propose(g.now, new byte[] {i});
            g.pass(10);
        }
        byte[] data = new byte[5000];
        data[4999] = 7;
        g.leader().compact(data);
        g.leader().propose(g.now, new byte[] {99});
        g.cut.remove(away);
        g.pass(2000);
        assertEquals(7, g.restored.get(away)[4999]);
        assertTrue(g.largestChunk <= 50, g.largestChunk + " bytes in a message that holds 50");
        assertEquals(List.of(99), g.payloads(away));
    }

    /**
     * While nothing can be committed, proposals beyond the limit must be rejected, and accepted ones must not be lost.
     */
    @Test
    void uncommittedEntriesAreLimited() {
        Group g = settled(3);
        RaftNode leader = g.leader();
        List<String> others = g.voters.keySet().stream().filter(v -> !v.equals(g.leaderName())).toList();
        int taken = 0;
        for (int i = 0; i < 250; i++) {
            taken += leader.propose(g.now, new byte[] {(byte) i}) > 0 ? 1 : 0;
            g.settle(m -> false);
        }
        assertEquals(100, taken);
        assertEquals(101, leader.logSize(), "with the no-op entry");
        g.pass(300);
        others.forEach(v -> assertEquals(100, g.payloads(v).size(), v));
        assertTrue(g.leader().propose(g.now, new byte[] {1}) > 0);
    }

    /** A voter that does not answer must get at most eight messages with entries, not one per entry. */
    @Test
    void appendsToASilentVoterAreLimited() {
        Group g = settled(3);
        List<Message> sent = new ArrayList<>();
        for (byte i = 1; i <= 50; i++) {
            assertTrue(g.leader().propose(g.now, new byte[] {i}) > 0);
            g.settle(m -> !(m instanceof Message.AppendResponse)
                    && (!(m instanceof Message.AppendRequest a) || a.entries().isEmpty() || sent.add(m)));
        }
        assertEquals(2 * 8, sent.size(), "to two voters");
        g.pass(1000);
        g.voters.keySet().forEach(v -> assertEquals(50, g.payloads(v).size(), v));
    }

    @Test
    void leadershipIsTransferredWithoutElectionTimeout() {
        Group g = settled(3);
        String old = g.leaderName();
        assertTrue(g.leader().transferLeadership(g.now));
        g.settle();
        assertFalse(g.leaderName().equals(old));
        assertEquals(ZERO.plusMillis(1500), g.now, "no time has passed");
    }

    @Test
    void votersChangeOneAtATime() {
        Group g = settled(3);
        g.start("v4", new PersistentState(0, null, Snapshot.initial(List.of("v1", "v2", "v3")), List.of()));
        assertEquals(0, g.leader().proposeVoterChange(g.now, List.of("v1", "v2", "v4")), "two names differ");
        assertTrue(g.leader().proposeVoterChange(g.now, List.of("v1", "v2", "v3", "v4")) > 0);
        assertEquals(0, g.leader().proposeVoterChange(g.now, List.of("v1", "v2", "v3")),
                "the first change is not committed yet");
        g.pass(300);
        assertEquals(g.committed.get("v1").size(), g.committed.get("v4").size());
        String leader = g.leaderName();
        List<String> left = new ArrayList<>(g.leader().voters());
        left.remove(leader);
        assertTrue(g.leader().proposeVoterChange(g.now, left) > 0);
        g.pass(2000);
        assertFalse(g.leaderName().equals(leader), "a leader that is no longer a voter steps down");
    }

    /**
     * Figure 8 of the Raft paper: an entry of an earlier term is on a majority, and a voter without it wins the next
     * election. If the entry counted as committed, it would be lost.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void entriesOfEarlierTermsAreNotCommittedByCounting(boolean countOlder) {
        Group g = new Group(3, countOlder, 1); // one entry per message
        List<String> names = List.of("v1", "v2", "v3");
        Entry old = Entry.command(1, 2, new byte[] {1});
        g.start("v1", new PersistentState(3, null, Snapshot.initial(names), List.of(old)));
        g.start("v3", new PersistentState(3, null, Snapshot.initial(names), List.of(Entry.noOp(1, 3))));
        g.start("v2", new PersistentState(3, null, Snapshot.initial(names), List.of()));
        RaftNode v1 = g.voters.get("v1");
        g.cut.add("v3");
        // v1 wins term 4 with the vote of v2 and sends it the old entry, but not its own no-op entry.
        while (v1.role() != RaftNode.Role.LEADER) {
            g.now = g.now.plusMillis(5);
            v1.onTime(g.now);
            g.settle(m -> !(m instanceof Message.AppendRequest) || g.voters.get("v2").lastIndex() == 0);
        }
        assertEquals(1, g.voters.get("v2").lastIndex());
        boolean counted = g.committed.get("v1").contains(old);
        assertEquals(countOlder, counted, "committed by counting");
    }

    /**
     * A voter whose state was replaced by an older copy must be reported, and count neither for commits nor for
     * rounds.
     */
    @Test
    void voterWithAnOlderCopyIsReportedAndNotCounted() {
        Group g = settled(3);
        g.leader().propose(g.now, new byte[] {1});
        g.pass(200);
        String leader = g.leaderName();
        RaftNode leads = g.leader();
        String older = g.other(leader);
        g.start(older, PersistentState.initial(List.of("v1", "v2", "v3")));
        g.pass(200);
        assertEquals(List.of(older), leads.regressedVoters());
        g.cut.add(g.other(leader, older));
        long before = g.committed.get(leader).size();
        leads.propose(g.now, new byte[] {2});
        g.events.clear();
        long round = leads.confirmLeadership(g.now.plusMillis(10));
        g.pass(290);
        assertEquals(before, g.committed.get(leader).size());
        assertFalse(g.events.contains(leader + " confirmed " + round), g.events::toString);
        assertTrue(g.events.contains(leader + " leads no more"), g.events::toString);
    }

    /**
     * A voter whose log merely ends differently must not be reported as having an older copy, even if messages are
     * lost.
     */
    @Test
    void differingLogEndIsNotReportedAsOlderCopy() {
        Group g = new Group(3, false, 1); // one entry per message
        Snapshot beginning = Snapshot.initial(List.of("v1", "v2", "v3"));
        List<Entry> both = List.of(Entry.command(1, 1, new byte[1]), Entry.command(2, 1, new byte[1]));
        List<Entry> longer = new ArrayList<>(both);
        for (int i = 3; i <= 6; i++) {
            longer.add(Entry.command(i, 1, new byte[1]));
        }
        List<Entry> later = new ArrayList<>(both);
        later.add(Entry.noOp(3, 2));
        g.start("v1", new PersistentState(2, null, beginning, later));
        g.start("v2", new PersistentState(2, null, beginning, longer));
        g.cut.add("v3");
        RaftNode v1 = g.voters.get("v1");
        int[] toLose = {1};
        for (int i = 0; i < 400; i++) { // the first message with the entry at which the logs differ is lost
            g.now = g.now.plusMillis(5);
            v1.onTime(g.now);
            g.settle(m -> !(m instanceof Message.AppendRequest a && !a.entries().isEmpty()
                    && a.entries().get(0).index() == 3
                    && toLose[0]-- > 0));
            assertEquals(List.of(), v1.regressedVoters(), "after " + 5 * i + " ms");
        }
        assertEquals(v1.commitIndex(), v1.lastIndex());
    }
}
