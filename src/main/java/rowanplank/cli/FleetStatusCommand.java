package rowanplank.cli;

import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import com.eclipsesource.json.WriterConfig;
import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

@Command(name = "status", description = "What a running node knows of its fleet: who leads, who votes, who holds what.")
final class FleetStatusCommand implements Callable<Integer> {
    @Mixin
    private Door door;
    @Option(names = "--json", description = "Prints all of it as JSON.")
    private boolean json;

    @Override
    public Integer call() throws IOException {
        JsonObject o = door.ask("/api/fleet");
        System.out.print(json ? o.toString(WriterConfig.PRETTY_PRINT) + "\n" : text(o));
        return Status.DONE;
    }

    private static String text(JsonObject o) {
        StringBuilder text = new StringBuilder();
        line(text, "node", o.getString("node", "") + " of fleet " + o.getString("fleet", ""));
        if (o.get("halted") != null) {
            line(text, "halted", o.getString("halted", ""));
        }
        if (o.get("twin") != null) {
            line(text, "twin", "another process calls itself " + o.getString("node", "") + ", at " + o.getString("twin", ""));
        }
        line(text, "role", o.getString("role", "") + (o.get("term") == null ? "" : " in term " + o.get("term")));
        if (o.get("term") != null) {
            String leader = o.getString("leader", "");
            line(text, "leader", leader.isEmpty() ? "none is known: a majority of the voters may be away" : leader);
            line(text, "log", o.get("applied") + " of " + o.get("last") + " entries applied");
            voters(text, Door.array(o, "voters"));
            if (!o.getBoolean("voters_decided", true)) {
                line(text, "voters", "the last change of them is not decided yet");
            }
            for (JsonValue v : Door.array(o, "leases")) {
                JsonObject l = v.asObject();
                line(text, "lease", l.getString("lease", "") + " is held by " + l.getString("holder", "") + " under fence "
                        + l.get("fence"));
            }
        }
        if (o.get("asks") != null) {
            line(text, "asks", o.getString("asks", "") + (o.get("answered_ms") == null ? "; no leader has answered it yet"
                    : "; a leader answered it " + o.get("answered_ms") + " ms ago") + " (it does not vote: a hint who leads)");
        }
        Door.array(o, "budgets").forEach(b -> text.append(FleetBudgetCommand.text(b.asObject())));
        if (o.get("work") != null) {
            text.append(FleetWorkCommand.text(o.get("work").asObject()));
        }
        for (JsonValue v : Door.array(o, "members")) {
            JsonObject m = v.asObject();
            line(text, "member", m.getString("name", "") + " at " + m.getString("at", "") + " is " + m.getString("state", "")
                    + (m.getBoolean("serves", false) ? " and serves" : ""));
        }
        for (JsonValue v : Door.array(o, "holds")) {
            JsonObject l = v.asObject();
            line(text, "holds", l.getString("lease", "") + " under fence " + l.get("fence") + " for "
                    + l.get("left_ms") + " ms more");
        }
        if (o.get("asks") != null && Door.array(o, "holds").isEmpty()) {
            line(text, "holds", "nothing");
        }
        if (o.get("turn") != null && !o.get("turn").asObject().getString("state", "none").equals("none")) {
            line(text, "turn", o.get("turn").asObject().getString("state", ""));
        }
        for (JsonValue v : Door.array(o, "parts")) {
            JsonObject p = v.asObject();
            line(text, "uses", p.get("open") + " of " + p.getString("budget", "") + ", may use " + p.get("usable") + " for "
                    + p.get("left_ms") + " ms more; refused " + p.get("refused") + " times"
                    + (p.getString("why", "").isEmpty() ? "" : "; " + p.getString("why", "")));
        }
        return text.toString();
    }

    private static void voters(StringBuilder text, JsonArray voters) {
        for (JsonValue v : voters) {
            JsonObject one = v.asObject();
            line(text, "voter", one.getString("name", "")
                    + (one.get("lag") == null ? "" : ", " + one.get("lag") + " entries behind")
                    + (one.getBoolean("lost_memory", false) ? ", and has lost what it had told of: an older copy" : ""));
        }
    }

    private static void line(StringBuilder text, String key, String value) {
        text.append(String.format("%-8s%s%n", key, value));
    }
}
