package rowanplank.lab.day;

import java.time.Duration;
import java.util.List;

/**
 * A day that can be played: the whole of what is to be known beforehand. Two plays of one day are alike event for
 * event. What is drawn for a day (true speeds, arrivals, work) comes from its seed.
 *
 * @param length how long clients ask; after that the day runs on until all is at rest
 * @param halls names; nodes, servers and clients stand in one each
 * @param faults in the order of the file
 */
public record Day(String name, long seed, Duration length, List<String> halls, Network network, Nodes nodes,
        List<RequestClass> classes, Rules rules, Prices prices, Servers servers, Discovery discovery, Clients clients,
        List<Fault> faults) {
    public Day {
        halls = List.copyOf(halls);
        classes = List.copyOf(classes);
        faults = List.copyOf(faults);
    }

    /**
     * The way between machines, one way.
     *
     * @param jitter the mean of what is added, as a share of the latency; it is drawn from an exponential distribution
     * @param loss the share of segments that must be sent again, and of datagrams that never come
     * @param leastDatagram the range in which a datagram between nodes takes, in place of the latency
     * @param mostDatagram the range's upper end
     */
    public record Network(Duration sameHall, Duration crossHall, Duration toClients, double jitter, double loss,
            Duration leastDatagram, Duration mostDatagram) { }

    /**
     * The nodes; their halls follow each other in turn.
     *
     * @param sockets how many descriptors each may hold
     * @param cores the share of a core that each has
     * @param taskCost core time that each task of its loop takes; zero where the node's core is no matter
     * @param tries the most tries of a request
     * @param peers whether they may send each other datagrams
     */
    public record Nodes(int count, int sockets, double cores, Duration taskCost, int tries, boolean peers,
            boolean probes, Duration longestRetryAfter) { }

    /**
     * A class of requests.
     *
     * @param share of all requests; shares need not sum to one
     * @param work mean core time on a server of speed 1
     * @param spread of the work, as its standard deviation over its mean; log-normal
     * @param effect {@code repeatable}, {@code by_key} or {@code once}
     */
    public record RequestClass(String name, double share, Duration work, double spread, Duration aim, Duration deadline,
            double worth, double lateWorth, String effect) { }

    /** The figures of the rules, as nodes are told them. */
    public record Rules(Duration drainGrace, Duration answerSlack, double coldFrom, Duration cold, double fallMultiple,
            Duration fallTime) { }

    /** What comes off the service, each times its share; the weights of the service's parts. */
    public record Prices(double crossing, double waste, double probe, double datagram, double lateFailure,
            double wholeDay, double worstTenSeconds, double worstClass) { }

    /**
     * The page servers; their halls follow each other in turn, their kinds as the shares say.
     *
     * @param tryNoise how much work differs from one try of a request to the next: the standard deviation of a factor
     *        of mean 1
     * @param bodyBytes how long the bodies of answers are
     * @param warmBy {@code work} done since the start, or {@code time}
     * @param restartAfter a server whose process was killed comes back after this
     */
    public record Servers(int count, List<Kind> kinds, Report report, Connections connections, Duration probeWork,
            double tryNoise, int bodyBytes, String warmBy, Duration restartAfter) {
        public Servers {
            kinds = List.copyOf(kinds);
        }
    }

    /**
     * A kind of server. Speeds are drawn a server, log-normal round the kind's.
     *
     * @param slotsPerCore requests in work at most; beyond them {@code queuePerCore} wait, and the rest is turned away
     * @param crowdedFrom requests held a core beyond which less is done
     * @param crowdedLoss how much is lost: throughput falls by this share for each request a core above
     * @param crowdedFloor the share of its throughput that is left however many it holds
     * @param coldFrom the share of its capacity that it has when it starts
     * @param pauseEvery mean time between pauses, which last {@code pause} on average; zero for none
     * @param errors share of requests answered 500
     * @param dropsExpired whether work whose time is up is not begun
     */
    public record Kind(String name, double share, int cores, double speed, double speedSpread, double slotsPerCore,
            double queuePerCore, double crowdedFrom, double crowdedLoss, double crowdedFloor, double coldFrom,
            Duration cold, Duration pauseEvery, Duration pause, double errors, boolean dropsExpired) { }

    /** Load reports in answers: how often refreshed, how late and how noisy; none where the period is zero. */
    public record Report(Duration period, Duration delay, double noise) { }

    /**
     * What a server's connections cost it.
     *
     * @param handshake core time of a new one
     * @param perCore how many it holds a core; more are refused
     * @param fullTax the share of its capacity that a full table takes
     * @param idle an idle one is closed after this
     * @param openTimeout a node gives up a connection that is not up by then
     */
    public record Connections(Duration handshake, int perCore, double fullTax, Duration idle, Duration openTimeout) { }

    /**
     * The roster.
     *
     * @param notices how long after a server's change the roster knows of it
     * @param delay of its news on the way to each node's agent; spread is what is drawn on top, a node
     */
    public record Discovery(Duration notices, Duration delay, Duration spread) { }

    /**
     * The clients, all halls' together.
     *
     * @param rate requests a second, over all nodes
     * @param burst how far the rate swings: it is drawn anew every {@code burstLength} within 1 - burst to 1 + burst
     * @param skew how unevenly readers stand over the halls: 0 even, 1 all in the first
     * @param patience the share of the class's deadline after which a client gives up by itself, at the least; the
     *        most is the whole deadline
     * @param heeds the share of clients that ask again after the {@code Retry-After} of a reject
     * @param connections how many connections the clients of a hall may hold to a node
     * @param askOnce the share of clients that keep their connection after one request and never use it again
     * @param leastNotice how long a front goes on sending to a dead node, at the least
     * @param mostNotice and at the most
     * @param keeps the share of clients that leave their connection to the next ones; the others close it with the answer
     * @param marksRetries whether a client that asks again says so in {@code X-Retried}
     */
    public record Clients(double rate, double burst, Duration burstLength, double skew, double patience, double heeds,
            int connections, double askOnce, Duration leastNotice, Duration mostNotice, double keeps,
            boolean marksRetries) { }
}
