package rowanplank.agreement;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.IntUnaryOperator;
import java.util.function.ToLongFunction;

/**
 * The voter configuration of a Raft group. While one set of voters replaces another, the configuration is joint
 * (section 6 of the Raft paper): a majority of each set is required, so that neither can decide without the other.
 *
 * @param voters the voters, or the future voters during a change
 * @param outgoing the voters before the change that is under way; empty if there is none
 */
public record VoterConfig(List<String> voters, List<String> outgoing) {
    public VoterConfig {
        voters = List.copyOf(voters);
        outgoing = List.copyOf(outgoing);
    }

    /** A configuration without a change under way. */
    public static VoterConfig of(List<String> voters) {
        return new VoterConfig(voters, List.of());
    }

    /** The joint configuration on the way from these voters to other ones. */
    public VoterConfig transitionTo(List<String> changed) {
        return new VoterConfig(changed, voters);
    }

    /** Whether a change is under way. */
    public boolean isJoint() {
        return !outgoing.isEmpty();
    }

    /** Whether a node has a vote before or after the change. */
    public boolean includes(String name) {
        return voters.contains(name) || outgoing.contains(name);
    }

    /** All nodes that have a vote before or after the change. */
    public List<String> allVoters() {
        List<String> all = new ArrayList<>(voters);
        outgoing.stream().filter(name -> !voters.contains(name)).forEach(all::add);
        return all;
    }

    /**
     * The largest value that a quorum of voters has reached; in a joint configuration, a quorum of both sets.
     *
     * @param valueOf the value that a voter has reached
     * @param quorumSize maps the size of a set of voters to its quorum
     */
    long quorumValue(ToLongFunction<String> valueOf, IntUnaryOperator quorumSize) {
        long value = quorumValue(voters, valueOf, quorumSize);
        return isJoint() ? Math.min(value, quorumValue(outgoing, valueOf, quorumSize)) : value;
    }

    private static long quorumValue(List<String> members, ToLongFunction<String> valueOf, IntUnaryOperator quorumSize) {
        if (members.isEmpty()) {
            return Long.MIN_VALUE;
        }
        List<Long> values = new ArrayList<>();
        members.forEach(name -> values.add(valueOf.applyAsLong(name)));
        Collections.sort(values);
        return values.get(values.size() - quorumSize.applyAsInt(values.size()));
    }
}
