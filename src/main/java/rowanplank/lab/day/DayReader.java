package rowanplank.lab.day;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import rowanplank.config.TomlSection;
import rowanplank.lab.day.Day.Clients;
import rowanplank.lab.day.Day.Connections;
import rowanplank.lab.day.Day.Discovery;
import rowanplank.lab.day.Day.Kind;
import rowanplank.lab.day.Day.Network;
import rowanplank.lab.day.Day.Nodes;
import rowanplank.lab.day.Day.Prices;
import rowanplank.lab.day.Day.Report;
import rowanplank.lab.day.Day.RequestClass;
import rowanplank.lab.day.Day.Rules;
import rowanplank.lab.day.Day.Servers;

/** Reads a day's tables, each key within its bounds; what is absent is as in {@link PressDay}. */
final class DayReader {
    private static final Day USUAL = PressDay.DAY;
    private static final int MOST_NAMED = 100;
    private static final int MOST_NODES = 1000;
    private static final int MOST_SERVERS = 10_000;
    /** Beyond it a day would not be over in any time that someone waits. */
    private static final double MOST_REQUESTS = 1e7;
    private static final Duration NONE = Duration.ZERO;
    private static final Duration LEAST = Duration.ofNanos(1000);
    private static final Duration SECOND = Duration.ofSeconds(1);
    private static final Duration MINUTE = Duration.ofMinutes(1);
    private static final Duration HOUR = Duration.ofHours(1);

    private DayReader() { }

    static Day read(TomlSection s) {
        Duration length = s.duration("length", SECOND, HOUR, USUAL.length());
        List<String> halls = halls(s);
        Nodes nodes = nodes(s.section("nodes"));
        Rules rules = rules(s.section("rules"));
        Servers servers = servers(s.section("servers"), rules);
        Clients clients = clients(s.section("clients"), length);
        return new Day(s.text("name", USUAL.name()), s.whole("seed", Long.MIN_VALUE, Long.MAX_VALUE, USUAL.seed()),
                length, halls, network(s.section("network")), nodes, classes(s), rules, prices(s.section("prices")),
                servers, discovery(s.section("discovery")), clients,
                FaultReader.read(s, length, halls, nodes.count(), servers));
    }

    private static List<String> halls(TomlSection s) {
        List<String> halls = s.texts("halls", USUAL.halls());
        if (halls.isEmpty() || halls.size() > MOST_NAMED || !halls.stream().allMatch(DayReader::isName)) {
            s.fault("halls", "must be 1 to " + MOST_NAMED + " names of a-z, 0-9 and -");
        } else if (new TreeSet<>(halls).size() < halls.size()) {
            s.fault("halls", "names one twice");
        } else {
            return halls;
        }
        return USUAL.halls();
    }

    private static Network network(TomlSection s) {
        Network usual = USUAL.network();
        Network read = new Network(s.duration("same_hall", LEAST, MINUTE, usual.sameHall()),
                s.duration("cross_hall", LEAST, MINUTE, usual.crossHall()),
                s.duration("to_clients", LEAST, MINUTE, usual.toClients()),
                s.number("jitter", 0, 100, usual.jitter()), s.number("loss", 0, 0.9, usual.loss()),
                s.duration("least_datagram", LEAST, MINUTE, usual.leastDatagram()),
                s.duration("most_datagram", LEAST, MINUTE, usual.mostDatagram()));
        ordered(s, "least_datagram", read.leastDatagram(), "most_datagram", read.mostDatagram());
        return read;
    }

    private static Nodes nodes(TomlSection s) {
        Nodes usual = USUAL.nodes();
        return new Nodes(s.integer("count", 1, MOST_NODES, usual.count()),
                s.integer("sockets", 16, 1_000_000, usual.sockets()), s.number("cores", 0.001, 1, usual.cores()),
                s.duration("task_cost", NONE, SECOND, usual.taskCost()), s.integer("tries", 1, 100, usual.tries()),
                s.flag("peers", usual.peers()), s.flag("probes", usual.probes()),
                s.duration("longest_retry_after", NONE, HOUR, usual.longestRetryAfter()));
    }

