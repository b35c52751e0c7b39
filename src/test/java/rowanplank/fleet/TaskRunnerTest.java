package rowanplank.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntConsumer;
import org.junit.jupiter.api.Test;
import rowanplank.config.FleetConfig;
import rowanplank.ledger.Ask;
import rowanplank.ledger.LeaseHolder;
import rowanplank.ledger.Result;
import rowanplank.metrics.RateLimitedLog;
import rowanplank.net.PassingLoop;
import rowanplank.net.Programs;

/** Tasks that exceed their time limit, fail, or must not run twice, while their lease is held under fence 7. */
class TaskRunnerTest implements LeaseHolder.Actions {
    private static final Duration SECOND = Duration.ofSeconds(1);

    private final PassingLoop loop = new PassingLoop();
    /** "begin", "stop" and "kill", each with its ms. */
    private final List<String> done = new ArrayList<>();
    private final List<IntConsumer> ended = new ArrayList<>();
    private final List<Long> claims = new ArrayList<>();
    private Map<String, String> environment;
    private TaskRunner tasks;

    @Override
    public void ask(String target, Ask ask) { }

    @Override
    public void granted(String lease, long fence) { }

    @Override
    public void over(String lease, long fence) { }

    @Override
    public void claimed(String task, long period, Result result) { }

    private void did(String what) {
        done.add(what + " " + loop.clock().now().toEpochMilli());
    }

    private Programs.Running start(Map<String, String> given, IntConsumer told) {
        environment = given;
        ended.add(told);
        did("begin");
        return new Programs.Running() {
            @Override
            public void stop() {
                did("stop");
            }

            @Override
            public void kill() {
                did("kill");
            }
        };
    }

    private void granted(Duration every, boolean once) {
        FleetConfig.Task task = new FleetConfig.Task("stamp", "nightly", List.of("stamp"), every, once, SECOND,
                Duration.ZERO);
        FleetConfig config = new FleetConfig("press", "n1", null, null, new TreeMap<>(), new TreeMap<>(),
                new TreeMap<>(), "",
                new FleetConfig.Timing(SECOND, SECOND, 0.01, SECOND, SECOND, 1024), List.of(), List.of(task), null);
        LeaseHolder holder = new LeaseHolder(new LeaseHolder.Settings("n1", 1, List.of("n1"), SECOND, SECOND, SECOND),
                Instant.EPOCH, this) {
            @Override
            public long fence(String lease) {
                return 7;
            }

            @Override
            public boolean mayAct(Instant now, String lease, Duration forThatLong) {
                return true;
            }

            @Override
            public boolean claim(Instant now, String lease, String name, Duration in, long period) {
                return claims.add(period);
            }
        };
        tasks = new TaskRunner(config, loop, (command, given, told) -> start(given, told),
                new RateLimitedLog(loop.clock(), RateLimitedLog.Sink.system()), new FleetComponents(), holder,
                () -> { });
        tasks.leaseGranted(loop.clock().now(), "nightly");
        pass(0);
    }

    /** Lets time pass, calling the runner every 50 ms. */
    private void pass(int ms) {
        for (int i = 0; i <= ms; i += 50) {
            tasks.onTime(loop.clock().now());
            loop.pass(Duration.ofMillis(i < ms ? 50 : 0));
        }
    }

    /**
     * A run that exceeds its time limit must be asked to stop and then killed before its lease ends, and no second run
     * may start beside it.
     */
    @Test
    void runOverItsTimeLimitIsStoppedThenKilled() {
        loop.pass(Duration.ofSeconds(5));
        granted(Duration.ofMillis(500), false);
        pass(3000);
        assertEquals(List.of("begin 5000", "stop 5800", "kill 6000"), done);
        ended.get(0).accept(143);
        pass(100);
        assertEquals(4, done.size(), done::toString);
        assertEquals(0, tasks.ended());
    }

    /** A command must get its lease, fence and end in its environment. */
    @Test
    void environmentHasFenceAndEnd() {
        loop.pass(Duration.ofSeconds(5));
        granted(SECOND, false);
        assertEquals(Map.of("FLEET_NODE", "n1", "FLEET_TASK", "stamp", "FLEET_LEASE", "nightly", "FLEET_FENCE", "7",
                "FLEET_LONGEST_MS", "1000", "FLEET_END_MS", "6000"), environment);
    }

    /** A failed run must be repeated when the task is next due, not sooner. */
    @Test
    void failedRunIsRepeatedWhenNextDue() {
        granted(SECOND, false);
        ended.get(0).accept(1);
        pass(900);
        assertEquals(List.of("begin 0"), done);
        pass(200);
        assertEquals(List.of("begin 0", "begin 1000"), done);
    }

    /**
     * A run once per period must not be repeated in its period, neither after a failure nor if the answer to its claim
     * was lost.
     */
    @Test
    void runOncePerPeriodIsNotRepeated() {
        granted(Duration.ofSeconds(4), true);
        pass(300);
        assertEquals(List.of(), done, "no run starts before it is claimed");
        tasks.periodClaimed(loop.clock().now(), "stamp", 0, null);
        pass(300);
        assertEquals(List.of(0L, 0L), claims, "a claim with an unknown outcome is repeated");
        tasks.periodClaimed(loop.clock().now(), "stamp", 0, Result.of(Result.Kind.DONE, 0));
        pass(2900);
        assertEquals(List.of(), done, "it may have run");
        pass(500);
        assertEquals(List.of(0L, 0L, 1L), claims);
        tasks.periodClaimed(loop.clock().now(), "stamp", 1, Result.of(Result.Kind.CLAIMED, 1));
        pass(100);
        assertTrue(done.size() == 1 && environment.get("FLEET_PERIOD").equals("1"), done::toString);
        ended.get(0).accept(1);
        pass(3000);
        assertEquals(1, done.size(), done::toString);
        pass(1000);
        assertEquals(List.of(0L, 0L, 1L, 2L), claims);
    }
}
