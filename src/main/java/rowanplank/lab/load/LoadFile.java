package rowanplank.lab.load;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;
import rowanplank.config.Addresses;
import rowanplank.config.ConfigException;
import rowanplank.config.TomlFile;
import rowanplank.config.TomlSection;
import rowanplank.lab.load.LoadPlan.LoadClass;

/** Reads a {@link LoadPlan} from TOML; docs/experiments.md has the keys. */
public final class LoadFile {
    private static final int MOST_NAMED = 100;
    private static final int MOST_THREADS = 16;
    private static final Duration NONE = Duration.ZERO;
    private static final Duration LEAST = Duration.ofMillis(1);
    private static final Duration SECOND = Duration.ofSeconds(1);
    private static final Duration HOUR = Duration.ofHours(1);
    private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9-]{0,60}");
    /** No blank and no control character: they would end the request's line. */
    private static final Pattern PATH = Pattern.compile("/[!-~]{0,2000}");
    private static final Pattern METHOD = Pattern.compile("[A-Z]{1,20}");

    private LoadFile() { }

    /**
     * @param name what faults call the file
     * @param usual what holds where the file says nothing
     * @throws ConfigException with one line for each fault, {@code file:line:column: key: what is wrong}
     */
    public static LoadPlan read(String name, String text, LoadPlan usual) {
        TomlFile file = TomlFile.parse(name, text);
        LoadPlan plan = read(file.root(), usual);
        file.finish();
        return plan;
    }

    private static LoadPlan read(TomlSection s, LoadPlan usual) {
        int connections = s.integer("connections", 1, LoadPlan.MOST_CONNECTIONS, usual.connections());
        LoadPlan plan = new LoadPlan(targets(s, usual), s.number("rate", 0.1, 1e6, usual.rate()),
                s.duration("length", SECOND, HOUR, usual.length()), s.duration("warm_up", NONE, HOUR, usual.warmUp()),
                s.integer("threads", 1, MOST_THREADS, usual.threads()),
                s.whole("seed", Long.MIN_VALUE, Long.MAX_VALUE, usual.seed()), connections,
                s.integer("ahead", 0, LoadPlan.MOST_CONNECTIONS, usual.ahead()),
                s.integer("opening", 1, 1000, usual.opening()), s.flag("oldest_first", usual.oldestFirst()),
                check(s, usual), s.duration("ready", LEAST, HOUR, usual.ready()), s.number("burst", 0, 1, usual.burst()),
                s.duration("burst_length", LEAST, HOUR, usual.burstLength()),
                s.number("patience", 0.01, 1, usual.patience()), s.number("heeds", 0, 1, usual.heeds()),
                s.number("keeps", 0, 1, usual.keeps()), s.number("ask_once", 0, 1, usual.askOnce()),
                s.duration("late", Duration.ofNanos(1000), HOUR, usual.late()), classes(s, usual));
        if (plan.ahead() > connections) {
            s.fault("ahead", "more than the connections that there may be, " + connections);
        }
        return plan;
    }

    private static List<InetSocketAddress> targets(TomlSection s, LoadPlan usual) {
        List<InetSocketAddress> targets = new ArrayList<>();
        List<String> texts = s.texts("targets", null);
        for (String text : texts == null ? List.<String>of() : texts) {
            try {
                targets.add(Addresses.parse(text));
            } catch (ConfigException e) {
                s.fault("targets", e.getMessage());
            }
        }
        if (texts != null && (texts.isEmpty() || texts.size() > MOST_NAMED)) {
            s.fault("targets", "must be 1 to " + MOST_NAMED + " addresses");
        }
        return texts == null ? usual.targets() : targets;
    }

    private static String check(TomlSection s, LoadPlan usual) {
        String path = s.text("check", usual.check());
        if (!path.isEmpty() && !PATH.matcher(path).matches()) {
            s.fault("check", "must be a path, or empty");
        }
        return path;
    }

    private static List<LoadClass> classes(TomlSection s, LoadPlan usual) {
        List<LoadClass> classes = new ArrayList<>();
        Set<String> names = new TreeSet<>();
        for (TomlSection each : s.sections("class")) {
            LoadClass read = one(each, LoadPlan.USUAL.classes().get(0));
            classes.add(read);
            if (!names.add(read.name())) {
                each.fault("name", "is there twice");
            }
        }
        if (classes.size() > MOST_NAMED) {
            s.fault("class", "at most " + MOST_NAMED);
        }
        if (!classes.isEmpty() && classes.stream().mapToDouble(LoadClass::share).sum() <= 0) {
            s.fault("class", "the shares make nothing");
        }
        return classes.isEmpty() ? usual.classes() : classes;
    }

    private static LoadClass one(TomlSection s, LoadClass usual) {
        LoadClass read = new LoadClass(s.text("name", usual.name()), s.number("share", 0, 1e6, usual.share()),
                s.text("method", usual.method()), s.text("path", usual.path()), s.text("body", usual.body()),
                s.duration("deadline", LEAST, HOUR, usual.deadline()));
        must(s, "name", NAME.matcher(read.name()).matches(), "must be a name of a-z, 0-9 and -");
        must(s, "method", METHOD.matcher(read.method()).matches(), "must be a method of A-Z");
        must(s, "path", PATH.matcher(read.path()).matches(), "must be a path without blanks");
        must(s, "body", read.body().length() <= 1 << 16 && read.body().chars().allMatch(c -> c < 128),
                "must be at most 64 KiB of ASCII");
        return read;
    }

    private static void must(TomlSection s, String key, boolean holds, String what) {
        if (!holds) {
            s.fault(key, what);
        }
    }
}
