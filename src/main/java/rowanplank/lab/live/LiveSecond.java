package rowanplank.lab.live;

import com.eclipsesource.json.JsonObject;
import java.time.Duration;

/**
 * A second, or what there was of the last.
 *
 * @param number of the second, from 1
 * @param inTime answered within the class's aim, late after it
 * @param failed answered neither 200 nor a refusal
 * @param lost not answered at all, or not whole
 * @param p99 of the time from when a client wanted something to its 200
 * @param goingOn what troubles there are
 */
public record LiveSecond(int number, long asked, long inTime, long late, long refused, long failed, long lost,
        Duration p99, String goingOn) {
    /** Of what ended, how much was in time. */
    public double shareInTime() {
        return ended() == 0 ? 1 : inTime / (double) ended();
    }

    private long ended() {
        return inTime + late + refused + failed + lost;
    }

    JsonObject json() {
        return new JsonObject().add("second", number).add("asked", asked).add("in_time", inTime).add("late", late)
                .add("refused", refused).add("failed", failed).add("lost", lost).add("p99_ms", p99.toNanos() / 1e6)
                .add("going_on", goingOn);
    }
}
