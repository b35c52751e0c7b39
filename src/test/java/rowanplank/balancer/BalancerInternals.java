package rowanplank.balancer;

/** Gives tests of other packages access to the internal state of a {@link Balancer}. */
public final class BalancerInternals {
    private BalancerInternals() { }

    /** The number of attempts that the module counts as in flight, at all servers that it may choose. */
    public static int inFlight(Balancer balancer) {
        return balancer.readyServers().stream().mapToInt(t -> t.limit.inFlight).sum();
    }
}
