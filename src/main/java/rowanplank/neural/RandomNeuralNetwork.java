package rowanplank.neural;

import java.util.ArrayList;
import java.util.List;

/**
 * The random neural network of one class, a neuron per ready server. An update for the answering neuron i
 * changes the weights of every other row j alike: columns less rows hold the N x N weights (see Neuron).
 */
public final class RandomNeuralNetwork {
    private static final double LAMBDA = 0.25;
    /** Memory of the threshold and of the mean latency that makes payoffs unit-free. */
    private static final double ALPHA = 0.95;
    /** Payoff of a mean answer, and the decay of what was learned: their ratio bounds the weights. */
    private static final double PAYOFF = 0.1;
    private static final double DECAY = 0.01;
    private static final double HIGHEST_PAYOFF = 3;
    private static final int MOST_ITERATIONS = 4;
    private static final double SETTLED = 1e-4;

    final List<Neuron> neurons = new ArrayList<>();
    /** Of all neurons; newcomers like it leave it as it is. Null where it must be reckoned anew. */
    private Neuron average;
    double threshold = PAYOFF;
    double meanLatency;

    /** A newcomer is held to be like the average; {@link #settle} is to follow, once for a whole list. */
    public Neuron enter() {
        if (average == null) {
            average = average();
        }
        Neuron entered = new Neuron();
        entered.q = average.q;
        entered.up = average.up;
        entered.upRow = average.upRow;
        entered.down = average.down;
        entered.downRow = average.downRow;
        neurons.add(entered);
        return entered;
    }

    /** Mean latency of the successful answers, in milliseconds; 0 before the first. */
    public double meanLatency() {
        return meanLatency;
    }

    private Neuron average() {
        Neuron mean = new Neuron();
        int n = neurons.size();
        for (int i = 0; i < n; i++) {
            Neuron other = neurons.get(i);
            mean.q += (other.q - 0.5) / n;
            mean.up += other.up / n;
            mean.upRow += other.upRow / n;
            mean.down += other.down / n;
            mean.downRow += other.downRow / n;
        }
        return mean;
    }

    /** Takes a neuron out; {@link #settle} is to follow. */
    public void leave(Neuron left) {
        neurons.remove(left);
        average = null;
    }

    /**
     * Learns from one answer: R = 1/G against the moving threshold, both in parts of the mean answer.
     *
     * @param latency G, in milliseconds; of a failure a long one
     * @param ok whether the answer was a success, and so counts for the mean
     */
    public void learn(Neuron i, double latency, boolean ok) {
        if (ok) {
            meanLatency = meanLatency == 0 ? latency : ALPHA * meanLatency + (1 - ALPHA) * latency;
        }
        double mean = meanLatency == 0 ? latency : meanLatency;
        double payoff = PAYOFF * Math.min(HIGHEST_PAYOFF, mean / Math.max(latency, 1e-3));
        threshold = ALPHA * threshold + (1 - ALPHA) * payoff;
        boolean won = payoff > threshold;
        double share = neurons.size() > 2 ? payoff / (neurons.size() - 2) : 0;
        for (Neuron k : neurons) {
            k.up = k.up * (1 - DECAY) + (won ? k == i ? payoff : 0 : k == i ? 0 : share);
            k.down = k.down * (1 - DECAY) + (won ? k == i ? 0 : share : k == i ? payoff : 0);
            k.upRow *= 1 - DECAY;
            k.downRow *= 1 - DECAY;
        }
        i.upRow += won ? 0 : share;
        i.downRow += won ? share : 0;
        settle();
    }

    /** Iterates q from where it stood; with fewer than two neurons there is nothing to compare. */
    public void settle() {
        average = null;
        int n = neurons.size();
        double w0 = 0.5 / (n - 1);
        double columns = 0;
        double total = 0;
        double upRows = 0;
        double downRows = 0;
        // Once: each change of a q is added to these sums below.
        for (int k = 0; k < n; k++) {
            Neuron j = neurons.get(k);
            columns += j.up + j.down;
            total += j.q;
            upRows += j.q * j.upRow;
            downRows += j.q * j.downRow;
        }
        double change = n < 2 ? 0 : 1;
        for (int round = 0; round < MOST_ITERATIONS && change > SETTLED; round++) {
            change = 0;
            for (int k = 0; k < n; k++) {
                Neuron i = neurons.get(k);
                double others = total - i.q;
                double excites = others * (w0 + i.up) - (upRows - i.q * i.upRow);
                double inhibits = others * (w0 + i.down) - (downRows - i.q * i.downRow);
                double rate = 1 + columns - i.up - i.down - (n - 1) * (i.upRow + i.downRow);
                double next = Math.min(1, (LAMBDA + Math.max(0, excites))
                        / Math.max(LAMBDA, rate + Math.max(0, inhibits)));
                change = Math.max(change, Math.abs(next - i.q) / next);
                total += next - i.q;
                upRows += (next - i.q) * i.upRow;
                downRows += (next - i.q) * i.downRow;
                i.q = next;
            }
        }
    }
}
