package rowanplank.agreement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** When a follower whose leader falls silent asks for votes. */
class LeaderSilenceTest {
    private static final Duration ELECTION = Duration.ofMillis(400);
    private static final Duration NEW_LEADER = Duration.ofMillis(1_500);
    private static final Duration HEARTBEAT = Duration.ofMillis(100);

    private final List<Message> sent = new ArrayList<>();
    private Instant now = Instant.EPOCH;
    private final RaftNode follower = new RaftNode(
            new RaftNode.Settings("v1", ELECTION, ELECTION, NEW_LEADER, HEARTBEAT, 1_000, 100,
                    RaftNode.Transport.CONNECTIONS, 1),
            PersistentState.initial(List.of("v1", "v2", "v3")), now, new RecordingActions());

    private final class RecordingActions implements RaftNode.Actions {
        @Override
        public void send(String to, Message message) {
            sent.add(message);
        }

        @Override
        public void store(long number, Write write) {
            // never durable, which does not matter here
        }

        @Override
        public void committed(Entry entry) {
            throw new AssertionError("nothing is proposed");
        }

        @Override
        public void restore(Snapshot snapshot) {
            throw new AssertionError("no snapshot is sent");
        }

        @Override
        public void becameLeader(long term) {
            throw new AssertionError("nobody votes");
        }

        @Override
        public void lostLeadership() {
            throw new AssertionError("never a leader");
        }

        @Override
        public void roundConfirmed(long round) {
            throw new AssertionError("never a leader");
        }
    }

    private void hearLeaderFor(Duration duration) {
        Instant end = now.plus(duration);
        while (now.isBefore(end)) {
            follower.onMessage(now, "v2", new Message.AppendRequest(1, 0, 0, 0, 1, List.of()));
            passOnTime(HEARTBEAT);
        }
        sent.clear();
    }

    private void passOnTime(Duration duration) {
        Instant end = now.plus(duration);
        while (now.isBefore(end)) {
            now = now.plusMillis(5);
            follower.onTime(now);
        }
    }

    private long voteRequests() {
        return sent.stream().filter(Message.VoteRequest.class::isInstance).count();
    }

    @Test
    void aNewLeaderIsNotReplacedAfterASilenceThatAnEarlierOneIsReplacedFor() {
        hearLeaderFor(Duration.ofSeconds(1));
        passOnTime(Duration.ofMillis(1_300));
        assertEquals(0, voteRequests());
        passOnTime(Duration.ofMillis(1_800));
        assertEquals(true, voteRequests() > 0);
    }

    @Test
    void aLeaderOfSomeTimeIsReplacedAfterTheElectionTimeout() {
        hearLeaderFor(Duration.ofSeconds(7));
        passOnTime(Duration.ofMillis(800));
        assertEquals(true, voteRequests() > 0);
    }

    @Test
    void aFollowerThatWasLateItselfWaitsForAHeartbeatIntervalBeforeItAsksForVotes() {
        hearLeaderFor(Duration.ofSeconds(7));
        now = now.plusSeconds(2);
        follower.onTime(now);
        assertEquals(0, voteRequests());
        passOnTime(HEARTBEAT);
        assertEquals(true, voteRequests() > 0);
    }
}
