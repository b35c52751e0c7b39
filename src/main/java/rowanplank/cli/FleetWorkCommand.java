package rowanplank.cli;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import com.eclipsesource.json.WriterConfig;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.apache.commons.rng.simple.RandomSource;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import rowanplank.config.Units;
import rowanplank.ledger.Window;

@Command(name = "work", synopsisSubcommandLabel = "COMMAND",
        description = "Machines taken out for work, one after another; any node may be asked and told.")
final class FleetWorkCommand {
    /** What a call is known by, so that the same one sent twice is done once; and how its answer is told. */
    static final class Call {
        @Mixin
        private Door door;
        @Option(names = "--number", paramLabel = "N", description = "Of a call whose outcome was not known: asks for the same again.")
        private long number;
        @Option(names = "--json", description = "Prints the answer as JSON: done is true, false, or null where it is not known.")
        private boolean json;

        /** @param words the call's, a %d for its number */
        int say(String words, String told) {
            long id = number > 0 ? number : RandomSource.createLong() >>> 8;
            Door.Said said = door.say("/api/fleet/work/" + words.replace("%d", Long.toString(id)));
            String again = "not known whether it was done; the same call again with --number " + id + " tells, and does it once";
            if (json) {
                System.out.println(new JsonObject().add("done", said.done() == null ? Json.NULL : Json.value(said.done()))
                        .add("number", id).add("why", Boolean.TRUE.equals(said.done()) ? "" : said.why()));
            } else if (Boolean.TRUE.equals(said.done())) {
                System.out.println(told + "; fleet work list shows it");
            } else {
                Status.failed(Status.FAILED, said.done() == null ? again + " (" + said.why() + ")" : "not done: " + said.why());
            }
            return Boolean.TRUE.equals(said.done()) ? Status.DONE : Status.FAILED;
        }
    }

    /** What is asked for, beside which machines. */
    static final class Terms {
        @Option(names = "--until", paramLabel = "HOW", defaultValue = "word",
                description = "word: fleet work done ends it; restart: a new process of each node does.")
        private String until;
        @Option(names = "--first", description = "Before others.")
        private boolean first;
    }

    /** How long one may be away, and when it may go. */
    static final class Times {
        @Option(names = "--longest", paramLabel = "TIME", defaultValue = "30m",
                description = "The order halts where one is away for longer; usually 30m.")
        private String longest;
        @Option(names = "--window", paramLabel = "HH:MM-HH:MM", description = {"Turns are given in this part of the day only, by the",
            "leader's clock in [fleet.work] zone; usually at any time. One that is out when it ends stays out."})
        private String window;
    }

    @Spec
    private CommandSpec spec;

    @Command(name = "ask", description = {"Has machines taken out, in an order that the nodes settle, never more at once than",
        "[fleet.work] allows. All of them, or none where one is not known."})
    int ask(@Mixin Call call, @Mixin Terms terms, @Mixin Times times,
            @Parameters(paramLabel = "MACHINE", arity = "1..*", description = "As in [fleet.work] machine; usually a node's name.")
            List<String> machines,
            @Option(names = "--why", paramLabel = "TEXT", defaultValue = "", description = "What is to be done.") String why) {
        if (!terms.until.equals("word") && !terms.until.equals("restart")) {
            throw new ParameterException(spec.commandLine(), "--until: word or restart, and not " + terms.until);
        }
        return ask(call, machines, terms.until, terms.first, times, why, spec);
    }

    private static int ask(Call call, List<String> machines, String until, boolean first, Times times, String why, CommandSpec spec) {
        Duration most = Units.duration(times.longest);
        if (most == null || most.isNegative() || most.isZero()) {
            throw new ParameterException(spec.commandLine(), "--longest: a time such as 30m, and not " + times.longest);
        }
        if (times.window != null && Window.parse(times.window) == null) {
            throw new ParameterException(spec.commandLine(), "--window: a part of the day such as 02:00-05:00, and not " + times.window);
        }
        return call.say("ask/%d/" + String.join(",", machines) + "/" + until + "/" + most.toMillis() + "/" + first + "/"
                + (times.window == null ? "" : times.window + "/") + text(why), "asked for " + String.join(", ", machines));
    }

    @Command(name = "restart", description = {"Has all machines taken out one after another until new processes of their nodes have come",
        "up: a rolling restart, as for a new version. Whatever runs the nodes has to start them again."})
    int restart(@Mixin Call call, @Mixin Times times,
            @Option(names = "--why", paramLabel = "TEXT", defaultValue = "restart of all", description = "What is to be done.") String why)
            throws IOException {
        return restart(call, times, why, spec);
    }

    static int restart(Call call, Times times, String why, CommandSpec spec) throws IOException {
        List<String> machines = Door.array(work(call.door), "machines").values().stream().map(JsonValue::asString).toList();
        if (machines.isEmpty()) {
            throw new IOException("no machine is known yet");
        }
        return ask(call, machines, "restart", false, times, why, spec);
    }

    @Command(name = "done", description = "The work on a machine that is out is done: it comes back.")
    int done(@Mixin Call call, @Parameters(paramLabel = "MACHINE", description = "One that is out.") String machine) {
        return call.say("done/%d/" + machine, machine + " comes back");
    }

    @Command(name = "cancel", description = "A machine is not to be worked on: it waits no more, or comes back.")
    int cancel(@Mixin Call call, @Parameters(paramLabel = "MACHINE", description = "One that was asked for.") String machine) {
        return call.say("cancel/%d/" + machine, machine + " is cancelled");
    }

