package routerfleet.simulation;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import routerfleet.wire.Scheduler;

/** One life of a process in virtual time: its thread, and its steady clock, which begins anywhere. */
public final class VirtualProcess implements Scheduler {
    private final VirtualWorld world;
    private final long clockOffset;
    private final Runnable powerLost;
    private final Deque<Runnable> held = new ArrayDeque<>();
    private boolean alive = true;
    private boolean frozen;

    /**
     * @param clockOffset how its steady clock is off virtual time, in nanoseconds
     * @param powerLost run where a task ended by {@link PowerLossException}
     */
    public VirtualProcess(VirtualWorld world, long clockOffset, Runnable powerLost) {
        this.world = world;
        this.clockOffset = clockOffset;
        this.powerLost = powerLost;
    }

    /** The power fails in the midst of a task, at an operation of the disk. */
    public static final class PowerLossException extends RuntimeException {
        private static final long serialVersionUID = 1;
    }

    @Override
    public long nanoTime() {
        return world.nowNanos() + clockOffset;
    }

    @Override
    public void execute(Runnable task) {
        world.after(0, () -> run(task));
    }

    @Override
    public Planned schedule(Runnable task, long delay, TimeUnit unit) {
        boolean[] cancelled = new boolean[1];
        world.after(unit.toNanos(delay), () -> run(() -> {
            if (!cancelled[0]) {
                task.run();
            }
        }));
        return () -> cancelled[0] = true;
    }

    private void run(Runnable task) {
        if (!alive) {
            return;
        }
        if (frozen) {
            held.add(task);
            return;
        }
        try {
            task.run();
        } catch (PowerLossException e) {
            powerLost.run();
        }
    }

    /** Ends it: nothing that it has planned happens any more. */
    public void kill() {
        alive = false;
        held.clear();
    }

    /** Whether it has not been killed. */
    public boolean isAlive() {
        return alive;
    }

    /** Stands still; its clock goes on. */
    public void freeze() {
        frozen = true;
    }

    /** Goes on, with what has come due meanwhile. */
    public void thaw() {
        if (frozen) {
            frozen = false;
            held.forEach(this::execute);
            held.clear();
        }
    }
}
