package rowanplank.architecture;

import static com.tngtech.archunit.base.DescribedPredicate.describe;
import static com.tngtech.archunit.base.DescribedPredicate.not;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.assignableTo;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.lang.conditions.ArchConditions.accessTargetWhere;
import static com.tngtech.archunit.lang.conditions.ArchConditions.dependOnClassesThat;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.fields;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.AccessTarget;
import com.tngtech.archunit.core.domain.Dependency;
import com.tngtech.archunit.core.domain.JavaAccess;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaField;
import com.tngtech.archunit.core.domain.JavaFieldAccess;
import com.tngtech.archunit.core.domain.JavaModifier;
import com.tngtech.archunit.lang.ArchCondition;
import com.tngtech.archunit.lang.ArchRule;
import com.tngtech.archunit.lang.CompositeArchRule;
import com.tngtech.archunit.lang.ConditionEvents;
import com.tngtech.archunit.lang.SimpleConditionEvent;
import java.util.Arrays;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * The rules of docs/architecture.md, for the packages under a root: those of the program, or those of a fixture in
 * which each is broken. A package of a name that is not among the floors' breaks the first of them, so that a new one
 * is given its place before it is used.
 */
final class Rules {
    /** From the ground: a package uses those of lower floors, and on its own one only what {@link #SIDEWAYS} lists. */
    private static final List<List<String>> FLOORS = List.of(
            List.of("net", "metrics"),
            List.of("http"),
            List.of("balancer", "neural", "lifecycle", "route", "subset", "agreement", "ledger", "membership"),
            List.of("config", "exchange", "decision"),
            List.of("discovery", "fleet", "intake.admin", "intake.http", "peer.http", "simhost"),
            List.of("node", "lab"),
            List.of("cli", ""));

    private static final List<String> SIDEWAYS = List.of(
            "metrics > net", // the log's bound is so many lines a second, by the node's clock
            "balancer > neural",
            "balancer > route",
            "balancer > subset",
            "decision > exchange", "decision > config",
            "peer.http > discovery", // the upstream group, which says where a peer is and whether it takes anything new
            "lab > node",
            " > cli");

    /** Types whose objects never change, beside primitives, enums, records and times. */
    private static final List<String> VALUES = List.of("java.lang.String", "java.util.regex.Pattern",
            "java.util.Comparator", "java.net.InetSocketAddress", "net.openhft.hashing.LongHashFunction",
            "org.tomlj.TomlPosition");

    private static final Pattern CHANGES =
            Pattern.compile("(add|put|remove|clear|set|retain|replace|compute|merge|poll|pop|push|offer|sort).*");

    private static final String[] CHOOSING = {"balancer", "neural", "lifecycle", "route", "subset", "agreement", "ledger", "membership"};
    private static final String[] CODECS = {"http"};

    private final String root;

    Rules(String root) {
        this.root = root;
    }

    /** By their names. */
    Map<String, ArchRule> all() {
        Map<String, ArchRule> rules = new LinkedHashMap<>();
        rules.put("floors", classes().should(useOnlyWhatLiesBelow()));
        rules.put("cycles", slices().matching(root + ".(**)").should().beFreeOfCycles());
        rules.put("laboratory", noClasses().that(not(in("lab", "cli"))).should(dependOnClassesThat(in("lab"))));
        rules.put("two sides", CompositeArchRule
                .of(noClasses().that(in("intake")).should(dependOnClassesThat(in("peer"))))
                .and(noClasses().that(in("peer")).should(dependOnClassesThat(in("intake")))));
        rules.put("choosing", classes().that(in(CHOOSING)).should().onlyDependOnClassesThat(in(CHOOSING)
                .or(resideInAnyPackage("java.lang", "java.time", "java.util", "java.util.function", "java.util.stream"))));
        rules.put("judge", classes().that(in("lab.trial.judge")).should().onlyDependOnClassesThat(in("lab.trial.judge")
                .or(resideInAnyPackage("java.lang", "java.util", "java.util.function", "java.util.stream"))));
        rules.put("codecs", classes().that(in(CODECS)).should().onlyDependOnClassesThat(in(CODECS)
                .or(resideInAnyPackage("java.lang", "java.io", "java.math", "java.nio", "java.time", "java.util",
                        "java.util.function", "java.util.regex", "java.util.stream",
                        "org.eclipse.jetty.http", "org.eclipse.jetty.util"))));
        rules.put("core", noClasses().that(in("exchange", "decision", "config"))
                .should(dependOnClassesThat(resideInAnyPackage("org.eclipse.jetty.."))));
        rules.put("sockets", noClasses().that(not(in("net"))).should(dependOnClassesThat(sockets())));
        // The laboratory reads days and writes traces; cli reads what its arguments name, and writes results.
        rules.put("files", noClasses().that(not(in("net", "lab", "cli"))).should(dependOnClassesThat(files())));
        // cli starts and ends the process; lab.hunt plays several days at once, each of them on one thread; lab.load
        // and lab.live have real loops, one thread each, and hand over what they count at the end; lab.trial reads a pipe.
        rules.put("threads",
                noClasses().that(not(in("net", "cli", "lab.hunt", "lab.load", "lab.live", "lab.trial"))).should(dependOnClassesThat(threads())));
        rules.put("time", noClasses().that(not(in("net"))).should(accessTargetWhere(asksForTheTime())));
        rules.put("chance", noClasses().should(accessTargetWhere(drawsFromNoSeed())));
        rules.put("order", noClasses().should(accessTargetWhere(ordersByHash())));
        rules.put("statics", fields().that().areStatic().should(neverChange()));
        // cli chooses the real machine for a node; the laboratory may do so for a site that is played beside one.
        rules.put("seam", noClasses().that(not(in("net", "cli", "lab")))
                .should(dependOnClassesThat(oneOf("the machine", name("net.SelectorLoop"), name("net.SystemClock")))
                        .or(accessTargetWhere(access("the machine's files are taken",
                                t -> is(t, name("net.FileAccess"), "SYSTEM"))))));
        return rules;
    }

