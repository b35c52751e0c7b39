package rowanplank.cli;

import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import com.eclipsesource.json.WriterConfig;
import java.io.IOException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

@Command(name = "budget", synopsisSubcommandLabel = "COMMAND", description = "Budgets of the whole fleet, and who has what of them.")
final class FleetBudgetCommand {
    @Command(name = "list", description = "The budgets that a voter knows of, maybe a moment old.")
    int list(@Mixin Door door, @Option(names = "--json", description = "Prints them as JSON.") boolean json)
            throws IOException {
        JsonObject status = door.ask("/api/fleet");
        if (status.get("budgets") == null) {
            throw new IOException("this node is no voter: ask " + status.getString("asks", "one"));
        }
        if (json) {
            System.out.println(status.get("budgets").toString(WriterConfig.PRETTY_PRINT));
        } else {
            Door.array(status, "budgets").forEach(b -> System.out.print(text(b.asObject())));
        }
        return Status.DONE;
    }

    @Command(name = "set", description = {"Changes a budget's whole; to be told to the node that leads. A lowered one is in",
        "force once enough has come back; fleet budget list says so until then."})
    int set(@Mixin Door door, @Parameters(paramLabel = "NAME", description = "The budget.") String name,
            @Parameters(paramLabel = "WHOLE", description = "Uses at once; of a rate uses a second.") long whole)
            throws IOException {
        door.tell("/api/fleet/budget/" + name + "/" + whole);
        System.out.println(name + " is to be " + whole + "; fleet budget list shows when it is in force");
        return Status.DONE;
    }

    /** A line for the budget and one for each part. */
    static String text(JsonObject b) {
        boolean lowered = b.getDouble("asked", 0) != b.getDouble("whole", 0);
        StringBuilder text = new StringBuilder(String.format("budget  %s %s %s: %s free, %s promised, %s given back, %s set aside%s%n",
                b.getString("name", ""), b.getString("kind", ""), number(b, "whole"), number(b, "free"),
                number(b, "promised"), number(b, "giving_back"), number(b, "set_aside"),
                lowered ? ", to be " + number(b, "asked") : ""));
        for (JsonValue v : Door.array(b, "parts")) {
            JsonObject p = v.asObject();
            boolean moves = p.getDouble("target", 0) != p.getDouble("amount", 0);
            text.append(String.format("part    %s has %s%s under epoch %s%n", p.getString("node", ""), number(p, "amount"),
                    moves ? ", to be " + number(p, "target") : "", p.get("epoch")));
        }
        return text.toString();
    }

    private static String number(JsonObject o, String key) {
        double value = o.getDouble(key, 0);
        return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
    }
}
