package routerfleet.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rowanplank.agreement.Entry;
import rowanplank.agreement.Message;
import rowanplank.agreement.PersistentState;
import rowanplank.agreement.Snapshot;
import routerfleet.config.ConfigOrder;
import routerfleet.config.Evacuations;
import routerfleet.demo.Configurations;
import routerfleet.wire.EventLoopScheduler;
import routerfleet.wire.PeerCodec;

/** Tests a group of a single replica that stores to a real directory. */
class ReplicaGroupTest {
    private static final String SELF = "127.0.0.1/0";
    private static final int WAIT_S = 20;

    @TempDir
    private Path folder;

    private final EventLoop loop = new DefaultEventLoop();
    private ReplicaStorage storage;

    @AfterEach
    void end() {
        storage.close();
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private ReplicaGroup group(ReplicaGroup.Environment surroundings) throws Exception {
        return group(PersistentState.initial(List.of(SELF)), surroundings);
    }

    private ReplicaGroup group(PersistentState saved, ReplicaGroup.Environment surroundings) throws Exception {
        storage = new ReplicaStorage(folder, loop);
        storage.open();
        storage.start(SELF, saved);
        return loop.submit(() -> new ReplicaGroup(new EventLoopScheduler(loop), new PeerCodec(), SELF, saved, storage,
                1, surroundings, new ControlServiceFactory(0))).get();
    }

    private ConfigUpdateQueue.Outcome order(ReplicaGroup group, long base, String body) throws Exception {
        ConfigUpdateQueue.Outcome outcome;
        do {
            CompletableFuture<ConfigUpdateQueue.Outcome> answer = new CompletableFuture<>();
            ConfigOrder order = new ConfigOrder(ConfigOrder.Kind.REPLACE, base, body.getBytes(StandardCharsets.UTF_8));
            loop.execute(() -> group.submit(order, given -> answer.complete(given.outcome())));
            outcome = answer.get(WAIT_S, TimeUnit.SECONDS);
        } while (outcome == ConfigUpdateQueue.Outcome.UNKNOWN); // no leader yet
        return outcome;
    }

    /** Guards against diverging state: a committed entry that can't be read is never skipped; the replica halts instead. */
    @Test
    void aReplicaThatCannotReadACommittedEntryHalts() throws Exception {
        byte[] unknownFormat = {(byte) 0x90, 1, 2, 3};
        PersistentState saved = new PersistentState(1, SELF, Snapshot.initial(List.of(SELF)),
                List.of(Entry.command(1, 1, unknownFormat), Entry.noOp(2, 1)));
        CompletableFuture<Void> halted = new CompletableFuture<>();
        ReplicaGroup group = group(saved, new NoOpEnvironment());
        Runnable[] watch = new Runnable[1];
        watch[0] = () -> {
            if (group.isHalted()) {
                halted.complete(null);
            } else {
                loop.schedule(watch[0], 5, TimeUnit.MILLISECONDS);
            }
        };
        loop.execute(watch[0]);
        halted.get(WAIT_S, TimeUnit.SECONDS);
        assertThat(loop.submit(group::isLeader).get(), is(false));
        assertThat(loop.submit(group::answersReads).get(), is(false));
        assertThat(loop.submit(group::generation).get(), is(0L));
        CompletableFuture<ConfigUpdateQueue.Outcome> answer = new CompletableFuture<>();
        loop.execute(() -> group.submit(new ConfigOrder(ConfigOrder.Kind.REPLACE, 0,
                Configurations.whole(2).getBytes(StandardCharsets.UTF_8)), given -> answer.complete(given.outcome())));
        assertThat(answer.get(WAIT_S, TimeUnit.SECONDS), is(ConfigUpdateQueue.Outcome.UNKNOWN));
    }

    /** An environment that ignores everything. */
    private static final class NoOpEnvironment implements ReplicaGroup.Environment {
        @Override
        public void send(String to, Message message) {
            // there are no other replicas
        }

        @Override
        public void configurationChanged(long generation) {
            // not needed here
        }

        @Override
        public void evacuationsChanged(Evacuations evacuations) {
            // not needed here
        }

        @Override
        public void leaderKnown() {
            // not needed here
        }
    }

    /** Guards the replica: a failure in a callback after one update must not leave later updates without a result. */
    @Test
    void updatesContinueAfterATaskHasFailed() throws Exception {
        ReplicaGroup group = group(new ReplicaGroup.Environment() {
            @Override
            public void send(String to, Message message) {
                throw new IllegalStateException("there are no other replicas");
            }

            @Override
            public void configurationChanged(long generation) {
                throw new IllegalStateException("injected");
            }

            @Override
            public void evacuationsChanged(Evacuations evacuations) {
                throw new IllegalStateException("injected");
            }

            @Override
            public void leaderKnown() {
                // not needed here
            }
        });
        assertThat(order(group, 0, Configurations.whole(2)), is(ConfigUpdateQueue.Outcome.ACCEPTED));
        assertThat(order(group, 2, Configurations.whole(5)), is(ConfigUpdateQueue.Outcome.ACCEPTED));
        assertThat(order(group, 2, Configurations.whole(6)), is(ConfigUpdateQueue.Outcome.CONFLICT));
    }
}
