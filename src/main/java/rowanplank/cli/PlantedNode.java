package rowanplank.cli;

import rowanplank.lab.trial.Plants;

/**
 * A node with a planted fault, otherwise a {@link StandInNode}: what a trial starts to see whether its checker finds it.
 * No command leads here.
 */
public final class PlantedNode {
    private PlantedNode() { }

    /** @param args the fault's name, the rate of its clock, the bytes of entries in a message, and the operator's file */
    public static void main(String[] args) throws Exception {
        StandInNode.run(Plants.parts(args[0]), args[1], args[2], args[3]);
    }
}