    private static List<RequestClass> classes(TomlSection s) {
        return named(s, "class", USUAL.classes(), RequestClass::name, RequestClass::share, DayReader::requestClass);
    }

    private static RequestClass requestClass(TomlSection s) {
        RequestClass usual = USUAL.classes().get(0);
        RequestClass read = new RequestClass(name(s), s.number("share", 0, 1e6, usual.share()),
                s.duration("work", LEAST, MINUTE, usual.work()), s.number("spread", 0, 10, usual.spread()),
                s.duration("aim", Duration.ofMillis(1), HOUR, usual.aim()),
                s.duration("deadline", Duration.ofMillis(1), HOUR, usual.deadline()),
                s.number("worth", 0, 1e6, usual.worth()), s.number("late_worth", 0, 1, usual.lateWorth()),
                s.oneOf("effect", List.of("repeatable", "by_key", "once"), usual.effect()));
        ordered(s, "aim", read.aim(), "deadline", read.deadline());
        return read;
    }

    private static Rules rules(TomlSection s) {
        Rules usual = USUAL.rules();
        return new Rules(s.duration("drain_grace", NONE, MINUTE, usual.drainGrace()),
                s.duration("answer_slack", NONE, MINUTE, usual.answerSlack()),
                s.number("cold_from", 0.001, 1, usual.coldFrom()), s.duration("cold", NONE, HOUR, usual.cold()),
                s.number("fall_multiple", 0.1, 1000, usual.fallMultiple()),
                s.duration("fall_time", Duration.ofMillis(1), HOUR, usual.fallTime()));
    }

    private static Prices prices(TomlSection s) {
        Prices usual = USUAL.prices();
        Prices read = new Prices(s.number("crossing", 0, 1, usual.crossing()), s.number("waste", 0, 1, usual.waste()),
                s.number("probe", 0, 1, usual.probe()), s.number("datagram", 0, 1, usual.datagram()),
                s.number("late_failure", 0, 1, usual.lateFailure()), s.number("whole_day", 0, 1, usual.wholeDay()),
                s.number("worst_ten_seconds", 0, 1, usual.worstTenSeconds()),
                s.number("worst_class", 0, 1, usual.worstClass()));
        if (Math.abs(read.wholeDay() + read.worstTenSeconds() + read.worstClass() - 1) > 1e-9) {
            s.fault("whole_day", "with worst_ten_seconds and worst_class it must make 1");
        }
        return read;
    }

    private static Servers servers(TomlSection s, Rules rules) {
        Servers usual = USUAL.servers();
        return new Servers(s.integer("count", 1, MOST_SERVERS, usual.count()),
                named(s, "kind", usual.kinds(), Kind::name, Kind::share, k -> kind(k, rules)),
                report(s.section("report")), connections(s.section("connections")),
                s.duration("probe_work", LEAST, MINUTE, usual.probeWork()),
                s.number("try_noise", 0, 10, usual.tryNoise()), s.integer("body_bytes", 0, 65_536, usual.bodyBytes()),
                s.oneOf("warm_by", List.of("work", "time"), usual.warmBy()),
                s.duration("restart_after", Duration.ofMillis(1), HOUR, usual.restartAfter()));
    }

    private static Kind kind(TomlSection s, Rules rules) {
        Kind usual = USUAL.servers().kinds().get(1);
        Kind read = new Kind(name(s), s.number("share", 0, 1e6, usual.share()), s.integer("cores", 1, 1000, usual.cores()),
                s.number("speed", 0.01, 1000, usual.speed()), s.number("speed_spread", 0, 3, usual.speedSpread()),
                s.number("slots_per_core", 0.1, 10_000, usual.slotsPerCore()),
                s.number("queue_per_core", 0, 10_000, usual.queuePerCore()),
                s.number("crowded_from", 0.1, 10_000, usual.crowdedFrom()),
                s.number("crowded_loss", 0, 1, usual.crowdedLoss()), s.number("crowded_floor", 0.001, 1, usual.crowdedFloor()),
                s.number("cold_from", 0.001, 1, usual.coldFrom()), s.duration("cold", NONE, HOUR, usual.cold()),
                s.duration("pause_every", NONE, HOUR, usual.pauseEvery()),
                s.duration("pause", NONE, MINUTE, usual.pause()), s.number("errors", 0, 1, usual.errors()),
                s.flag("drops_expired", usual.dropsExpired()));
        if (read.coldFrom() < rules.coldFrom()) {
            s.fault("cold_from", "less than rules.cold_from: nodes would be told wrong");
        }
        if (read.cold().compareTo(rules.cold()) > 0) {
            s.fault("cold", "longer than rules.cold: nodes would be told wrong");
        }
        return read;
    }

