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

/** The agreement by itself, message by message; whole fleets under faults are played by VirtualTrialTest. */
class RaftNodeTest {
    private static final Instant ZERO = Instant.parse("2026-01-01T00:00:00Z");
    private static final Duration ELECTION = Duration.ofMillis(300);

    private record Sent(String from, String to, Message message) { }

    /** Voters whose disks are quick and whose messages go at once, but for those that are cut off. */
    private static final class Group {
        final Map<String, RaftNode> voters = new TreeMap<>();
        final Map<String, List<Entry>> decided = new TreeMap<>();
        final Map<String, byte[]> restored = new TreeMap<>();
        final List<String> told = new ArrayList<>();
        final TreeSet<String> cut = new TreeSet<>();
        final Deque<Sent> under = new ArrayDeque<>();
        final boolean countOlder;
        final int mostBytes;
        /** With the voters' names. */
        int longestPiece;
        final Duration firstElection;
        Instant now = ZERO;

        Group(int count, boolean countOlder, int mostBytes) {
            this(count, countOlder, mostBytes, ELECTION);
        }

        Group(int count, boolean countOlder, int mostBytes, Duration firstElection) {
            this.firstElection = firstElection;
            this.countOlder = countOlder;
            this.mostBytes = mostBytes;
            List<String> names = new ArrayList<>();
            for (int i = 1; i <= count; i++) {
                names.add("v" + i);
            }
            names.forEach(n -> start(n, PersistentState.initial(names)));
        }

        void start(String name, PersistentState saved) {
            decided.put(name, new ArrayList<>());
            Deque<Runnable> stored = new ArrayDeque<>();
            RaftNode[] self = new RaftNode[1];
            RaftNode.Actions actions = new RaftNode.Actions() {
                @Override
                public void send(String to, Message m) {
                    under.add(new Sent(name, to, m));
                }

                @Override
                public void store(long number, Write write) {
                    stored.add(() -> self[0].onStored(now, number));
                    under.add(new Sent(name, "disk", null));
                    disks.put(name, stored);
                }

                @Override
                public void committed(Entry entry) {
                    decided.get(name).add(entry);
                }

                @Override
                public void restore(Snapshot snapshot) {
                    restored.put(name, snapshot.data());
                }

                @Override
                public void becameLeader(long term) {
                    told.add(name + " leads " + term);
                }

                @Override
                public void lostLeadership() {
                    told.add(name + " leads no more");
                }

                @Override
                public void roundConfirmed(long round) {
                    told.add(name + " confirmed " + round);
                }
            };
            self[0] = new RaftNode(new RaftNode.Settings(name, ELECTION, firstElection, Duration.ofMillis(75),
                    mostBytes, 100, name.hashCode()), saved, now, actions) {
                @Override
                protected boolean mayCommitByCounting(long index) {
                    return countOlder || super.mayCommitByCounting(index);
                }
            };
            voters.put(name, self[0]);
        }

        final Map<String, Deque<Runnable>> disks = new TreeMap<>();

        /** All that is under way arrives, and what follows from it. */
        void settle() {
            settle(m -> true);
        }

        /** As {@link #settle}, but messages that do not pass are lost. */
        void settle(Predicate<Message> passes) {
            for (Sent s; (s = under.poll()) != null;) {
                if (s.message() == null || passes.test(s.message())) {
                    deliver(s);
                }
            }
        }

