package rowanplank.cli;

import sun.misc.Signal;
import sun.misc.SignalHandler;

/** Hears SIGHUP, on which a Java process would else end. The platform has no other way than {@code sun.misc.Signal}. */
public final class Hangup {
    private Hangup() { }

    /**
     * @param task run on a thread of its own, once for each signal from now on
     * @return whether signals are heard: a process whose starter ignores them, as nohup does, goes on ignoring them
     */
    public static boolean handle(Runnable task) {
        SignalHandler before = Signal.handle(new Signal("HUP"), signal -> task.run());
        return before != SignalHandler.SIG_IGN;
    }
}
