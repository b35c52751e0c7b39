package rowanplank.agreement;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.IntUnaryOperator;
import java.util.function.ToLongFunction;

/**
 * Who votes. While one group of voters takes the place of another, both decide together (joint consensus, section 6 of the
 * Raft paper): a majority of each is needed, so that neither can decide without the other.
 *
 * @param voters who votes, or will once the change is over
 * @param outgoing who voted before the change that is under way; empty where none is
 */
public record VoterConfig(List<String> voters, List<String> outgoing) {
    public VoterConfig {
        voters = List.copyOf(voters);
        outgoing = List.copyOf(outgoing);
    }

    /** A group that is not being changed. */
    public static VoterConfig of(List<String> voters) {
        return new VoterConfig(voters, List.of());
    }

    /** The step that leads from this group to another one. */
    public VoterConfig transitionTo(List<String> changed) {
        return new VoterConfig(changed, voters);
    }

    /** Whether a change is under way. */
    public boolean isJoint() {
        return !outgoing.isEmpty();
    }

    /** Whether a name has a vote, before the change or after it. */
    public boolean includes(String name) {
        return voters.contains(name) || outgoing.contains(name);
    }

    /** Everybody who has a vote, before the change or after it. */
    public List<String> allVoters() {
        List<String> all = new ArrayList<>(voters);
        outgoing.stream().filter(name -> !voters.contains(name)).forEach(all::add);
        return all;
    }

    /**
     * The largest value that enough voters have reached: of each of the two groups, while there are two.
     *
     * @param valueOf what a voter has reached
     * @param enough how many voters are enough in a group of so many
     */
    long quorumValue(ToLongFunction<String> valueOf, IntUnaryOperator enough) {
        long reached = quorumValue(voters, valueOf, enough);
        return isJoint() ? Math.min(reached, quorumValue(outgoing, valueOf, enough)) : reached;
    }

    private static long quorumValue(List<String> group, ToLongFunction<String> valueOf, IntUnaryOperator enough) {
        if (group.isEmpty()) {
            return Long.MIN_VALUE;
        }
        List<Long> values = new ArrayList<>();
        group.forEach(name -> values.add(valueOf.applyAsLong(name)));
        Collections.sort(values);
        return values.get(values.size() - enough.applyAsInt(values.size()));
    }
}
