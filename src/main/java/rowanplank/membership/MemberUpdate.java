package rowanplank.membership;

/**
 * An update about a member.
 *
 * @param name the member's name
 * @param address where the member says it can be reached
 * @param incarnation version of what the member says about itself. Only the member raises it, and a new process starts
 *     above its predecessor
 * @param state the state of the member
 * @param serves whether it accepts clients. A node may be alive for its peers but cut off from clients, or drained
 * @param by the member that suspects it or has found it failed; empty otherwise
 */
public record MemberUpdate(String name, String address, long incarnation, State state, boolean serves, String by) {
    /**
     * The state of a member, in ascending order of precedence within one incarnation. {@code DEAD} means failed;
     * {@code LEFT} means shut down in order.
     */
    public enum State { ALIVE, SUSPECT, DEAD, LEFT }

    /** Whether this update replaces another one about the same member. */
    boolean supersedes(MemberUpdate other) {
        return incarnation > other.incarnation || incarnation == other.incarnation && state.compareTo(other.state) > 0;
    }

    /** The same update with another state, as reported by a member. */
    MemberUpdate withState(State other, String by) {
        return new MemberUpdate(name, address, incarnation, other, serves, by);
    }

    /** The approximate size in a datagram in bytes. */
    int bytes() {
        return name.length() + address.length() + by.length() + 16;
    }

    /** Whether the member is not known to have failed or left. */
    boolean isAliveOrSuspect() {
        return state == State.ALIVE || state == State.SUSPECT;
    }
}