        private void deliver(Sent s) {
            if (s.message() instanceof Message.SnapshotChunk p) {
                longestPiece = Math.max(longestPiece, p.bytes().length + String.join(" ", p.voters()).length());
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
            return decided.get(voter).stream().filter(e -> e.payload().length > 0).map(e -> (int) e.payload()[0]).toList();
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
    void whatIsProposedIsDecidedAtAll(int count) {
        Group g = settled(count);
        for (byte i = 1; i <= 20; i++) {
            assertTrue(g.leader().propose(g.now, new byte[] {i}) > 0);
        }
        g.pass(200);
        for (String v : g.voters.keySet()) {
            assertEquals(20, g.payloads(v).size(), v);
        }
    }

    /** Guards leases: a leader that was replaced and does not know it must not have a round confirmed. */
    @Test
    void aLeaderThatWasReplacedConfirmsNothingAndStepsDown() {
        Group g = settled(3);
        String old = g.leaderName();
        RaftNode replaced = g.leader();
        g.cut.add(old);
        g.told.clear();
        long round = replaced.confirmLeadership(g.now.plusMillis(10));
        assertTrue(round > 0);
        g.pass(1500);
        assertTrue(g.told.stream().noneMatch(t -> t.startsWith(old + " confirmed")), g.told::toString);
        assertTrue(g.told.contains(old + " leads no more"));
        assertFalse(g.leaderName().equals(old));
    }

    /** Guards a fleet that lost its power: it serves nothing until there is a leader. */
    @Test
    void votersThatStartTogetherElectSoonerThanLaterOnes() {
        Duration first = ELECTION.dividedBy(4);
        Group g = new Group(3, false, 1000, first);
        g.pass(first.toMillis() * 2 + 50);
        assertTrue(g.told.stream().anyMatch(t -> t.contains("leads")), g.told::toString);
        String leader = g.leaderName();
        long term = g.leader().term();
        g.start(g.other(leader), PersistentState.initial(g.leader().voters()));
        g.pass(5000);
        assertEquals(leader, g.leaderName(), "one that starts alone unseats nobody");
        assertEquals(term, g.leader().term());
    }

    private static List<String> reachAll(Group g) {
        List<String> all = List.copyOf(g.voters.keySet());
        g.voters.values().forEach(v -> v.setReachable(g.now, all));
        return all;
    }

    /** Guards a fleet that lost its power: voters that reach each other elect one of them at once, and in one go. */
    @ParameterizedTest
    @ValueSource(ints = {1, 3, 5, 7})
    void votersThatReachEachOtherElectAtOnce(int count) {
        Group g = new Group(count, false, 1000);
        reachAll(g);
        g.pass(50);
        assertEquals(1, g.told.stream().filter(t -> t.contains("leads")).count(), g.told::toString);
        assertEquals(1, g.leader().term(), "no vote was shared out");
    }

    /** Guards elections among voters that know less: whoever gives way does so for a while only. */
    @Test
    void theFirstByNameDoesNotKeepOthersFromBeingElected() {
        Group g = new Group(3, false, 1000);
        g.cut.add("v1");
        List<String> all = List.copyOf(g.voters.keySet());
        g.voters.get("v2").setReachable(g.now, all);
        g.voters.get("v3").setReachable(g.now, all);
        g.pass(1000);
        assertTrue(g.told.stream().anyMatch(t -> t.startsWith("v2 leads") || t.startsWith("v3 leads")), g.told::toString);
    }

    /** Guards a leader: that a voter reaches others says nothing once somebody has led. */
    @Test
    void whoHasHeardALeaderAsksNoSooner() {
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

    /** Guards what was decided: a voter whose log lacks something leaves the election to one that has it. */
    @Test
    void whoHasLessGivesWay() {
        Group g = settled(3);
        String leader = g.leaderName();
        String behind = g.other(leader);
        g.cut.add(behind);
        g.leader().propose(g.now, new byte[] {7});
        g.pass(100);
        g.cut.remove(behind);
        List<String> names = List.copyOf(g.voters.keySet());
        Entry seven = g.decided.get(leader).get(g.decided.get(leader).size() - 1);
        for (String name : names) {
            List<Entry> log = new ArrayList<>(g.decided.get(name));
            if (!name.equals(behind) && !log.contains(seven)) {
                log.add(seven);
            }
            g.start(name, new PersistentState(1, null, PersistentState.initial(names).snapshot(), log));
        }
        g.under.clear();
        g.told.clear();
        reachAll(g);
        g.pass(600);
        assertTrue(g.told.stream().anyMatch(t -> t.contains(" leads ")), g.told::toString);
        assertFalse(g.told.stream().anyMatch(t -> t.startsWith(behind + " leads ")), g.told::toString);
    }

    /** Guards the others: one that was away for long must not unseat a leader that they hear (pre-vote). */
    @Test
    void whoComesBackDisturbsNobody() {
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
    void whoWasAwayIsCaughtUpByASnapshotInPieces() {
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
        assertTrue(g.longestPiece <= 50, g.longestPiece + " bytes, and a message holds 50 of content");
        assertEquals(List.of(99), g.payloads(away));
    }

    /** Guards memory while nobody decides: what is beyond the bound is not taken, and nothing that was taken is lost. */
    @Test
    void aLogIsNotLongerThanItsBound() {
        Group g = settled(3);
        RaftNode leader = g.leader();
        List<String> others = g.voters.keySet().stream().filter(v -> !v.equals(g.leaderName())).toList();
        int taken = 0;
        for (int i = 0; i < 250; i++) {
            taken += leader.propose(g.now, new byte[] {(byte) i}) > 0 ? 1 : 0;
            g.settle(m -> false);
        }
        assertEquals(100, taken);
        assertEquals(101, leader.logSize(), "with the opening entry");
        g.pass(300);
        others.forEach(v -> assertEquals(100, g.payloads(v).size(), v));
        assertTrue(g.leader().propose(g.now, new byte[] {1}) > 0);
    }

    /** Guards the network and a slow voter: whoever does not answer is sent eight messages with entries, not one for each. */
    @Test
    void whoDoesNotAnswerIsNotFlooded() {
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
    void leadershipIsHandedOnWithoutAnElectionsWait() {
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
        assertEquals(0, g.leader().proposeVoterChange(g.now, List.of("v1", "v2", "v3")), "one is not decided yet");
        g.pass(300);
        assertEquals(g.decided.get("v1").size(), g.decided.get("v4").size());
        String leader = g.leaderName();
        List<String> left = new ArrayList<>(g.leader().voters());
        left.remove(leader);
        assertTrue(g.leader().proposeVoterChange(g.now, left) > 0);
        g.pass(2000);
        assertFalse(g.leaderName().equals(leader), "a leader that votes no more steps down");
    }

    /**
     * Figure 8 of the paper: an entry of an earlier term stands at a majority, and a voter that never had it wins the
     * next election. Counted as decided, it would be taken back.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void entriesOfEarlierTermsAreNotDecidedByCounting(boolean countOlder) {
        Group g = new Group(3, countOlder, 1); // one entry a message
        List<String> names = List.of("v1", "v2", "v3");
        Entry old = Entry.command(1, 2, new byte[] {1});
        g.start("v1", new PersistentState(3, null, Snapshot.initial(names), List.of(old)));
        g.start("v3", new PersistentState(3, null, Snapshot.initial(names), List.of(Entry.noOp(1, 3))));
        g.start("v2", new PersistentState(3, null, Snapshot.initial(names), List.of()));
        RaftNode v1 = g.voters.get("v1");
        g.cut.add("v3");
        // v1 wins term 4 with the vote of v2, and brings it the old entry, but not its own opening one.
        while (v1.role() != RaftNode.Role.LEADER) {
            g.now = g.now.plusMillis(5);
            v1.onTime(g.now);
            g.settle(m -> !(m instanceof Message.AppendRequest) || g.voters.get("v2").lastIndex() == 0);
        }
        assertEquals(1, g.voters.get("v2").lastIndex());
        boolean counted = g.decided.get("v1").contains(old);
        assertEquals(countOlder, counted, "decided by counting");
    }

    /** Guards what is decided: a voter whose state was put back is named, and counts neither for entries nor for rounds. */
    @Test
    void anOlderCopyIsNamedAndNotCounted() {
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
        long before = g.decided.get(leader).size();
        leads.propose(g.now, new byte[] {2});
        g.told.clear();
        long round = leads.confirmLeadership(g.now.plusMillis(10));
        g.pass(290);
        assertEquals(before, g.decided.get(leader).size());
        assertFalse(g.told.contains(leader + " confirmed " + round), g.told::toString);
        assertTrue(g.told.contains(leader + " leads no more"), g.told::toString);
    }

    /** Guards staff from a false word: an end of the log that differs is no older copy, whatever is lost on the way. */
    @Test
    void anEndThatDiffersIsNoOlderCopy() {
        Group g = new Group(3, false, 1); // one entry a message
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
            g.settle(m -> !(m instanceof Message.AppendRequest a && !a.entries().isEmpty() && a.entries().get(0).index() == 3
                    && toLose[0]-- > 0));
            assertEquals(List.of(), v1.regressedVoters(), "after " + 5 * i + " ms");
        }
        assertEquals(v1.commitIndex(), v1.lastIndex());
    }
}
