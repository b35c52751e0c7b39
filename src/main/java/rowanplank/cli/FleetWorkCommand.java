package rowanplank.cli;

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

@Command(name = "work", synopsisSubcommandLabel = "COMMAND",
        description = "Machines taken out for work, one after another; any node may be asked and told.")
final class FleetWorkCommand {
    /** What a call is known by, so that the same one sent twice is done once. */
    static final class Number {
        @Option(names = "--number", paramLabel = "N", description = "Of a call whose outcome was not known: asks for the same again.")
        private long number;

        long get() {
            return number > 0 ? number : RandomSource.createLong() >>> 8;
        }
    }

    @Spec
    private CommandSpec spec;

    @Command(name = "ask", description = {"Has machines taken out, in an order that the nodes settle, never more at once than",
        "[fleet.work] allows. All of them, or none where one is not known."})
    int ask(@Mixin Door door, @Mixin Number number,
            @Parameters(paramLabel = "MACHINE", arity = "1..*", description = "As in [fleet.work] machine; usually a node's name.")
            List<String> machines,
            @Option(names = "--why", paramLabel = "TEXT", defaultValue = "", description = "What is to be done.") String why,
            @Option(names = "--until", paramLabel = "HOW", defaultValue = "word",
                    description = "word: fleet work done ends it; restart: a new process of each node does.") String until,
            @Option(names = "--longest", paramLabel = "TIME", defaultValue = "30m",
                    description = "The order halts where one is away for longer; usually 30m.") String longest,
            @Option(names = "--first", description = "Before others.") boolean first) throws IOException {
        Duration most = Units.duration(longest);
        if (most == null || most.isNegative() || most.isZero()) {
            throw new ParameterException(spec.commandLine(), "--longest: a time such as 30m, and not " + longest);
        }
        if (!until.equals("word") && !until.equals("restart")) {
            throw new ParameterException(spec.commandLine(), "--until: word or restart, and not " + until);
        }
        door.say("/api/fleet/work/ask/" + number.get() + "/" + String.join(",", machines) + "/" + until + "/" + most.toMillis()
                + "/" + first + "/" + text(why));
        return done("asked for " + String.join(", ", machines));
    }

    @Command(name = "restart", description = {"Has all machines taken out one after another until new processes of their nodes have come",
        "up: a rolling restart, as for a new version. Whatever runs the nodes has to start them again."})
    int restart(@Mixin Door door, @Mixin Number number,
            @Option(names = "--why", paramLabel = "TEXT", defaultValue = "restart of all") String why) throws IOException {
        List<String> machines = Door.array(work(door), "machines").values().stream().map(JsonValue::asString).toList();
        if (machines.isEmpty()) {
            throw new IOException("no machine is known yet");
        }
        return ask(door, number, machines, why, "restart", "30m", false);
    }

    @Command(name = "done", description = "The work on a machine that is out is done: it comes back.")
    int done(@Mixin Door door, @Mixin Number number, @Parameters(paramLabel = "MACHINE") String machine) throws IOException {
        door.say("/api/fleet/work/done/" + number.get() + "/" + machine);
        return done(machine + " comes back");
    }

    @Command(name = "cancel", description = "A machine is not to be worked on: it waits no more, or comes back.")
    int cancel(@Mixin Door door, @Mixin Number number, @Parameters(paramLabel = "MACHINE") String machine) throws IOException {
        door.say("/api/fleet/work/cancel/" + number.get() + "/" + machine);
        return done(machine + " is cancelled");
    }

    @Command(name = "skip", description = {"A machine is not waited for any more, as where it is gone for good: others go on.",
        "It counts as out only while it is seen not to serve."})
    int skip(@Mixin Door door, @Mixin Number number, @Parameters(paramLabel = "MACHINE") String machine) throws IOException {
        door.say("/api/fleet/work/skip/" + number.get() + "/" + machine);
        return done(machine + " is not waited for");
    }

    @Command(name = "hold", description = "Gives no more turns until told to go on; what is out stays out.")
    int hold(@Mixin Door door, @Mixin Number number,
            @Option(names = "--why", paramLabel = "TEXT", defaultValue = "held by staff") String why) throws IOException {
        door.say("/api/fleet/work/hold/" + number.get() + "/" + text(why));
        return done("held");
    }

    @Command(name = "go", description = "Goes on after a hold.")
    int go(@Mixin Door door, @Mixin Number number) throws IOException {
        door.say("/api/fleet/work/go/" + number.get());
        return done("goes on");
    }

    @Command(name = "list", description = "What is asked for, what is out, what comes next, and what halts the order.")
    int list(@Mixin Door door, @Option(names = "--json", description = "Prints it as JSON.") boolean json) throws IOException {
        JsonObject work = work(door);
        if (json) {
            System.out.println(work.toString(WriterConfig.PRETTY_PRINT));
        } else {
            System.out.print(text(work));
        }
        return Status.DONE;
    }

    @Command(name = "plan", description = "The order in which those that wait would have their turns.")
    int plan(@Mixin Door door) throws IOException {
        Door.array(work(door), "plan").forEach(m -> System.out.println(m.asString()));
        return Status.DONE;
    }

    @Command(name = "history", description = "The last lines that have ended, the latest at the end.")
    int history(@Mixin Door door) throws IOException {
        for (JsonValue v : Door.array(work(door), "history")) {
            JsonObject h = v.asObject();
            System.out.println(h.getString("machine", "") + " " + h.getString("how", "") + " under fence " + h.get("fence"));
        }
        return Status.DONE;
    }

    private static JsonObject work(Door door) throws IOException {
        JsonObject status = door.ask("/api/fleet");
        if (status.get("work") == null) {
            throw new IOException(status.get("term") == null ? "this node is no voter: ask " + status.getString("asks", "one")
                    : "this node has no [fleet.work] in its file");
        }
        return status.get("work").asObject();
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
        }
        if (!work.getString("held", "").isEmpty()) {
            text.append(String.format("%-8s%s%n", "held", work.getString("held", "")));
        } else if (!work.getString("halted", "").isEmpty() && !Door.array(work, "plan").isEmpty()) {
            text.append(String.format("%-8s%s%n", "halted", work.getString("halted", "")));
        }
        return text.toString();
    }

    private static String text(String why) {
        return URLEncoder.encode(why, StandardCharsets.UTF_8).replace("+", "%20");
    }

    private static int done(String what) {
        System.out.println(what + "; fleet work list shows it");
        return Status.DONE;
    }
}
