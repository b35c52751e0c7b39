package rowanplank.neural;

import java.util.ArrayList;
import java.util.List;

/**
 * The random neural network of one request class, with a neuron per ready server, trained by reinforcement learning.
 * An update for the neuron i of the server that responded changes the weights of every other row j in the same way.
 * So a column and a row value per neuron represent the N x N weights (see {@link Neuron}), and an update takes O(N).
 */
public final class RandomNeuralNetwork {
    /** Rate of excitatory signals that each neuron gets from outside the network. */
    private static final double EXTERNAL_RATE = 0.25;
    /** Smoothing factor of the reward threshold and of the mean latency, relative to which rewards are computed. */
    private static final double SMOOTHING = 0.95;
    /**
     * Reward of a response of mean latency, and the decay of learned weights per update. Their ratio bounds the
     * weights.
     */
    private static final double MEAN_REWARD = 0.1;
    private static final double DECAY = 0.01;
    /** Upper limit of mean latency / latency in a reward. */
    private static final double MAX_RELATIVE_REWARD = 3;
    private static final int MAX_ITERATIONS = 4;
    private static final double CONVERGENCE_TOLERANCE = 1e-4;

    final List<Neuron> neurons = new ArrayList<>();
    /** Mean of all neurons; adding neurons equal to it does not change it. Null if it must be computed again. */
    private Neuron average;
    double threshold = MEAN_REWARD;
    double meanLatency;

    /**
     * Adds a neuron that starts as the mean of the present ones. {@link #solve} must follow, once for a whole list of
     * servers.
     */
    public Neuron addNeuron() {
        if (average == null) {
            average = average();
        }
        Neuron added = new Neuron();
        added.q = average.q;
        added.excitatoryColumn = average.excitatoryColumn;
        added.excitatoryRow = average.excitatoryRow;
        added.inhibitoryColumn = average.inhibitoryColumn;
        added.inhibitoryRow = average.inhibitoryRow;
        neurons.add(added);
        return added;
    }

    /** Returns the mean latency of successful responses in milliseconds; 0 before the first. */
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

    /** Removes a neuron. {@link #solve} must follow. */
    public void removeNeuron(Neuron left) {
        neurons.remove(left);
        average = null;
    }

    /**
     * Learns from one response. The reward is the mean latency / the latency, times the reward of a mean response,
     * and it is compared with a moving threshold.
     *
     * @param i the neuron of the server
     * @param latency the latency in milliseconds; for a failure a long one
     * @param ok whether the response was a success and so counts for the mean
     */
    public void learn(Neuron i, double latency, boolean ok) {
        if (ok) {
            meanLatency = meanLatency == 0 ? latency : SMOOTHING * meanLatency + (1 - SMOOTHING) * latency;
        }
        double mean = meanLatency == 0 ? latency : meanLatency;
        double reward = MEAN_REWARD * Math.min(MAX_RELATIVE_REWARD, mean / Math.max(latency, 1e-3));
        threshold = SMOOTHING * threshold + (1 - SMOOTHING) * reward;
        boolean rewarded = reward > threshold;
        double share = neurons.size() > 2 ? reward / (neurons.size() - 2) : 0;
        for (Neuron k : neurons) {
            k.excitatoryColumn = k.excitatoryColumn * (1 - DECAY) + (rewarded ? k == i ? reward : 0 : k == i ? 0 : share);
            k.inhibitoryColumn = k.inhibitoryColumn * (1 - DECAY) + (rewarded ? k == i ? 0 : share : k == i ? reward : 0);
            k.excitatoryRow *= 1 - DECAY;
            k.inhibitoryRow *= 1 - DECAY;
        }
        i.excitatoryRow += rewarded ? 0 : share;
        i.inhibitoryRow += rewarded ? share : 0;
        solve();
    }

    /**
     * Computes q by iteration from its previous values. With fewer than two neurons there is nothing to compare, and
     * q stays.
     */
    public void solve() {
        average = null;
        int n = neurons.size();
        double w0 = 0.5 / (n - 1);
        double columnSum = 0;
        double qSum = 0;
        double excitatoryRowSum = 0;
        double inhibitoryRowSum = 0;
        // Computed once; each change of a q updates these sums below.
        for (int k = 0; k < n; k++) {
            Neuron j = neurons.get(k);
            columnSum += j.excitatoryColumn + j.inhibitoryColumn;
            qSum += j.q;
            excitatoryRowSum += j.q * j.excitatoryRow;
            inhibitoryRowSum += j.q * j.inhibitoryRow;
        }
        double change = n < 2 ? 0 : 1;
        for (int round = 0; round < MAX_ITERATIONS && change > CONVERGENCE_TOLERANCE; round++) {
            change = 0;
            for (int k = 0; k < n; k++) {
                Neuron i = neurons.get(k);
                double others = qSum - i.q;
                double excitation = others * (w0 + i.excitatoryColumn) - (excitatoryRowSum - i.q * i.excitatoryRow);
                double inhibition = others * (w0 + i.inhibitoryColumn) - (inhibitoryRowSum - i.q * i.inhibitoryRow);
                double rate = 1 + columnSum - i.excitatoryColumn - i.inhibitoryColumn
                        - (n - 1) * (i.excitatoryRow + i.inhibitoryRow);
                double next = Math.min(1, (EXTERNAL_RATE + Math.max(0, excitation))
                        / Math.max(EXTERNAL_RATE, rate + Math.max(0, inhibition)));
                change = Math.max(change, Math.abs(next - i.q) / next);
                qSum += next - i.q;
                excitatoryRowSum += (next - i.q) * i.excitatoryRow;
                inhibitoryRowSum += (next - i.q) * i.inhibitoryRow;
                i.q = next;
            }
        }
    }
}
