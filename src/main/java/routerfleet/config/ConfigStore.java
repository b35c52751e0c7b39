package routerfleet.config;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The configuration shard's state machine: the current configuration, and the digests of the orders that made it, so that
 * an order sent again gets its first answer. Deterministic; the same orders give the same state at every replica.
 *
 * <p>Bound: the last {@value #MOST_OUTCOMES} orders are remembered. An older one sent again is refused as a conflict.
 */
public class ConfigStore {
    static final int MOST_OUTCOMES = 4_096;
    private static final byte[] EMPTY = "{\"generation\":0}".getBytes(java.nio.charset.StandardCharsets.UTF_8);

    private final ConfigRules rules = new ConfigRules();
    private byte[] document = EMPTY;
    private FleetConfiguration configuration = new FleetConfiguration(0, null, null, null, null);
    private long generation;
    private final Map<String, Long> outcomes = new LinkedHashMap<>();

    /** A configuration that may be taken, in both forms. */
    private record Accepted(ObjectNode tree, FleetConfiguration configuration) { }

    /** The whole state, as it goes into a snapshot. */
    public record State(byte[] document, long generation, List<String> digests, List<Long> generations) { }

    /** The current configuration as JSON; not to be changed. */
    public byte[] document() {
        return document;
    }

    /** The current configuration as typed values. */
    public FleetConfiguration configuration() {
        return configuration;
    }

    /** The current configuration's number; 0 before the first. */
    public long generation() {
        return generation;
    }

    /** What would be wrong with this as a first configuration; null where it could be taken. */
    public static ConfigFault check(byte[] document) {
        ConfigStore empty = new ConfigStore();
        return empty.examine(new ConfigOrder(ConfigOrder.Kind.REPLACE, 0, document)).fold(fault -> fault, taken -> null);
    }

    /** Whether this very order has been taken before. */
    public boolean hasTaken(ConfigOrder order) {
        return takenBefore(order.digest()) != null;
    }

    /**
     * What {@link #apply} would answer now, without any change; and whether what comes of it can be kept, which is asked
     * before an order is decided and never after.
     */
    public Either<ConfigFault, Long> examine(ConfigOrder order) {
        Long before = takenBefore(order.digest());
        if (before != null) {
            return Either.right(before);
        }
        return result(order).flatMap(accepted -> {
            int bytes = Math.max(order.body().length, ConfigJson.bytes(accepted.tree()).length);
            return bytes > ConfigOrder.MOST_BODY_BYTES ? Either.left(ConfigFault.tooLarge(bytes))
                    : Either.right(accepted.configuration().generation());
        });
    }

    /** Takes the order, or leaves everything as it is. @return the generation that it made, or why it is not taken */
    public Either<ConfigFault, Long> apply(ConfigOrder order) {
        String digest = order.digest();
        Long before = takenBefore(digest);
        if (before != null) {
            return Either.right(before);
        }
        return result(order).map(accepted -> {
            document = ConfigJson.bytes(accepted.tree());
            configuration = accepted.configuration();
            generation = configuration.generation();
            remember(digest);
            return generation;
        });
    }

    /** The generation that an order of this digest has made; null where there was none. */
    protected Long takenBefore(String digest) {
        return outcomes.get(digest);
    }

    /** Whether an order builds on the current configuration. */
    protected boolean buildsOnCurrent(ConfigOrder order) {
        return order.base() == generation;
    }

    private void remember(String digest) {
        outcomes.put(digest, generation);
        if (outcomes.size() > MOST_OUTCOMES) {
            outcomes.remove(outcomes.keySet().iterator().next());
        }
    }

    private Either<ConfigFault, Accepted> result(ConfigOrder order) {
        if (!buildsOnCurrent(order)) {
            return Either.left(new ConfigFault(ConfigFault.Kind.CONFLICT, "", "version " + generation + " is current"));
        }
        return ConfigJson.tree(order.body())
                .flatMap(sent -> order.kind() == ConfigOrder.Kind.REPLACE ? Either.right(sent)
                        : ConfigJson.tree(document).flatMap(current -> ConfigJson.patched(current, sent)))
                .flatMap(this::valid);
    }

    private Either<ConfigFault, Accepted> valid(ObjectNode tree) {
        if (tree.get("generation").asLong() <= generation) {
            return Either.left(ConfigFault.invalid("generation", "is not higher than " + generation));
        }
        return ConfigJson.typed(tree).flatMap(rules::check).map(checked -> new Accepted(tree, checked));
    }

    /** The state for a snapshot. */
    public State state() {
        return new State(document, generation, new ArrayList<>(outcomes.keySet()), new ArrayList<>(outcomes.values()));
    }

    /** Puts a snapshot's state in place of the current one. */
    public void restore(State state) {
        document = state.document();
        configuration = ConfigJson.read(document).getOrElseThrow(
                fault -> new IllegalStateException("a configuration that was taken can't be read: " + fault));
        generation = state.generation();
        outcomes.clear();
        for (int i = 0; i < state.digests().size(); i++) {
            outcomes.put(state.digests().get(i), state.generations().get(i));
        }
    }
}