    private String name(String within) {
        return root + "." + within;
    }

    private DescribedPredicate<JavaClass> in(String... packages) {
        return resideInAnyPackage(Stream.of(packages).map(p -> name(p) + "..").toArray(String[]::new));
    }

    // ---- floors

    private ArchCondition<JavaClass> useOnlyWhatLiesBelow() {
        return new ArchCondition<>("use only what lies below") {
            @Override
            public void check(JavaClass c, ConditionEvents events) {
                for (Dependency d : c.getDirectDependenciesFromSelf()) {
                    String to = place(d.getTargetClass());
                    if (to != null && !mayUse(place(c), to)) {
                        events.add(SimpleConditionEvent.violated(c, d.getDescription()));
                    }
                }
                if (floor(place(c)) < 0) {
                    events.add(SimpleConditionEvent.violated(c,
                            c.getName() + " has no floor in " + c.getSourceCodeLocation()));
                }
            }
        };
    }

    private static boolean mayUse(String from, String to) {
        return from.equals(to) || floor(from) > floor(to) || SIDEWAYS.contains(from + " > " + to);
    }

    /** The name on the floors under which a class stands, its own package's name if there is none, null outside. */
    private String place(JavaClass c) {
        String own = c.getPackageName();
        if (!own.equals(root) && !own.startsWith(root + ".")) {
            return null;
        }
        String within = own.equals(root) ? "" : own.substring(root.length() + 1);
        return FLOORS.stream().flatMap(List::stream).filter(p -> within.equals(p) || within.startsWith(p + "."))
                .findFirst().orElse(within);
    }

    private static int floor(String place) {
        return FLOORS.indexOf(FLOORS.stream().filter(f -> f.contains(place)).findFirst().orElse(List.of()));
    }

    // ---- what only net may touch

    private static DescribedPredicate<JavaClass> oneOf(String description, String... names) {
        return describe(description, c -> Arrays.asList(names).contains(c.getName()));
    }

    /** Errors have no hands: a simulated connection ends by the same ones. */
    private static DescribedPredicate<JavaClass> sockets() {
        return resideInAnyPackage("java.nio.channels..", "java.net.http..", "javax.net..")
                .or(oneOf("sockets", "java.net.Socket", "java.net.ServerSocket", "java.net.DatagramSocket",
                        "java.net.MulticastSocket", "java.net.URL", "java.net.URLConnection",
                        "org.eclipse.jetty.io.SelectorManager", "org.eclipse.jetty.io.ManagedSelector",
                        "org.eclipse.jetty.io.SocketChannelEndPoint", "org.eclipse.jetty.io.ClientConnector"))
                .and(not(assignableTo(Throwable.class)));
    }

    private static DescribedPredicate<JavaClass> files() {
        return resideInAnyPackage("java.nio.file..")
                .or(oneOf("files", "java.io.File", "java.io.FileInputStream", "java.io.FileOutputStream",
                        "java.io.FileReader", "java.io.FileWriter", "java.io.RandomAccessFile"))
                .and(not(assignableTo(Throwable.class)));
    }

    /** Jetty's end points ask for a Scheduler, and net's loop is an Executor: both are interfaces to one thread. */
    private static DescribedPredicate<JavaClass> threads() {
        return resideInAnyPackage("java.util.concurrent..", "org.eclipse.jetty.util.thread..")
                .and(not(oneOf("of one thread", Executor.class.getName(), TimeUnit.class.getName(),
                        "org.eclipse.jetty.util.thread.Scheduler", "org.eclipse.jetty.util.thread.Scheduler$Task",
                        "org.eclipse.jetty.util.thread.Invocable",
                        "org.eclipse.jetty.util.thread.Invocable$InvocationType")))
                .or(oneOf("threads", "java.lang.Thread", "java.lang.ThreadGroup", "java.lang.ThreadLocal",
                        "java.lang.InheritableThreadLocal", "java.util.Timer", "java.util.TimerTask"));
    }

