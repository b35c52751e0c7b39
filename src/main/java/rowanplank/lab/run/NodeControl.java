package rowanplank.lab.run;

import java.time.Duration;
import rowanplank.lab.site.DiscoveryAgent;

/** What faults do to a node and its agent. What can't be done to a node that is no simulated one fails. */
public interface NodeControl {
    DiscoveryAgent agent();

    default boolean isRunning() {
        return true;
    }

    /** Whether it runs and was told to stop. */
    default boolean isStopping() {
        return false;
    }

    /** Starts the node's process, if none runs. */
    default void start() {
        throw new UnsupportedOperationException("start");
    }

    /** Its process is killed outright. */
    default void kill() {
        throw new UnsupportedOperationException("kill");
    }

    /** SIGTERM, and SIGKILL when the time that the platform grants is over. */
    default void stop() {
        throw new UnsupportedOperationException("stop");
    }

    /** SIGHUP with a new file, as soon as the node has run for a second. @param usable whether it can be read */
    default void reload(boolean usable) {
        throw new UnsupportedOperationException("reload");
    }

    /** Its agent moves, and the node is told of it. */
    default void moveAgent() {
        throw new UnsupportedOperationException("move");
    }

    /** Its operators drain it. */
    default void drain() {
        throw new UnsupportedOperationException("drain");
    }

    /** They take it back to work. */
    default void rejoin() {
        throw new UnsupportedOperationException("rejoin");
    }

    /** Its machine falls silent. */
    default void vanish() {
        throw new UnsupportedOperationException("vanish");
    }

    /** Its machine is heard again. */
    default void appear() {
        throw new UnsupportedOperationException("appear");
    }

    default void pause(Duration length) {
        throw new UnsupportedOperationException("pause");
    }

    /** @param share of the core that it has; in its next lives too */
    default void cores(double share) {
        throw new UnsupportedOperationException("cores");
    }
}
