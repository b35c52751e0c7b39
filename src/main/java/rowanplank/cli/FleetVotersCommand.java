package rowanplank.cli;

import java.io.IOException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

@Command(name = "voters", synopsisSubcommandLabel = "COMMAND",
        description = "Changes who votes, one node at a time; to be told to the node that leads.")
final class FleetVotersCommand {
    @Command(name = "add", description = {"Has a node vote. Its address has to stand in [fleet.peers] at all nodes, and",
        "its state has to be new (fleet init)."})
    int add(@Mixin Door door, @Parameters(paramLabel = "NAME", description = "The node.") String name)
            throws IOException {
        door.tell("/api/fleet/voters/add/" + name);
        return taken(name + " is to vote");
    }

    @Command(name = "remove", description = "Has a node vote no more, as where its machine is gone for good.")
    int remove(@Mixin Door door, @Parameters(paramLabel = "NAME", description = "The node.") String name)
            throws IOException {
        door.tell("/api/fleet/voters/remove/" + name);
        return taken(name + " is to vote no more");
    }

    private static int taken(String what) {
        System.out.println(what + "; fleet status shows when it is decided");
        return Status.DONE;
    }
}
