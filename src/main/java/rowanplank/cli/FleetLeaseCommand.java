package rowanplank.cli;

import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import com.eclipsesource.json.WriterConfig;
import java.io.IOException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

@Command(name = "lease", synopsisSubcommandLabel = "COMMAND", description = "Who holds which lease; have one given back.")
final class FleetLeaseCommand {
    @Command(name = "list", description = "The leases that a voter knows of, maybe a moment old.")
    int list(@Mixin Door door, @Option(names = "--json", description = "Prints them as JSON.") boolean json)
            throws IOException {
        JsonObject status = door.ask("/api/fleet");
        if (status.get("leases") == null) {
            throw new IOException("this node is no voter: ask " + status.getString("asks", "one"));
        }
        if (json) {
            System.out.println(status.get("leases").toString(WriterConfig.PRETTY_PRINT));
            return Status.DONE;
        }
        for (JsonValue v : Door.array(status, "leases")) {
            print(v.asObject().getString("lease", ""), v.asObject());
        }
        return Status.DONE;
    }

    @Command(name = "show", description = "Who holds a lease now, by the word of a leader that has confirmed that it leads.")
    int show(@Mixin Door door, @Parameters(paramLabel = "NAME", description = "The lease.") String name)
            throws IOException {
        JsonObject o = door.ask("/api/fleet/lease/" + name);
        if (o.getBoolean("held", false)) {
            print(name, o);
        } else {
            System.out.println(name + " is held by nobody");
        }
        return Status.DONE;
    }

    @Command(name = "release", description = {"Has a node give back a lease that it holds, in order: its tasks end first.",
        "It asks for it again after twice the lease's length."})
    int release(@Mixin Door door, @Parameters(paramLabel = "NAME", description = "The lease.") String name)
            throws IOException {
        door.tell("/api/fleet/release/" + name);
        System.out.println(name + " is being given back");
        return Status.DONE;
    }

    private static void print(String name, JsonObject lease) {
        System.out.println(name + " is held by " + lease.getString("holder", "") + " under fence " + lease.get("fence"));
    }
}