    // ---- calls, and references to methods

    private static DescribedPredicate<JavaAccess<?>> access(String description, Predicate<AccessTarget> which) {
        return describe(description, a -> which.test(a.getTarget()));
    }

    private static boolean is(AccessTarget target, String owner, String... names) {
        return target.getOwner().getName().equals(owner) && List.of(names).contains(target.getName());
    }

    private static DescribedPredicate<JavaAccess<?>> asksForTheTime() {
        return access("the system is asked for the time",
                t -> is(t, "java.lang.System", "nanoTime", "currentTimeMillis")
                || t.getOwner().getPackageName().equals("java.time") && t.getName().equals("now")
                || t.getOwner().getName().equals("java.time.Clock")
                || is(t, "java.util.Date", "<init>") || is(t, "java.util.Calendar", "getInstance")
                || t.getOwner().getName().equals("org.eclipse.jetty.util.NanoTime"));
    }

    private static DescribedPredicate<JavaAccess<?>> drawsFromNoSeed() {
        return access("chance has no seed", t -> is(t, "java.lang.Math", "random")
                || is(t, "java.util.UUID", "randomUUID")
                || t.getOwner().getName().equals("java.util.concurrent.ThreadLocalRandom")
                || t.getOwner().getName().equals("java.security.SecureRandom")
                || is(t, "java.util.Random", "<init>") && hasNoArguments(t)
                || is(t, "java.util.SplittableRandom", "<init>") && hasNoArguments(t)
                || is(t, "org.apache.commons.rng.simple.RandomSource", "create") && hasNoArguments(t));
    }

    private static boolean hasNoArguments(AccessTarget target) {
        return target instanceof AccessTarget.CodeUnitAccessTarget c && c.getRawParameterTypes().isEmpty();
    }

    /** Set.of and Map.of have another order in each process; a hash table's order moves with its size. */
    private static DescribedPredicate<JavaAccess<?>> ordersByHash() {
        return access("order comes from hashing, identity or threads", t -> t.getName().equals("<init>")
                && Stream.of("HashMap", "HashSet", "IdentityHashMap", "WeakHashMap", "Hashtable",
                        "concurrent.ConcurrentHashMap").anyMatch(n -> t.getOwner().getName().equals("java.util." + n))
                || is(t, "java.util.Set", "of", "copyOf") || is(t, "java.util.Map", "of", "copyOf", "ofEntries")
                || is(t, "java.util.stream.Collectors", "toSet", "toUnmodifiableSet", "toMap", "toUnmodifiableMap",
                        "groupingBy", "partitioningBy")
                || is(t, "java.lang.System", "identityHashCode") || is(t, "java.lang.Object", "hashCode")
                || t.getName().equals("parallelStream") || t.getName().equals("parallel"));
    }

    // ---- statics

    private ArchCondition<JavaField> neverChange() {
        return new ArchCondition<>("never change") {
            @Override
            public void check(JavaField field, ConditionEvents events) {
                boolean constant = field.getModifiers().contains(JavaModifier.FINAL) && isValue(field);
                if (!constant && !field.getModifiers().contains(JavaModifier.SYNTHETIC)) {
                    events.add(SimpleConditionEvent.violated(field, field.getFullName() + " may change in "
                            + field.getOwner().getSourceCodeLocation()));
                }
            }
        };
    }

    private boolean isValue(JavaField field) {
        JavaClass type = field.getRawType();
        return type.isPrimitive() || type.isEnum() || type.isRecord() || VALUES.contains(type.getName())
                || type.getPackageName().equals("java.time")
                || type.isInterface() && place(type) != null
                || type.isArray() && field.getModifiers().contains(JavaModifier.PRIVATE)
                || isTable(type) && (!buildsTables(field.getOwner())
                        || field.getAccessesToSelf().stream().noneMatch(Rules::maySpoil));
    }

    private static boolean isTable(JavaClass type) {
        return type.isAssignableTo(Collection.class) || type.isAssignableTo(Map.class);
    }

    /** What comes from a factory, as List.of or a stream's toList, can't be changed but for the EnumSet's. */
    private static boolean buildsTables(JavaClass c) {
        return c.getStaticInitializer().stream().flatMap(i -> i.getConstructorCallsFromSelf().stream())
                .anyMatch(call -> isTable(call.getTargetOwner()));
    }

    /** Whoever takes a table and changes some table may change this one; but its class may fill it, at the start. */
    private static boolean maySpoil(JavaFieldAccess access) {
        return !access.getOrigin().getName().equals("<clinit>") && access.getOrigin().getCallsFromSelf().stream()
                .anyMatch(c -> isTable(c.getTargetOwner()) && CHANGES.matcher(c.getName()).matches());
    }
}