    private static Report report(TomlSection s) {
        Report usual = USUAL.servers().report();
        return new Report(s.duration("period", NONE, MINUTE, usual.period()),
                s.duration("delay", NONE, MINUTE, usual.delay()), s.number("noise", 0, 10, usual.noise()));
    }

    private static Connections connections(TomlSection s) {
        Connections usual = USUAL.servers().connections();
        return new Connections(s.duration("handshake", NONE, SECOND, usual.handshake()),
                s.integer("per_core", 1, 100_000, usual.perCore()), s.number("full_tax", 0, 0.99, usual.fullTax()),
                s.duration("idle", SECOND, HOUR, usual.idle()),
                s.duration("open_timeout", Duration.ofMillis(1), MINUTE, usual.openTimeout()));
    }

    private static Discovery discovery(TomlSection s) {
        Discovery usual = USUAL.discovery();
        return new Discovery(s.duration("notices", NONE, HOUR, usual.notices()),
                s.duration("delay", NONE, HOUR, usual.delay()), s.duration("spread", NONE, HOUR, usual.spread()));
    }

    private static Clients clients(TomlSection s, Duration length) {
        Clients usual = USUAL.clients();
        Clients read = new Clients(s.number("rate", 0.001, 1e6, usual.rate()), s.number("burst", 0, 1, usual.burst()),
                s.duration("burst_length", Duration.ofMillis(1), HOUR, usual.burstLength()),
                s.number("skew", 0, 1, usual.skew()), s.number("patience", 0.01, 1, usual.patience()),
                s.number("heeds", 0, 1, usual.heeds()), s.integer("connections", 1, 1_000_000, usual.connections()),
                s.number("ask_once", 0, 1, usual.askOnce()), s.duration("least_notice", NONE, HOUR, usual.leastNotice()),
                s.duration("most_notice", NONE, HOUR, usual.mostNotice()), s.number("keeps", 0, 1, usual.keeps()),
                s.flag("marks_retries", usual.marksRetries()));
        ordered(s, "least_notice", read.leastNotice(), "most_notice", read.mostNotice());
        if (read.rate() * length.toSeconds() > MOST_REQUESTS) {
            s.fault("rate", "the day would have over " + (long) MOST_REQUESTS + " requests");
        }
        return read;
    }

    private static void ordered(TomlSection s, String lessKey, Duration less, String moreKey, Duration more) {
        if (less.compareTo(more) > 0) {
            s.fault(s.has(lessKey) ? lessKey : moreKey, lessKey + " is more than " + moreKey);
        }
    }

    private static String name(TomlSection s) {
        s.require("name");
        String name = s.text("name", "");
        if (s.has("name") && !isName(name)) {
            s.fault("name", "must be a name of a-z, 0-9 and -");
        }
        return name;
    }

    private static boolean isName(String text) {
        return text.matches("[a-z0-9][a-z0-9-]{0,60}");
    }

    /** Tables that have names, and shares of a whole. */
    private static <T> List<T> named(TomlSection s, String key, List<T> usual, Function<T, String> name,
            Function<T, Double> share, Function<TomlSection, T> reader) {
        List<T> read = new ArrayList<>();
        Set<String> names = new TreeSet<>();
        for (TomlSection each : s.sections(key)) {
            T value = reader.apply(each);
            read.add(value);
            if (!names.add(name.apply(value))) {
                each.fault("name", "is there twice");
            }
        }
        if (read.size() > MOST_NAMED) {
            s.fault(key, "at most " + MOST_NAMED);
        }
        if (!read.isEmpty() && read.stream().mapToDouble(share::apply).sum() <= 0) {
            s.fault(key, "the shares make nothing");
        }
        return read.isEmpty() ? usual : read;
    }
}
