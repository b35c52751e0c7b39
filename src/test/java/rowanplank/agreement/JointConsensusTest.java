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

/** Voter changes by joint consensus, and new voters that catch up before they get a vote. */
class JointConsensusTest {
    private static final Duration ELECTION = Duration.ofMillis(300);
    private static final Duration HEARTBEAT = Duration.ofMillis(75);
    private static final int CHUNK_BYTES = 100;
    private static final List<String> THREE = List.of("a", "b", "c");

    private record Sent(String from, String to, Message message) { }

    /**
     * A group of voters with fast disks and immediate delivery, except for messages from and to those that are cut
     * off.
     */
    private static final class Group {
        final Map<String, RaftNode> all = new TreeMap<>();
        final Map<String, List<Entry>> committed = new TreeMap<>();
        final Map<String, byte[]> restored = new TreeMap<>();
        final TreeSet<String> cut = new TreeSet<>();
        final Deque<Sent> inFlight = new ArrayDeque<>();
        final Map<String, Deque<Runnable>> disks = new TreeMap<>();
        final List<Message> chunks = new ArrayList<>();
        Instant now = Instant.EPOCH;

        void start(String name, PersistentState saved) {
            committed.put(name, new ArrayList<>());
            Deque<Runnable> disk = new ArrayDeque<>();
            disks.put(name, disk);
            RaftNode[] self = new RaftNode[1];
            self[0] = new RaftNode(new RaftNode.Settings(name, ELECTION, ELECTION, HEARTBEAT, CHUNK_BYTES, 100,
                    RaftNode.Transport.CONNECTIONS, name.hashCode()), saved, now, new RaftNode.Actions() {
                        @Override
                        public void send(String to, Message m) {
                            inFlight.add(new Sent(name, to, m));
                        }

                        @Override
                        public void store(long number, Write write) {
                            disk.add(() -> self[0].onStored(now, number));
                            inFlight.add(new Sent(name, "disk", null));
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
                            // not used in this test
                        }

                        @Override
                        public void lostLeadership() {
                            // not used in this test
                        }

                        @Override
                        public void roundConfirmed(long round) {
                            // not used in this test
                        }
                    });
            all.put(name, self[0]);
        }

        void settle(int most) {
            for (int i = 0; i < most && !inFlight.isEmpty(); i++) {
                Sent sent = inFlight.poll();
                if (sent.message() == null) {
                    disks.get(sent.from()).poll().run();
                } else if (!cut.contains(sent.from()) && !cut.contains(sent.to()) && all.containsKey(sent.to())) {
                    if (sent.message() instanceof Message.SnapshotChunk chunk && chunk.bytes().length > 0) {
                        chunks.add(chunk);
                    }
                    all.get(sent.to()).onMessage(now, sent.from(), sent.message());
                }
            }
        }

        /** Delivers all messages, but only one of those to the given voter. */
        void settleWithSlowLinkTo(String name) {
            Deque<Sent> later = new ArrayDeque<>();
            boolean delivered = false;
            while (!inFlight.isEmpty()) {
                Sent sent = inFlight.peek();
                if (sent.message() != null && sent.to().equals(name) && delivered) {
                    later.add(inFlight.poll());
                } else {
                    delivered |= sent.message() != null && sent.to().equals(name);
                    settle(1);
                }
            }
            inFlight.addAll(later);
        }

        void pass(long ms) {
            for (long i = 0; i < ms; i += 5) {
                now = now.plusMillis(5);
                all.forEach((name, node) -> node.onTime(now));
                settle(Integer.MAX_VALUE);
            }
        }

