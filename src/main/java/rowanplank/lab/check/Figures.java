package rowanplank.lab.check;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import rowanplank.lab.day.Day;
import rowanplank.lab.day.Fault;

/**
 * What the rules need to know of a day: its own figures, and bounds on how long things are on the way.
 *
 * @param answerWithin after a client stops waiting, a final answer is in time until then
 * @param drainWithin after a node was told, new tries may still begin until then
 * @param fallTime the window over which a cold server's work counts
 * @param tries the most tries of a request
 * @param retryAfter whether refusals may say when to come back
 * @param effects of each class of requests
 * @param halls how many there are: faults count pairs of them
 * @param travel the longest that a segment takes one way which is not lost, on ways that no fault touches
 * @param retransmission the longest that lost segments keep what is sent, on ways that no fault touches; zero where
 *        none are lost
 * @param settles so long after a request's time was up nothing comes any more that matters to it, if no fault held
 *        it up
 */
record Figures(long seed, Duration answerWithin, Duration drainWithin, Duration fallTime, int tries,
        boolean retryAfter, Map<String, String> effects, List<Fault> faults, int halls, Duration travel,
        Duration retransmission, Duration settles) {
    /** On sockets every time limit is so much longer. */
    private static final Duration SOCKETS = Duration.ofMillis(50);
    /** Of the exponential jitter one draw in 5e8 is beyond 20 times its mean. */
    private static final double MOST_JITTER = 20;
    /** What is done on arrival, and the steps of a clock. */
    private static final Duration HANDLING = Duration.ofMillis(1);
    /** TCP's first time-out, as Linux has it; each next one doubles. */
    private static final Duration TIME_OUT = Duration.ofMillis(200);
    /** Losses in a row that happen less often than this do not happen. */
    private static final double NEVER = 1e-9;
    private static final int MOST_TIME_OUTS = 9;
    /** After the last time at which a request is owed anything; answers of slow servers come long after. */
    private static final Duration QUIET = Duration.ofSeconds(2);

    static Figures of(Day day) {
        Map<String, String> effects = new LinkedHashMap<>();
        day.classes().forEach(c -> effects.put(c.name(), c.effect()));
        Day.Network network = day.network();
        Duration farthest = max(max(network.sameHall(), network.crossHall()), network.toClients());
        Duration travel = farthest.plus(times(farthest, MOST_JITTER * network.jitter())).plus(HANDLING);
        Duration retransmission = retransmission(network.loss());
        return new Figures(day.seed(), day.rules().answerSlack().plus(SOCKETS), day.rules().drainGrace().plus(SOCKETS),
                day.rules().fallTime(), day.nodes().tries(), !day.nodes().longestRetryAfter().isZero(), effects,
                day.faults(), day.halls().size(), travel, retransmission,
                QUIET.plus(travel.multipliedBy(2)).plus(retransmission.multipliedBy(2)));
    }

    /** All time-outs together until a share of losses has surely let one segment through. */
    private static Duration retransmission(double loss) {
        int timeOuts = loss <= 0 ? 0
                : (int) Math.min(MOST_TIME_OUTS, Math.ceil(Math.log(NEVER) / Math.log(Math.min(0.99, loss))));
        return TIME_OUT.multipliedBy((1 << timeOuts) - 1);
    }

    /** Whether a fault keeps up what is sent, or what is to be done with it. */
    static boolean holdsUp(Fault fault) {
        return switch (fault.kind()) {
            case CUT, LOSS, DELAY, PAUSES, SERVER_VANISHED, NODE_VANISHED, NODE_PAUSED, NODE_SHORT -> true;
            default -> false;
        };
    }

    /** How long after a fault's end what it kept may still come: time-outs have doubled meanwhile. */
    static Duration after(Fault fault) {
        return switch (fault.kind()) {
            case CUT, LOSS, SERVER_VANISHED, NODE_VANISHED -> fault.length().plus(TIME_OUT);
            case DELAY, PAUSES -> Duration.ofMillis((long) fault.size());
            default -> Duration.ZERO;
        };
    }

    /** The longest time from when something is sent until it is surely there, on ways that no fault touches. */
    Duration arrives() {
        return travel.plus(retransmission);
    }

    private static Duration times(Duration span, double factor) {
        return Duration.ofNanos((long) (span.toNanos() * factor));
    }

    private static Duration max(Duration a, Duration b) {
        return a.compareTo(b) > 0 ? a : b;
    }
}
