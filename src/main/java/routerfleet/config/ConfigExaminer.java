package routerfleet.config;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Reads and checks orders against the current configuration, before a leader proposes them. All JSON and all rules are
 * here; what comes of it is typed. For one thread at a time, which may be another than that of the state: it is given
 * values that do not change.
 */
public final class ConfigExaminer {
    /** Below this the whole document surely stays within what can be kept, however its numbers are written. */
    private static final int SURELY_SMALL_BYTES = ConfigOrder.MOST_BODY_BYTES / 4;
    /** The tree of a larger document takes too much of a control node's memory to be kept between orders. */
    private static final int MOST_KEPT_BYTES = 1 << 20;
    private static final byte[] SAMPLE = """
            {"generation":1,"routes":[{"name":"r","host":"h","path_prefix":"/p/","type":"safe","timeout_ms":1,
            "traffic_split":[{"backend":"b","weight":1}]}],"backends":[{"name":"b","runtime":{"capacity":1}}],
            "limits":{"max_body_bytes":1},"tenants":[{"name":"t","api_keys":["k"],"unit":"token_count"}]}"""
            .getBytes(StandardCharsets.UTF_8);

    /** Made at the first order that is not plain: it takes a good part of a second of a small machine's processor. */
    private ConfigRules rules;
    /** The last document that was found good, for the next order, which most often builds on it. */
    private ObjectNode lastTree;
    private String lastDigest = "";

    /**
     * What an order is examined against.
     *
     * @param lastDigest names the order that made it; empty where that is not known
     */
    public record Current(FleetConfiguration configuration, ConfigDocument document, String lastDigest) { }

    /**
     * Loads what orders need that are not plain, in steps that each take a fraction of the whole. The first order of
     * that kind would have to wait for all of it.
     */
    public List<Runnable> warmUpSteps() {
        ConfigOrder sample = new ConfigOrder(ConfigOrder.Kind.REPLACE, 0, SAMPLE);
        return List.of(
                () -> ConfigJson.tree(SAMPLE),
                () -> ConfigJson.read(SAMPLE),
                this::rules,
                () -> examineAny(sample, new ConfigStore().current()));
    }

    /** What the order changes, or why it can't be taken. That it builds on the current version is taken for granted. */
    public Either<ConfigFault, ConfigChange> examine(ConfigOrder order, Current current) {
        FleetConfiguration plain = plain(order, current);
        if (plain == null) {
            return examineAny(order, current);
        }
        lastTree = null;
        return Either.right(new ConfigChange(order, order.digest(), ConfigDelta.between(current.configuration(), plain)));
    }

    /** The configuration that a plain and valid order makes; null if the order is not plain, not valid or large. */
    private static FleetConfiguration plain(ConfigOrder order, Current current) {
        if (!isSurelySmall(order, current)) {
            return null;
        }
        FleetConfiguration read = PlainConfigReader.read(order, current.configuration());
        boolean isValid = read != null && read.generation() > current.configuration().generation()
                && ItemRules.check(read) == null;
        return isValid ? read : null;
    }

    private static boolean isSurelySmall(ConfigOrder order, Current current) {
        return current.document().heldBytes() + order.body().length <= SURELY_SMALL_BYTES;
    }

    /** Examines an order with the mapping and validation libraries. */
    Either<ConfigFault, ConfigChange> examineAny(ConfigOrder order, Current current) {
        return tree(order, current).flatMap(tree -> typed(order, current, tree)
                .flatMap(configuration -> sized(order, current, tree)
                        .map(fitting -> accepted(order, current, tree, configuration))));
    }

    private ConfigChange accepted(ConfigOrder order, Current current, ObjectNode tree, FleetConfiguration configuration) {
        boolean isSmall = current.document().heldBytes() + order.body().length <= MOST_KEPT_BYTES;
        lastTree = isSmall ? tree : null;
        lastDigest = order.digest();
        return new ConfigChange(order, lastDigest, ConfigDelta.between(current.configuration(), configuration));
    }

    private Either<ConfigFault, ObjectNode> tree(ConfigOrder order, Current current) {
        Either<ConfigFault, ObjectNode> sent = ConfigJson.tree(order.body());
        return order.kind() == ConfigOrder.Kind.REPLACE ? sent
                : sent.flatMap(patch -> ConfigJson.patched(currentTree(current), patch));
    }

    private ObjectNode currentTree(Current current) {
        boolean isLast = lastTree != null && !lastDigest.isEmpty() && lastDigest.equals(current.lastDigest());
        return isLast ? lastTree : current.document().tree();
    }

    private Either<ConfigFault, FleetConfiguration> typed(ConfigOrder order, Current current, ObjectNode tree) {
        long generation = current.configuration().generation();
        if (tree.get("generation").asLong() <= generation) {
            return Either.left(ConfigFault.invalid("generation", "is not higher than " + generation));
        }
        return ConfigJson.typed(tree).flatMap(configuration -> rules().check(configuration, current.configuration()));
    }

    private ConfigRules rules() {
        if (rules == null) {
            rules = new ConfigRules();
        }
        return rules;
    }

    /** Whether what comes of the order can be kept. */
    private static Either<ConfigFault, Boolean> sized(ConfigOrder order, Current current, ObjectNode tree) {
        long sent = order.body().length;
        if (isSurelySmall(order, current)) {
            return Either.right(true);
        }
        long bytes = Math.max(sent, ConfigJson.bytes(tree).length);
        return bytes > ConfigOrder.MOST_BODY_BYTES ? Either.left(ConfigFault.tooLarge(bytes)) : Either.right(true);
    }
}