        String describe() {
            StringBuilder text = new StringBuilder("cut " + cut);
            all.forEach((name, a) -> text.append("; ").append(name).append(' ').append(a.role()).append(" term ")
                    .append(a.term()).append(' ').append(a.voterConfig()).append(" log ").append(a.commitIndex())
                    .append('/')
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
    void newVoterMustCatchUpFirst() {
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
        assertThat(g.committed.get("d").size(), is(g.committed.get(g.leaderName()).size()));
        assertThat(g.leader().proposeJointChange(swapped(g.follower())), is(greaterThan(0L)));
    }

    @Test
    void voterIsReplacedInOneStep() {
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

    /** While a change is under way, neither the old nor the new voters may commit on their own. */
    @Test
    void jointConfigurationNeedsBothMajorities() {
        Group g = settled();
        String out = g.follower();
        String stays = THREE.stream().filter(n -> !n.equals(out) && !n.equals(g.leaderName())).findFirst()
                .orElseThrow();
        g.leader().setLearners(g.now, List.of("d"));
        g.pass(200);
        // Leaves the leader and the new voter: two of the three new voters, one of the three old ones.
        g.cut.addAll(List.of(out, stays));
        g.leader().proposeJointChange(swapped(out));
        long before = g.leader().commitIndex();
        RaftNode leader = g.leader();
        g.pass(200);
        assertThat(leader.commitIndex(), is(before));
        g.pass(1_000);
        assertThat("it hears no majority of the old voters", leader.isEstablished(), is(false));
    }

    /**
     * If the leader is lost at any point of a change, the next leader must complete the change or never have known of
     * it.
     */
    @Test
    void groupSurvivesLossOfTheLeaderAtAnyPointOfAChange() {
        for (int delivered = 0; delivered < 40; delivered++) {
            Group g = settled();
            String out = g.follower();
            g.leader().setLearners(g.now, List.of("d"));
            g.pass(200);
            String first = g.leaderName();
            g.leader().proposeJointChange(swapped(out));
            g.settle(delivered);
            g.cut.add(first);
            g.inFlight.clear();
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
    void removedLeaderStepsDownOnceTheChangeIsCommitted() {
        Group g = settled();
        String out = g.leaderName();
        g.leader().setLearners(g.now, List.of("d"));
        g.pass(200);
        g.leader().proposeJointChange(swapped(out));
        g.pass(3_000);
        assertThat(g.leaderName(), is(not(out)));
        assertThat(g.leader().voters(), is(swapped(out)));
    }

    /**
     * A transfer of a snapshot must complete even though newer snapshots are taken all the time, or a voter that is
     * far behind never catches up.
     */
    @Test
    void startedSnapshotTransferCompletesDespiteNewerSnapshots() {
        Group g = settled();
        for (int i = 0; i < 300; i++) {
            g.leader().propose(g.now, new byte[10]);
            g.pass(5);
        }
        g.leader().compact(new byte[50 * CHUNK_BYTES]);
        for (int i = 0; i < 300; i++) {
            g.leader().propose(g.now, new byte[10]);
            g.pass(5);
        }
        g.leader().compact(new byte[50 * CHUNK_BYTES]);
        g.leader().setLearners(g.now, List.of("d"));
        for (int i = 0; i < 400 && g.restored.get("d") == null; i++) {
            g.now = g.now.plusMillis(5);
            g.leader().onTime(g.now);
            g.settleWithSlowLinkTo("d");
            g.leader().propose(g.now, new byte[10]);
            g.leader().compact(new byte[50 * CHUNK_BYTES]);
        }
        assertThat(g.restored.containsKey("d"), is(true));
        g.pass(500);
        assertThat(g.all.get("d").lastIndex(), is(g.leader().lastIndex()));
    }

    /** A voter that lags only a little must not be sent a snapshot. */
    @Test
    void slightlyLaggingVoterNeedsNoSnapshot() {
        Group g = settled();
        String late = g.follower();
        g.cut.add(late);
        for (int i = 0; i < 20; i++) {
            g.leader().propose(g.now, new byte[10]);
            g.pass(5);
        }
        g.leader().compact(new byte[50 * CHUNK_BYTES]);
        g.cut.clear();
        g.pass(300);
        assertThat(g.all.get(late).lastIndex(), is(g.leader().lastIndex()));
        assertThat(g.chunks.size(), is(0));
    }

    @Test
    void tooLargeSnapshotIsRejectedAtItsSource() {
        Group g = settled();
        g.leader().propose(g.now, new byte[] {1});
        g.pass(200);
        IllegalArgumentException refused = org.junit.jupiter.api.Assertions.assertThrows(IllegalArgumentException.class,
                () -> g.leader().compact(new byte[RaftNode.MAX_SNAPSHOT_BYTES + 1]));
        assertThat(refused.getMessage().contains(String.valueOf(RaftNode.MAX_SNAPSHOT_BYTES)), is(true));
    }
}
