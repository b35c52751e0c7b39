package rowanplank.lab.run;

import java.net.InetSocketAddress;
import rowanplank.net.Loop;

/** A machine on which one page server's process runs after the other. */
public interface ServerMachine {
    /** One thread's worth of a process. */
    interface Running {
        Loop loop();

        boolean isAlive();

        /** It ends by itself: what it has open is closed. */
        void exit();

        /** It is killed: the same, and the machine resets what was not read. */
        void kill();
    }

    /** Where its processes serve, unless it took over another's address. */
    InetSocketAddress address();

    /** Another machine's address is this one's from now on. */
    void takeOver(InetSocketAddress other);

    Running boot();

    /** It falls silent: open connections stay open, new ones never come up. */
    void vanish();

    /** It is heard again. */
    void appear();

    boolean isSilent();
}
