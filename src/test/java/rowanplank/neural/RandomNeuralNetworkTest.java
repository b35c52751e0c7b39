package rowanplank.neural;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests what the random neural network learns and what it keeps. */
class RandomNeuralNetworkTest {
    /** The fixed point of q = (1/4 + q/2) / (1 + q/2), which equal weights give. */
    private static final double EQUAL_Q = (Math.sqrt(3) - 1) / 2;

    private static List<Neuron> addNeurons(RandomNeuralNetwork network, int n) {
        List<Neuron> neurons = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            neurons.add(network.addNeuron());
            network.solve();
        }
        return neurons;
    }

    @Test
    void equalWeightsGiveTheFixedPointCalculatedByHand() {
        for (Neuron neuron : addNeurons(new RandomNeuralNetwork(), 5)) {
            assertEquals(EQUAL_Q, neuron.q, 1e-3);
        }
    }

    @Test
    void aSingleServerKeepsItsQ() {
        RandomNeuralNetwork network = new RandomNeuralNetwork();
        Neuron only = network.addNeuron();
        network.solve();
        network.learn(only, 10, true);
        assertEquals(0.5, only.q);
    }

    @Test
    void oneRewardChangesTheWeightsAsCalculatedByHand() {
        RandomNeuralNetwork network = new RandomNeuralNetwork();
        List<Neuron> s = addNeurons(network, 4);
        network.learn(s.get(0), 100, true); // sets the mean; the reward equals the threshold, so the server is not rewarded
        double before = s.get(1).excitatoryColumn;
        network.learn(s.get(1), 50, true);
        double mean = 0.95 * 100 + 0.05 * 50;
        double reward = 0.1 * mean / 50;
        assertEquals(before * 0.99 + reward, s.get(1).excitatoryColumn, 1e-12);
        assertEquals(reward / 2, s.get(1).inhibitoryRow, 1e-12);
        assertTrue(s.get(1).q > s.get(2).q);
    }

    @Test
    void ofTwoServersTheFasterHasTheHigherQ() {
        RandomNeuralNetwork network = new RandomNeuralNetwork();
        List<Neuron> s = addNeurons(network, 2);
        for (int i = 0; i < 50; i++) {
            network.learn(s.get(0), 10, true);
            network.learn(s.get(1), 40, true);
        }
        assertTrue(s.get(0).q > s.get(1).q);
    }

    @Test
    void failuresLowerQ() {
        RandomNeuralNetwork network = new RandomNeuralNetwork();
        List<Neuron> s = addNeurons(network, 4);
        for (int i = 0; i < 200; i++) {
            network.learn(s.get(i % 4), i % 4 == 3 ? 1000 : 20, i % 4 != 3);
        }
        assertTrue(s.get(3).q < s.get(0).q);
    }

    @Test
    void qStaysWithinBoundsAfterALongOneSidedRun() {
        RandomNeuralNetwork network = new RandomNeuralNetwork();
        List<Neuron> s = addNeurons(network, 6);
        for (int i = 0; i < 100_000; i++) {
            network.learn(s.get(i % 2), i % 2 == 0 ? 0.001 : 10_000, i % 2 == 0);
        }
        for (Neuron neuron : s) {
            assertTrue(neuron.q > 0 && neuron.q <= 1, "q " + neuron.q);
        }
    }

    @Test
    void aSlowdownOfAllServersLowersNoQ() {
        RandomNeuralNetwork network = new RandomNeuralNetwork();
        List<Neuron> s = addNeurons(network, 4);
        for (int i = 0; i < 2000; i++) {
            network.learn(s.get(i % 4), i < 1000 ? 20 : 200, true);
        }
        double lowest = s.stream().mapToDouble(x -> x.q).min().orElseThrow();
        double highest = s.stream().mapToDouble(x -> x.q).max().orElseThrow();
        assertTrue(highest / lowest < 1.05, lowest + " to " + highest);
    }

    @Test
    void addingAndRemovingNeuronsKeepsWhatOthersLearned() {
        RandomNeuralNetwork network = new RandomNeuralNetwork();
        List<Neuron> s = addNeurons(network, 4);
        for (int i = 0; i < 400; i++) {
            network.learn(s.get(i % 4), 10 + 20 * (i % 4), true);
        }
        double up = s.get(0).excitatoryColumn;
        Neuron added = network.addNeuron();
        network.solve();
        network.removeNeuron(s.get(2));
        network.solve();
        assertEquals(up, s.get(0).excitatoryColumn);
        assertTrue(s.get(0).q > added.q && added.q > s.get(3).q);
    }

    /**
     * The column and row values must equal the plain form of the algorithm: full weight matrices of which every row
     * is updated separately.
     */
    @Test
    void columnFormEqualsTheFullMatrixForm() {
        int n = 7;
        RandomNeuralNetwork network = new RandomNeuralNetwork();
        List<Neuron> s = addNeurons(network, n);
        double[][] up = new double[n][n];
        double[][] down = new double[n][n];
        SplittableRandom random = new SplittableRandom(7);
        for (int step = 0; step < 500; step++) {
            int i = random.nextInt(n);
            double latency = 5 + 50 * random.nextDouble() * (1 + i);
            network.learn(s.get(i), latency, true);
            double reward = 0.1 * Math.min(3, network.meanLatency / latency);
            boolean rewarded = reward > network.threshold;
            for (int j = 0; j < n; j++) {
                for (int k = 0; k < n; k++) {
                    up[j][k] *= 0.99;
                    down[j][k] *= 0.99;
                    if (j != i && k != j) {
                        (rewarded == (k == i) ? up : down)[j][k] += k == i ? reward : reward / (n - 2);
                    }
                }
            }

        }
        double w0 = 0.5 / (n - 1);
        for (int j = 0; j < n; j++) {
            for (int k = 0; k < n; k++) {
                if (j != k) {
                    assertEquals(w0 + up[j][k], w0 + s.get(k).excitatoryColumn - s.get(j).excitatoryRow, 1e-9);
                    assertEquals(w0 + down[j][k], w0 + s.get(k).inhibitoryColumn - s.get(j).inhibitoryRow, 1e-9);
                }
            }
        }
        double[] q = solve(up, down, w0);
        for (int i = 0; i < n; i++) {
            assertEquals(q[i], s.get(i).q, 2e-3 * q[i]);
        }
    }

    private static double[] solve(double[][] up, double[][] down, double w0) {
        int n = up.length;
        double[] q = new double[n];
        java.util.Arrays.fill(q, 0.5);
        for (int round = 0; round < 5000; round++) {
            for (int i = 0; i < n; i++) {
                double excitation = 0.25;
                double inhibition = 0;
                double rate = 0;
                for (int j = 0; j < n; j++) {
                    if (j != i) {
                        excitation += q[j] * (w0 + up[j][i]);
                        inhibition += q[j] * (w0 + down[j][i]);
                        rate += 2 * w0 + up[i][j] + down[i][j];
                    }
                }
                q[i] = Math.min(1, excitation / (rate + inhibition));
            }
        }
        return q;
    }
}
