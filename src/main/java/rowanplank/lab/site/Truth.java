package rowanplank.lab.site;

/** What is true of a day's page servers and no node can know: for policies that others are measured against. */
public interface Truth {
    /**
     * How long it would be until a request that is sent to a server now has its answer, if nothing else came there:
     * by the server's own model from its state in this instant, and by the way there and back as it is now.
     *
     * @param zone the node's
     * @param server as nodes number them
     * @param request by its id
     * @return milliseconds; infinite if it would not be served
     */
    double doneInMs(int zone, long server, String request);

    /** Whether a server holds so much, what is on its way included, that one more request would cost it throughput. */
    boolean isCrowded(long server);

    /** A request has been sent to a server now: it counts there at once, before it has come. */
    void sent(int zone, long server, String request);
}
