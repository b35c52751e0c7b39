package rowanplank.lab.site;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.LongConsumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import rowanplank.lab.day.Day;
import rowanplank.net.Loop;

/**
 * When a process stands still, and what waits meanwhile. Its own pauses come and last as drawn from exponential
 * distributions with the kind's means; those of a trouble last as long as it says, with three times as long in between.
 */
final class Pauses {
    /** A trouble's pauses, from start to start, as a multiple of their length. */
    private static final int START_TO_START = 4;

    private final Day.Kind kind;
    private final Loop loop;
    private final Teller teller;
    private final UniformRandomProvider random;
    private final LongConsumer standsStill;
    private final Deque<Runnable> waiting = new ArrayDeque<>();
    private Loop.Timer own;
    private Loop.Timer trouble;
    private Loop.Timer end;
    private long until;
    private boolean standing;

    /** @param standsStill told until when, in nanoseconds since the beginning, when a pause begins or is made longer */
    Pauses(Day.Kind kind, Loop loop, Teller teller, UniformRandomProvider random, LongConsumer standsStill) {
        this.kind = kind;
        this.loop = loop;
        this.teller = teller;
        this.random = random;
        this.standsStill = standsStill;
    }

    void start() {
        if (!kind.pauseEvery().isZero() && !kind.pause().isZero()) {
            awaitOwn(Duration.ZERO);
        }
    }

    private void awaitOwn(Duration standing) {
        own = loop.schedule(standing.plus(drawn(kind.pauseEvery())), () -> {
            Duration length = drawn(kind.pause());
            standStill(length);
            awaitOwn(length);
        });
    }

    /** Nothing that waits is done any more. */
    void end() {
        waiting.clear();
        for (Loop.Timer t : new Loop.Timer[] {own, trouble, end}) {
            cancel(t);
        }
    }

    /** @param each how long a trouble's pauses are; zero for none */
    void trouble(Duration each) {
        cancel(trouble);
        if (!each.isZero()) {
            Duration every = each.multipliedBy(START_TO_START);
            trouble = loop.schedule(Duration.ofNanos(random.nextLong(every.toNanos())), () -> pause(each, every));
        }
    }

    /** Runs the task now, or once it stands still no more, in the order in which tasks came. */
    void afterwards(Runnable task) {
        if (standing) {
            waiting.add(task);
        } else {
            task.run();
        }
    }

    private void pause(Duration each, Duration every) {
        standStill(each);
        trouble = loop.schedule(every, () -> pause(each, every));
    }

    private void standStill(Duration length) {
        long longer = teller.now() + length.toNanos();
        if (longer > until) {
            standing = true;
            until = longer;
            cancel(end);
            end = loop.schedule(length, this::goOn);
            standsStill.accept(until);
        }
    }

    private void goOn() {
        standing = false;
        for (Runnable task; !standing && (task = waiting.poll()) != null;) {
            task.run();
        }
    }

    private Duration drawn(Duration mean) {
        return Duration.ofNanos((long) ZigguratSampler.Exponential.of(random, mean.toNanos()).sample());
    }

    private static void cancel(Loop.Timer timer) {
        if (timer != null) {
            timer.cancel();
        }
    }
}
