package rowanplank.neural;

/**
 * The neuron of one server in a {@link RandomNeuralNetwork}. The weights from neuron j to neuron k are w+(j,k) = w0 +
 * k.excitatoryColumn - j.excitatoryRow (excitatory) and w-(j,k) = w0 + k.inhibitoryColumn - j.inhibitoryRow
 * (inhibitory).
 */
public final class Neuron {
    double q = 0.5;
    double excitatoryColumn;
    double excitatoryRow;
    double inhibitoryColumn;
    double inhibitoryRow;

    /** Returns q, the probability that the neuron is excited, in (0, 1]. The higher, the better the server. */
    public double quality() {
        return q;
    }
}
