package routerfleet.wire;

import io.netty.util.concurrent.EventExecutor;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** The event loop of a real node as a {@link Scheduler}. */
public final class EventLoopScheduler implements Scheduler {
    private final EventExecutor loop;

    /** @param loop the node's only one */
    public EventLoopScheduler(EventExecutor loop) {
        this.loop = loop;
    }

    @Override
    public long nanoTime() {
        return loop.ticker().nanoTime();
    }

    @Override
    public void execute(Runnable task) {
        loop.execute(task);
    }

    @Override
    public Planned schedule(Runnable task, long delay, TimeUnit unit) {
        ScheduledFuture<?> planned = loop.schedule(task, delay, unit);
        return () -> planned.cancel(false);
    }
}
