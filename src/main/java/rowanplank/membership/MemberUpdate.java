package rowanplank.membership;

/**
 * What is said of a node.
 *
 * @param address where it says that it is found
 * @param incarnation of what it says of itself: it alone raises it, and begins above where a process before it began
 * @param serves whether it takes clients: a node may live for its peers and be cut off from those, or drained
 * @param by who suspects it, or has found it dead; empty else
 */
public record MemberUpdate(String name, String address, long incarnation, State state, boolean serves, String by) {
    /** In the order in which one beats another of the same incarnation. */
    public enum State { ALIVE, SUSPECT, DEAD, LEFT }

    boolean supersedes(MemberUpdate other) {
        return incarnation > other.incarnation || incarnation == other.incarnation && state.compareTo(other.state) > 0;
    }

    MemberUpdate withState(State other, String by) {
        return new MemberUpdate(name, address, incarnation, other, serves, by);
    }

    /** About what it takes in a datagram. */
    int bytes() {
        return name.length() + address.length() + by.length() + 16;
    }

    boolean isAliveOrSuspect() {
        return state == State.ALIVE || state == State.SUSPECT;
    }
}
