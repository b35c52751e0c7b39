package rowanplank.lab.day;

import java.io.IOException;
import java.time.Duration;
import rowanplank.config.ConfigException;
import rowanplank.config.TomlFile;
import rowanplank.config.Units;
import rowanplank.lab.day.Day.Kind;
import rowanplank.lab.day.Day.RequestClass;
import rowanplank.net.FileAccess;

/**
 * A day as a TOML file and back: what is written is read as the same day. A file may leave out whatever is as in
 * {@link PressDay}; docs/lab.md has the keys.
 */
public final class DayFile {
    private static final int MOST_BYTES = 4 << 20;

    private DayFile() { }

    /** @throws ConfigException if the file can't be read, or is no day: one line for each fault */
    public static Day load(String file, FileAccess files) {
        try {
            return read(file, files.read(file, MOST_BYTES));
        } catch (IOException | RuntimeException e) {
            throw e instanceof ConfigException faults ? faults : new ConfigException(file + ": can't be read: " + e);
        }
    }

    /**
     * @param name what faults call the file
     * @throws ConfigException with one line for each fault, {@code file:line:column: key: what is wrong}
     */
    public static Day read(String name, String text) {
        TomlFile file = TomlFile.parse(name, text);
        Day day = DayReader.read(file.root());
        file.finish();
        return day;
    }

    /** Everything is written, also what is usual: a day stays what it was when the usual one changes. */
    public static String write(Day day) {
        Text t = new Text();
        t.add("name", day.name()).add("seed", day.seed()).add("length", day.length()).list("halls", day.halls());
        network(t, day.network());
        nodes(t, day.nodes());
        day.classes().forEach(c -> requestClass(t, c));
        rules(t, day.rules());
        prices(t, day.prices());
        servers(t, day.servers());
        Day.Discovery d = day.discovery();
        t.table("discovery").add("notices", d.notices()).add("delay", d.delay()).add("spread", d.spread());
        clients(t, day.clients());
        day.faults().forEach(f -> fault(t, f, day));
        return t.toString();
    }

    private static void network(Text t, Day.Network n) {
        t.table("network").add("same_hall", n.sameHall()).add("cross_hall", n.crossHall())
                .add("to_clients", n.toClients()).add("jitter", n.jitter()).add("loss", n.loss())
                .add("least_datagram", n.leastDatagram()).add("most_datagram", n.mostDatagram());
    }

    private static void nodes(Text t, Day.Nodes n) {
        t.table("nodes").add("count", n.count()).add("sockets", n.sockets()).add("cores", n.cores())
                .add("task_cost", n.taskCost()).add("tries", n.tries()).add("peers", n.peers())
                .add("probes", n.probes()).add("longest_retry_after", n.longestRetryAfter());
    }

    private static void requestClass(Text t, RequestClass c) {
        t.tables("class").add("name", c.name()).add("share", c.share()).add("work", c.work())
                .add("spread", c.spread()).add("aim", c.aim()).add("deadline", c.deadline()).add("worth", c.worth())
                .add("late_worth", c.lateWorth()).add("effect", c.effect());
    }

    private static void rules(Text t, Day.Rules r) {
        t.table("rules").add("drain_grace", r.drainGrace()).add("answer_slack", r.answerSlack())
                .add("cold_from", r.coldFrom()).add("cold", r.cold()).add("fall_multiple", r.fallMultiple())
                .add("fall_time", r.fallTime());
    }

    private static void prices(Text t, Day.Prices p) {
        t.table("prices").add("crossing", p.crossing()).add("waste", p.waste()).add("probe", p.probe())
                .add("datagram", p.datagram()).add("late_failure", p.lateFailure()).add("whole_day", p.wholeDay())
                .add("worst_ten_seconds", p.worstTenSeconds()).add("worst_class", p.worstClass());
    }

    private static void servers(Text t, Day.Servers s) {
        t.table("servers").add("count", s.count()).add("probe_work", s.probeWork()).add("try_noise", s.tryNoise())
                .add("body_bytes", s.bodyBytes()).add("warm_by", s.warmBy())
                .add("restart_after", s.restartAfter());
        t.table("servers.report").add("period", s.report().period()).add("delay", s.report().delay())
                .add("noise", s.report().noise());
        Day.Connections c = s.connections();
        t.table("servers.connections").add("handshake", c.handshake()).add("per_core", c.perCore())
                .add("full_tax", c.fullTax()).add("idle", c.idle()).add("open_timeout", c.openTimeout());
        s.kinds().forEach(k -> kind(t, k));
    }

    private static void kind(Text t, Kind k) {
        t.tables("servers.kind").add("name", k.name()).add("share", k.share()).add("cores", k.cores())
                .add("speed", k.speed()).add("speed_spread", k.speedSpread())
                .add("slots_per_core", k.slotsPerCore()).add("queue_per_core", k.queuePerCore())
                .add("crowded_from", k.crowdedFrom()).add("crowded_loss", k.crowdedLoss())
                .add("crowded_floor", k.crowdedFloor())
                .add("cold_from", k.coldFrom()).add("cold", k.cold()).add("pause_every", k.pauseEvery())
                .add("pause", k.pause()).add("errors", k.errors()).add("drops_expired", k.dropsExpired());
    }

    private static void clients(Text t, Day.Clients c) {
        t.table("clients").add("rate", c.rate()).add("burst", c.burst()).add("burst_length", c.burstLength())
                .add("skew", c.skew()).add("patience", c.patience()).add("heeds", c.heeds())
                .add("connections", c.connections()).add("ask_once", c.askOnce())
                .add("least_notice", c.leastNotice()).add("most_notice", c.mostNotice())
                .add("keeps", c.keeps()).add("marks_retries", c.marksRetries());
    }

    private static void fault(Text t, Fault f, Day day) {
        t.tables("fault").add("kind", FaultReader.name(f.kind())).add("at", f.at());
        if (!f.length().isZero()) {
            t.add("length", f.length());
        }
        if (f.target() != Fault.ALL) {
            int halls = day.halls().size();
            switch (f.kind().at()) {
                case SERVER -> t.add("server", f.target());
                case NODE, DISCOVERY -> t.add("node", f.target());
                case PAIR_OF_HALLS -> t.add("from", day.halls().get(f.target() / halls))
                        .add("to", day.halls().get(f.target() % halls));
                case HALL, CLIENTS -> { }
            }
        }
        if (!f.kind().sizeless()) {
            t.add("size", f.size());
        }
    }

    /** TOML as it is written down. */
    private static final class Text {
        private final StringBuilder text = new StringBuilder();

        Text table(String name) {
            text.append("\n[").append(name).append("]\n");
            return this;
        }

        Text tables(String name) {
            text.append("\n[[").append(name).append("]]\n");
            return this;
        }

        Text add(String key, String value) {
            return line(key, quoted(value));
        }

        Text add(String key, Duration value) {
            return add(key, Units.format(value));
        }

        Text add(String key, double value) {
            return line(key, Double.toString(value));
        }

        Text add(String key, long value) {
            return line(key, Long.toString(value));
        }

        Text add(String key, boolean value) {
            return line(key, Boolean.toString(value));
        }

        Text list(String key, java.util.List<String> values) {
            return line(key, "[" + String.join(", ", values.stream().map(Text::quoted).toList()) + "]");
        }

        private Text line(String key, String value) {
            text.append(key).append(" = ").append(value).append('\n');
            return this;
        }

        private static String quoted(String value) {
            return '"' + org.tomlj.Toml.tomlEscape(value).toString() + '"';
        }

        @Override
        public String toString() {
            return text.toString();
        }
    }
}
