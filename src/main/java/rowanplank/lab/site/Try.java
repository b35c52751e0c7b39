package rowanplank.lab.site;

import rowanplank.lab.site.Fates.Fate;

/** A node's try, as the page server sees it that it came to. */
final class Try extends ServerModel.Job {
    private final Service service;
    final ServerConnection connection;
    final long request;
    final Fate fate;
    /** Whether it was told of that it will never be answered. */
    boolean lost;
    long cameAt;
    long begunAt;
    /** How many the server held when it came. */
    int crowd;

    Try(Service service, ServerConnection connection, long request, long work, Fate fate) {
        super(work);
        this.service = service;
        this.connection = connection;
        this.request = request;
        this.fate = fate;
    }

    @Override
    protected void begun() {
        service.runs(this);
    }

    @Override
    protected void done() {
        service.finished(this, true);
    }

    @Override
    protected void expired() {
        service.finished(this, false);
    }
}
