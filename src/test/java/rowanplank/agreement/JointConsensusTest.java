package rowanplank.agreement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.notNullValue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** Changes of the voters as one step, and newcomers that hold everything before they vote. */
class JointConsensusTest {
    private static final Duration ELECTION = Duration.ofMillis(300);
    private static final Duration HEARTBEAT = Duration.ofMillis(75);
    private static final int PIECE_BYTES = 100;
    private static final List<String> THREE = List.of("a", "b", "c");

    private record Sent(String from, String to, Message message) { }

    /** Voters whose disks are quick and whose messages go at once, but for those that are cut off. */
    private static final class Group {
        final Map<String, RaftNode> all = new TreeMap<>();
        final Map<String, List<Entry>> decided = new TreeMap<>();
        final Map<String, byte[]> restored = new TreeMap<>();
        final TreeSet<String> cut = new TreeSet<>();
        final Deque<Sent> underWay = new ArrayDeque<>();
        final Map<String, Deque<Runnable>> disks = new TreeMap<>();
        final List<Message> pieces = new ArrayList<>();
        Instant now = Instant.EPOCH;

        void start(String name, PersistentState saved) {
            decided.put(name, new ArrayList<>());
            Deque<Runnable> disk = new ArrayDeque<>();
            disks.put(name, disk);
            RaftNode[] self = new RaftNode[1];
            self[0] = new RaftNode(new RaftNode.Settings(name, ELECTION, ELECTION, HEARTBEAT, PIECE_BYTES, 100,
                    RaftNode.Transport.CONNECTIONS, name.hashCode()), saved, now, new RaftNode.Actions() {
                        @Override
                        public void send(String to, Message m) {
                            underWay.add(new Sent(name, to, m));
                        }

                        @Override
                        public void store(long number, Write write) {
                            disk.add(() -> self[0].onStored(now, number));
                            underWay.add(new Sent(name, "disk", null));
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
                            // of no interest here
                        }

                        @Override
                        public void lostLeadership() {
                            // of no interest here
                        }

                        @Override
                        public void roundConfirmed(long round) {
                            // of no interest here
                        }
                    });
            all.put(name, self[0]);
        }

        void settle(int most) {
            for (int i = 0; i < most && !underWay.isEmpty(); i++) {
                Sent sent = underWay.poll();
                if (sent.message() == null) {
                    disks.get(sent.from()).poll().run();
                } else if (!cut.contains(sent.from()) && !cut.contains(sent.to()) && all.containsKey(sent.to())) {
                    if (sent.message() instanceof Message.SnapshotChunk piece && piece.bytes().length > 0) {
                        pieces.add(piece);
                    }
                    all.get(sent.to()).onMessage(now, sent.from(), sent.message());
                }
            }
        }

        /** Everything arrives, but of what goes to one voter only a message at a time. */
        void settleWithSlowLinkTo(String name) {
            Deque<Sent> later = new ArrayDeque<>();
            boolean delivered = false;
            while (!underWay.isEmpty()) {
                Sent sent = underWay.peek();
                if (sent.message() != null && sent.to().equals(name) && delivered) {
                    later.add(underWay.poll());
                } else {
                    delivered |= sent.message() != null && sent.to().equals(name);
                    settle(1);
                }
            }
            underWay.addAll(later);
        }

        void pass(long ms) {
            for (long i = 0; i < ms; i += 5) {
                now = now.plusMillis(5);
                all.forEach((name, agreement) -> agreement.onTime(now));
                settle(Integer.MAX_VALUE);
            }
        }

        String describe() {
            StringBuilder text = new StringBuilder("cut " + cut);
            all.forEach((name, a) -> text.append("; ").append(name).append(' ').append(a.role()).append(" term ")
                    .append(a.term()).append(' ').append(a.voterConfig()).append(" log ").append(a.commitIndex()).append('/')
                    .append(a.lastIndex()));
            return text.toString();
        }

        String leaderName() {
            return all.entrySet().stream().filter(e -> e.getValue().isEstablished() && !cut.contains(e.getKey()))
                    .map(Map.Entry::getKey).findFirst().orElse(null);
        }

        RaftNode leader() {
            return all.get(leaderName());
        }

        String follower() {
            return THREE.stream().filter(n -> !n.equals(leaderName())).findFirst().orElseThrow();
        }
    }

    private static Group settled() {
        Group g = new Group();
        THREE.forEach(name -> g.start(name, PersistentState.initial(THREE)));
        g.pass(1_500);
        g.start("d", PersistentState.initial(List.of()));
        return g;
    }

    private static List<String> swapped(String out) {
        List<String> changed = new ArrayList<>(THREE);
        changed.set(changed.indexOf(out), "d");
        return changed;
    }

    @Test
    void aNewcomerGetsNoVoteBeforeItHoldsAll() {
        Group g = settled();
        g.leader().propose(g.now, new byte[] {1});
        g.pass(200);
        assertThat(g.leader().proposeJointChange(swapped(g.follower())), is(0L));
        g.cut.add("d");
        g.leader().setLearners(g.now, List.of("d"));
        g.pass(500);
        assertThat("it is cut off", g.leader().proposeJointChange(swapped(g.follower())), is(0L));
        g.cut.clear();
        g.leader().onReconnected(g.now, "d");
        g.pass(200);
        assertThat(g.decided.get("d").size(), is(g.decided.get(g.leaderName()).size()));
        assertThat(g.leader().proposeJointChange(swapped(g.follower())), is(greaterThan(0L)));
    }

