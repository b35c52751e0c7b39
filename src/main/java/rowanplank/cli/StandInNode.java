package rowanplank.cli;

import java.time.Duration;
import java.time.Instant;
import rowanplank.fleet.FleetComponents;
import rowanplank.lab.trial.StandInParts;
import rowanplank.net.Clock;
import rowanplank.net.SystemClock;

/**
 * A node on a disk that can be slow or full, by a clock that runs fast or slow, and which can be held up as it begins a
 * task: of a trial's. No command leads here.
 */
public final class StandInNode {
    private StandInNode() { }

    /** @param args the rate of its clock, the bytes of entries in a message, and the operator's file */
    public static void main(String[] args) throws Exception {
        run(new FleetComponents(), args[0], args[1], args[2]);
    }

    static void run(FleetComponents parts, String clockRate, String mostBytes, String file) throws Exception {
        LimitedLoggers.use();
        Serve.endWithInput();
        double rate = Double.parseDouble(clockRate);
        Clock machine = new SystemClock();
        Instant began = machine.now();
        Clock clock = () -> began.plusNanos((long) (Duration.between(began, machine.now()).toNanos() * rate));
        int status = Serve.run(file, new StandInParts(parts, Integer.parseInt(mostBytes), file), clock);
        if (status != 0) {
            System.exit(status);
        }
    }
}