    @Command(name = "skip", description = {"A machine is not waited for any more: others go on.",
        "It counts as out only while it is seen not to serve."})
    int skip(@Mixin Call call, @Parameters(paramLabel = "MACHINE", description = "One that was asked for.") String machine) {
        return call.say("skip/%d/" + machine, machine + " is not waited for");
    }

    @Command(name = "forget", description = {"A machine that is dead is gone for good: it is neither waited for nor counted as out.",
        "Should a node of it start after all, it is known anew."})
    int forget(@Mixin Call call, @Parameters(paramLabel = "MACHINE", description = "One that is dead.") String machine) {
        return call.say("forget/%d/" + machine, machine + " is forgotten");
    }

    @Command(name = "hold", description = "Gives no more turns until told to go on; what is out stays out.")
    int hold(@Mixin Call call, @Option(names = "--why", paramLabel = "TEXT", defaultValue = "held by staff",
            description = "Told to whoever asks why nothing goes on.") String why) {
        return call.say("hold/%d/" + text(why), "held");
    }

    @Command(name = "go", description = "Goes on after a hold, or after a halt that waits for a person's word.")
    int go(@Mixin Call call) {
        return call.say("go/%d", "goes on");
    }

    @Command(name = "list", description = "What is asked for, what is out, what comes next, and what halts the order.")
    int list(@Mixin Door door, @Option(names = "--json", description = "Prints it as JSON.") boolean json) throws IOException {
        JsonObject work = work(door);
        System.out.print(json ? work.toString(WriterConfig.PRETTY_PRINT) + "\n" : orNothing(text(work), "nothing is asked for"));
        return Status.DONE;
    }

    @Command(name = "plan", description = {"The order in which those that wait have their turns, and why each waits;",
        "with machines, as it would be if these were asked for now. Asks for nothing."})
    int plan(@Mixin Door door, @Option(names = "--json", description = "Prints it as JSON.") boolean json,
            @Option(names = "--first", description = "As if they were asked for before others.") boolean first,
            @Parameters(paramLabel = "MACHINE", arity = "0..*", description = "Machines as if asked for.") List<String> machines)
            throws IOException {
        JsonArray plan = new JsonArray();
        if (machines == null || machines.isEmpty()) {
            JsonObject work = work(door);
            for (JsonValue m : Door.array(work, "plan")) {
                Door.array(work, "lines").values().stream().map(JsonValue::asObject)
                        .filter(l -> l.getString("machine", "").equals(m.asString()))
                        .forEach(l -> plan.add(new JsonObject().add("machine", m).add("waits", l.get("waits"))));
            }
        } else {
            Door.array(door.ask("/api/fleet/work/plan/" + String.join(",", machines) + (first ? "/first" : "")), "plan")
                    .forEach(plan::add);
        }
        StringBuilder text = new StringBuilder();
        plan.forEach(v -> text.append(v.asObject().getString("machine", "")).append(": ")
                .append(v.asObject().getString("waits", "")).append(System.lineSeparator()));
        System.out.print(json ? plan.toString(WriterConfig.PRETTY_PRINT) + "\n" : orNothing(text.toString(), "nothing waits"));
        return Status.DONE;
    }

    @Command(name = "history", description = "The last lines that have ended, the latest at the end.")
    int history(@Mixin Door door, @Option(names = "--json", description = "Prints it as JSON.") boolean json) throws IOException {
        JsonArray history = Door.array(work(door), "history");
        StringBuilder text = new StringBuilder();
        for (JsonValue v : history) {
            JsonObject h = v.asObject();
            text.append(h.getString("machine", "")).append(' ').append(h.getString("how", ""))
                    .append(h.getLong("fence", 0) == 0 ? " before its turn" : " under fence " + h.get("fence"))
                    .append(", asked for by entry ").append(h.get("asked")).append(System.lineSeparator());
        }
        System.out.print(json ? history.toString(WriterConfig.PRETTY_PRINT) + "\n" : orNothing(text.toString(), "nothing has ended"));
        return Status.DONE;
    }

    private static String orNothing(String text, String nothing) {
        return text.isEmpty() ? nothing + System.lineSeparator() : text;
    }

    private static JsonObject work(Door door) throws IOException {
        return door.ask("/api/fleet/work");
    }

    /** A line for each machine, and what stands against the next turn. */
    static String text(JsonObject work) {
        StringBuilder text = new StringBuilder();
        for (JsonValue v : Door.array(work, "lines")) {
            JsonObject l = v.asObject();
            text.append(String.format("%-8s%s%s: %s%s, %s%n", "work", l.getString("machine", ""),
                    l.getString("hall", "").isEmpty() ? "" : " in " + l.getString("hall", ""), l.getString("state", ""),
                    l.getLong("fence", 0) == 0 ? "" : " under fence " + l.get("fence"),
                    l.getString("why", "").isEmpty() ? "asked at " + l.getString("by", "") : l.getString("why", "")));
            if (!l.getString("window", "").isEmpty()) {
                text.insert(text.length() - System.lineSeparator().length(), ", within " + l.getString("window", ""));
            }
        }
        if (!work.getString("held", "").isEmpty()) {
            text.append(String.format("%-8s%s%n", "held", work.getString("held", "")));
        } else if (!work.getString("halted", "").isEmpty() && !Door.array(work, "plan").isEmpty()) {
            String why = work.getString("halted", "");
            text.append(String.format("%-8s%s%n", why.startsWith("as many as") || why.startsWith("the time of none") ? "waits" : "halted", why));
        }
        return text.toString();
    }

    private static String text(String why) {
        return URLEncoder.encode(why, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
