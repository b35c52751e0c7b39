package rowanplank.lab.net;

import java.time.Duration;

/**
 * What a process may have and what its work costs.
 *
 * @param name for messages only
 * @param descriptors how many sockets, listeners included, it may hold; more fail as the system makes them fail
 * @param cores the share of a core that it has
 * @param taskCost core time of each task of its loop; zero where its core is no matter
 * @param kibCost core time of each KiB that it reads or writes
 */
public record Process(String name, int descriptors, double cores, Duration taskCost, Duration kibCost) {
    public Process {
        if (descriptors < 0 || !(cores > 0) || taskCost.isNegative() || kibCost.isNegative()) {
            throw new IllegalArgumentException("process " + name + ": a limit or cost is out of range");
        }
    }

    /** A process that takes no time and is refused nothing. */
    public static Process unbounded(String name) {
        return new Process(name, Integer.MAX_VALUE, 1, Duration.ZERO, Duration.ZERO);
    }
}
