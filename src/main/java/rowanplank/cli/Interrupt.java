package rowanplank.cli;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Hears that the program is to end (Ctrl-C) while it works, and grants it the time to print what is finished. The
 * process then ends with the status that the signal has: 130 for SIGINT.
 */
final class Interrupt {
    private static final long MOST_SECONDS = 60;

    private final CountDownLatch printed = new CountDownLatch(1);
    private final Thread hook = new Thread(this::heard, "interrupt");
    private final Runnable stop;

    /** @param stop ends the work soon; run on a thread of its own */
    Interrupt(Runnable stop) {
        this.stop = stop;
        Runtime.getRuntime().addShutdownHook(hook);
    }

    private void heard() {
        stop.run();
        try {
            printed.await(MOST_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** All is printed. */
    void close() {
        printed.countDown();
        try {
            Runtime.getRuntime().removeShutdownHook(hook);
        } catch (IllegalStateException e) {
            // it has come, and the process ends by it
        }
    }
}
