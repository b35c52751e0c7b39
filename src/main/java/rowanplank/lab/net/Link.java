package rowanplank.lab.net;

import java.time.Duration;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ContinuousSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/**
 * The way from one place to another, in one direction, with its chance and its faults. What is on the way when a
 * fault begins still arrives.
 */
public final class Link {
    /** What a packet carries over Ethernet: longer writes are several, each of which can be lost. */
    private static final int PACKET_BYTES = 1448;

    private final boolean inside;
    private final long latency;
    private final double jitter;
    private final double ownLoss;
    private final long leastDatagram;
    private final long datagramRange;
    private final UniformRandomProvider random;
    private final ContinuousSampler exponential;
    private double loss;
    private long extra;
    private boolean cut;

    Link(boolean inside, Duration latency, double jitter, double loss, Duration leastDatagram, Duration mostDatagram,
            UniformRandomProvider random) {
        this.inside = inside;
        this.latency = latency.toNanos();
        this.jitter = jitter;
        ownLoss = loss;
        this.loss = loss;
        this.leastDatagram = leastDatagram.toNanos();
        datagramRange = mostDatagram.minus(leastDatagram).toNanos();
        this.random = random;
        exponential = ZigguratSampler.Exponential.of(random);
    }

    /** Whether nothing passes from now on. */
    public void cut(boolean cut) {
        this.cut = cut;
    }

    /** @param share of packets and datagrams that are lost beyond what the network loses of itself; 0 ends the fault */
    public void loss(double share) {
        loss = 1 - (1 - ownLoss) * (1 - share);
    }

    /** @param extra what everything sent from now on takes longer; zero ends the fault */
    public void delay(Duration extra) {
        this.extra = extra.toNanos();
    }

    /** Whether it leaves no machine: faults of the network are none of it. */
    boolean inside() {
        return inside;
    }

    /** Whether nothing passes now. */
    public boolean isCut() {
        return cut;
    }

    /** What a packet takes on average, in nanoseconds. */
    public double usual() {
        return extra + latency * (1 + jitter);
    }

    /** What a packet takes at the least. */
    long latency() {
        return latency + extra;
    }

    /** Draws how long a packet takes. */
    long transit() {
        return latency + extra + (jitter == 0 ? 0 : (long) (latency * jitter * exponential.sample()));
    }

    /** Draws how long a datagram takes. */
    long datagramTransit() {
        return leastDatagram + extra + (datagramRange == 0 ? 0 : (long) (datagramRange * random.nextDouble()));
    }

    /** Draws whether any packet of so many bytes is lost; none at all count as one packet. */
    boolean loses(int bytes) {
        if (cut || loss == 0) {
            return cut;
        }
        int packets = Math.max(1, (bytes + PACKET_BYTES - 1) / PACKET_BYTES);
        return random.nextDouble() >= (packets == 1 ? 1 - loss : StrictMath.pow(1 - loss, packets));
    }

    /** Draws whether a datagram comes twice: a network that loses some of itself doubles as many. */
    boolean doubles() {
        return ownLoss > 0 && random.nextDouble() < ownLoss;
    }
}