    @Test
    void oneVoterTakesThePlaceOfAnotherInOneStep() {
        Group g = settled();
        String out = g.follower();
        g.leader().setLearners(g.now, List.of("d"));
        g.pass(200);
        g.leader().proposeJointChange(swapped(out));
        assertThat(g.leader().proposeJointChange(THREE), is(0L));
        g.pass(300);
        assertThat(g.leader().voters(), is(swapped(out)));
        assertThat(g.leader().voterConfig().isJoint(), is(false));
        assertThat(g.all.get("d").voters(), is(swapped(out)));
    }

    /** Guards against two groups that decide apart: while a change is under way, a majority of each is needed. */
    @Test
    void neitherGroupDecidesAloneInAChange() {
        Group g = settled();
        String out = g.follower();
        String stays = THREE.stream().filter(n -> !n.equals(out) && !n.equals(g.leaderName())).findFirst().orElseThrow();
        g.leader().setLearners(g.now, List.of("d"));
        g.pass(200);
        g.cut.addAll(List.of(out, stays)); // the leader and the newcomer: two of the new three, one of the old
        g.leader().proposeJointChange(swapped(out));
        long before = g.leader().commitIndex();
        RaftNode leader = g.leader();
        g.pass(200);
        assertThat(leader.commitIndex(), is(before));
        g.pass(1_000);
        assertThat("it hears no majority of the old group", leader.isEstablished(), is(false));
    }

    /** Guards a change whose leader is lost at any moment: whoever leads next ends it or never knew of it. */
    @Test
    void aLeaderThatIsLostAtAnyMomentOfAChangeLeavesAGroupThatGoesOn() {
        for (int delivered = 0; delivered < 40; delivered++) {
            Group g = settled();
            String out = g.follower();
            g.leader().setLearners(g.now, List.of("d"));
            g.pass(200);
            String first = g.leaderName();
            g.leader().proposeJointChange(swapped(out));
            g.settle(delivered);
            g.cut.add(first);
            g.underWay.clear();
            g.disks.forEach((name, disk) -> {
                while (!disk.isEmpty()) {
                    disk.poll().run();
                }
            });
            g.pass(4_000);
            assertThat("after " + delivered + " deliveries: " + g.describe(), g.leaderName(), is(notNullValue()));
            assertThat("after " + delivered + " deliveries", g.leaderName(), is(not(first)));
            assertThat("after " + delivered + " deliveries", g.leader().propose(g.now, new byte[] {7}) > 0, is(true));
            g.pass(400);
            assertThat(g.leader().commitIndex(), is(g.leader().lastIndex()));
            assertThat(g.leader().voterConfig().isJoint(), is(false));
        }
    }

    @Test
    void aLeaderThatIsChangedOutStepsDownOnceThatIsDecided() {
        Group g = settled();
        String out = g.leaderName();
        g.leader().setLearners(g.now, List.of("d"));
        g.pass(200);
        g.leader().proposeJointChange(swapped(out));
        g.pass(3_000);
        assertThat(g.leaderName(), is(not(out)));
        assertThat(g.leader().voters(), is(swapped(out)));
    }

    /** Guards members that are far behind: hundreds of changes and snapshots, and what is on its way still ends. */
    @Test
    void aSnapshotOnItsWayIsSentToItsEndThoughThereAreNewerOnes() {
        Group g = settled();
        for (int i = 0; i < 300; i++) {
            g.leader().propose(g.now, new byte[10]);
            g.pass(5);
        }
        g.leader().compact(new byte[50 * PIECE_BYTES]);
        for (int i = 0; i < 300; i++) {
            g.leader().propose(g.now, new byte[10]);
            g.pass(5);
        }
        g.leader().compact(new byte[50 * PIECE_BYTES]);
        g.leader().setLearners(g.now, List.of("d"));
        for (int i = 0; i < 400 && g.restored.get("d") == null; i++) {
            g.now = g.now.plusMillis(5);
            g.leader().onTime(g.now);
            g.settleWithSlowLinkTo("d");
            g.leader().propose(g.now, new byte[10]);
            g.leader().compact(new byte[50 * PIECE_BYTES]);
        }
        assertThat(g.restored.containsKey("d"), is(true));
        g.pass(500);
        assertThat(g.all.get("d").lastIndex(), is(g.leader().lastIndex()));
    }

    /** Guards against whole snapshots for who is only a moment late. */
    @Test
    void whoIsAMomentLateNeedsNoSnapshot() {
        Group g = settled();
        String late = g.follower();
        g.cut.add(late);
        for (int i = 0; i < 20; i++) {
            g.leader().propose(g.now, new byte[10]);
            g.pass(5);
        }
        g.leader().compact(new byte[50 * PIECE_BYTES]);
        g.cut.clear();
        g.pass(300);
        assertThat(g.all.get(late).lastIndex(), is(g.leader().lastIndex()));
        assertThat(g.pieces.size(), is(0));
    }

    @Test
    void aSnapshotThatNobodyWouldTakeIsRefusedWhereItIsMade() {
        Group g = settled();
        g.leader().propose(g.now, new byte[] {1});
        g.pass(200);
        IllegalArgumentException refused = org.junit.jupiter.api.Assertions.assertThrows(IllegalArgumentException.class,
                () -> g.leader().compact(new byte[RaftNode.MAX_SNAPSHOT_BYTES + 1]));
        assertThat(refused.getMessage().contains(String.valueOf(RaftNode.MAX_SNAPSHOT_BYTES)), is(true));
    }
}
