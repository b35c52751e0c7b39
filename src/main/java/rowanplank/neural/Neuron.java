package rowanplank.neural;

/**
 * A server's place in a network. The weights between neurons j and k are w+(j,k) = w0 + k.up - j.upRow and
 * w-(j,k) = w0 + k.down - j.downRow.
 */
public final class Neuron {
    double q = 0.5;
    double excitatoryColumn;
    double excitatoryRow;
    double inhibitoryColumn;
    double inhibitoryRow;

    /** q, the probability that the neuron is excited, in (0, 1]: the higher, the better the server. */
    public double quality() {
        return q;
    }
}
