package rowanplank.lab.run;

import rowanplank.lab.net.Link;
import rowanplank.lab.site.Ids;
import rowanplank.lab.site.PageServer;
import rowanplank.lab.site.ServerModel;
import rowanplank.lab.site.Truth;

/** The true state of a day's servers and of the ways to them. A call costs what the server holds. */
final class TrueState implements Truth {
    private final Stage stage;
    private final ServerPark park;

    TrueState(Stage stage, ServerPark park) {
        this.stage = stage;
        this.park = park;
    }

    @Override
    public double doneInMs(int zone, long server, String request) {
        ServerHost host = park.host(server);
        PageServer there = host == null ? null : host.reachable();
        Link way = host == null ? null : stage.network().link(zone, host.hall());
        Link back = host == null ? null : stage.network().link(host.hall(), zone);
        if (there == null || way.isCut() || back.isCut()) {
            return Double.POSITIVE_INFINITY;
        }
        long done = there.doneAt(stage.world().nanos() + (long) way.usual(), Ids.number(request));
        return done == ServerModel.NEVER ? Double.POSITIVE_INFINITY
                : (done - stage.world().nanos() + back.usual()) / 1e6;
    }

    @Override
    public boolean isCrowded(long server) {
        ServerHost host = park.host(server);
        return host != null && host.reachable() != null && host.reachable().isCrowdedByOne();
    }

    @Override
    public void sent(int zone, long server, String request) {
        ServerHost host = park.host(server);
        if (host != null && host.reachable() != null) {
            Link way = stage.network().link(zone, host.hall());
            host.reachable().sent(stage.world().nanos() + (long) way.usual(), Ids.number(request));
        }
    }
}
