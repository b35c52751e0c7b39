package rowanplank.balancer;

/** What tests of other packages may see of a module's inside. */
public final class BalancerInternals {
    private BalancerInternals() { }

    /** Tries that it holds to be out, at all servers that it may choose. */
    public static int inFlight(Balancer balancer) {
        return balancer.readyServers().stream().mapToInt(t -> t.limit.inFlight).sum();
    }
}
