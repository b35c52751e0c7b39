package rowanplank.neural;

import java.util.ArrayList;
import java.util.List;

/**
 * The random neural network of one class, a neuron per ready server. An update for the answering neuron i
 * changes the weights of every other row j alike: columns less rows hold the N x N weights (see Neuron).
 */
public final class RandomNeuralNetwork {
    private static final double EXTERNAL_RATE = 0.25;
    /** Memory of the threshold and of the mean latency that makes payoffs unit-free. */
    private static final double SMOOTHING = 0.95;
    /** Payoff of a mean answer, and the decay of what was learned: their ratio bounds the weights. */
    private static final double MEAN_REWARD = 0.1;
    private static final double DECAY = 0.01;
    private static final double MAX_RELATIVE_REWARD = 3;
    private static final int MAX_ITERATIONS = 4;
    private static final double CONVERGENCE_TOLERANCE = 1e-4;

    final List<Neuron> neurons = new ArrayList<>();
    /** Of all neurons; newcomers like it leave it as it is. Null where it must be reckoned anew. */
    private Neuron average;
    double threshold = MEAN_REWARD;
    double meanLatency;

    /** A newcomer is held to be like the average; {@link #solve} is to follow, once for a whole list. */
    public Neuron addNeuron() {
        if (average == null) {
            average = average();
        }
        Neuron entered = new Neuron();
        entered.q = average.q;
        entered.excitatoryColumn = average.excitatoryColumn;
        entered.excitatoryRow = average.excitatoryRow;
        entered.inhibitoryColumn = average.inhibitoryColumn;
        entered.inhibitoryRow = average.inhibitoryRow;
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
            mean.excitatoryColumn += other.excitatoryColumn / n;
            mean.excitatoryRow += other.excitatoryRow / n;
            mean.inhibitoryColumn += other.inhibitoryColumn / n;
            mean.inhibitoryRow += other.inhibitoryRow / n;
        }
        return mean;
    }

    /** Takes a neuron out; {@link #solve} is to follow. */
    public void removeNeuron(Neuron left) {
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
            meanLatency = meanLatency == 0 ? latency : SMOOTHING * meanLatency + (1 - SMOOTHING) * latency;
        }
        double mean = meanLatency == 0 ? latency : meanLatency;
        double payoff = MEAN_REWARD * Math.min(MAX_RELATIVE_REWARD, mean / Math.max(latency, 1e-3));
        threshold = SMOOTHING * threshold + (1 - SMOOTHING) * payoff;
        boolean won = payoff > threshold;
        double share = neurons.size() > 2 ? payoff / (neurons.size() - 2) : 0;
        for (Neuron k : neurons) {
            k.excitatoryColumn = k.excitatoryColumn * (1 - DECAY) + (won ? k == i ? payoff : 0 : k == i ? 0 : share);
            k.inhibitoryColumn = k.inhibitoryColumn * (1 - DECAY) + (won ? k == i ? 0 : share : k == i ? payoff : 0);
            k.excitatoryRow *= 1 - DECAY;
            k.inhibitoryRow *= 1 - DECAY;
        }
        i.excitatoryRow += won ? 0 : share;
        i.inhibitoryRow += won ? share : 0;
        solve();
    }

    /** Iterates q from where it stood; with fewer than two neurons there is nothing to compare. */
    public void solve() {
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
            columns += j.excitatoryColumn + j.inhibitoryColumn;
            total += j.q;
            upRows += j.q * j.excitatoryRow;
            downRows += j.q * j.inhibitoryRow;
        }
        double change = n < 2 ? 0 : 1;
        for (int round = 0; round < MAX_ITERATIONS && change > CONVERGENCE_TOLERANCE; round++) {
            change = 0;
            for (int k = 0; k < n; k++) {
                Neuron i = neurons.get(k);
                double others = total - i.q;
                double excites = others * (w0 + i.excitatoryColumn) - (upRows - i.q * i.excitatoryRow);
                double inhibits = others * (w0 + i.inhibitoryColumn) - (downRows - i.q * i.inhibitoryRow);
                double rate = 1 + columns - i.excitatoryColumn - i.inhibitoryColumn - (n - 1) * (i.excitatoryRow + i.inhibitoryRow);
                double next = Math.min(1, (EXTERNAL_RATE + Math.max(0, excites))
                        / Math.max(EXTERNAL_RATE, rate + Math.max(0, inhibits)));
                change = Math.max(change, Math.abs(next - i.q) / next);
                total += next - i.q;
                upRows += (next - i.q) * i.excitatoryRow;
                downRows += (next - i.q) * i.inhibitoryRow;
                i.q = next;
            }
        }
    }
}
