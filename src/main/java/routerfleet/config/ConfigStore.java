package routerfleet.config;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The configuration shard's state machine: the current configuration, and the digests of the orders that made it, so that
 * an order sent again gets its first answer; and beside it the evacuated zones. Deterministic; the same entries give the
 * same state at every replica. A change that a leader has examined is applied as typed values, without JSON.
 *
 * <p>Bound: the last {@value #MOST_OUTCOMES} orders are remembered. An older one sent again is refused as a conflict.
 */
public class ConfigStore {
    static final int MOST_OUTCOMES = 4_096;
    /** A larger document goes into a snapshot without its typed form, to stay below what a snapshot may be. */
    private static final int MOST_TYPED_BYTES = 2 << 20;

    private ConfigDocument document = ConfigDocument.EMPTY;
    private FleetConfiguration configuration = new FleetConfiguration(0, null, null, null, null);
    private String lastDigest = "";
    private ConfigDelta lastDelta;
    private Evacuations evacuations = Evacuations.NONE;
    private final Map<String, Long> outcomes = new LinkedHashMap<>();
    /** For orders that come unexamined; made at the first of them. */
    private ConfigExaminer examiner;

    /**
     * The whole state, as it goes into a snapshot.
     *
     * @param configuration the document as typed values; null where it has to be read from the document
     */
    public record State(ConfigDocument document, FleetConfiguration configuration, String lastDigest,
            List<String> digests, List<Long> generations) { }

    /** The whole state, as builds before typed changes put it into a snapshot. */
    public record EarlierState(byte[] document, long generation, List<String> digests, List<Long> generations) { }

    /** The current configuration as JSON; not to be changed. */
    public byte[] document() {
        document = document.merged();
        return document.base();
    }

    /** A document of this store was merged elsewhere: kept, if it is still the current one. */
    public void merged(ConfigDocument of, byte[] bytes) {
        if (document == of) {
            document = new ConfigDocument(bytes, List.of());
        }
    }

    /** The current configuration as typed values. */
    public FleetConfiguration configuration() {
        return configuration;
    }

    /** What led from the generation before to the current one; null where that is not known. */
    public ConfigDelta lastDelta() {
        return lastDelta;
    }

    /** The current configuration's number; 0 before the first. */
    public long generation() {
        return configuration.generation();
    }

    /** What an order is to be examined against now. */
    public ConfigExaminer.Current current() {
        return new ConfigExaminer.Current(configuration, document, lastDigest);
    }

    /** What would be wrong with this as a first configuration; null where it could be taken. */
    public static ConfigFault check(byte[] document) {
        ConfigOrder order = new ConfigOrder(ConfigOrder.Kind.REPLACE, 0, document);
        return new ConfigExaminer().examine(order, new ConfigStore().current()).fold(fault -> fault, change -> null);
    }

    /** The generation that this very order has made; null where it has not been taken. */
    public Long outcome(ConfigOrder order) {
        return takenBefore(order.digest());
    }

    /** Why the order can't be taken on top of the current configuration, whatever it says; null where it can. */
    public ConfigFault conflict(ConfigOrder order) {
        return buildsOnCurrent(order) ? null
                : new ConfigFault(ConfigFault.Kind.CONFLICT, "", "version " + generation() + " is current");
    }

    /** What {@link #apply(ConfigOrder)} would change now. */
    public Either<ConfigFault, ConfigChange> examine(ConfigOrder order) {
        ConfigFault conflict = conflict(order);
        if (conflict != null) {
            return Either.left(conflict);
        }
        if (examiner == null) {
            examiner = new ConfigExaminer();
        }
        return examiner.examine(order, current());
    }

    /** Takes an order that nobody has examined, or leaves everything as it is. @return as for a change */
    public Either<ConfigFault, Long> apply(ConfigOrder order) {
        Long before = takenBefore(order.digest());
        return before != null ? Either.right(before) : examine(order).flatMap(this::apply);
    }

    /**
     * Takes an examined change, or leaves everything as it is where the configuration has changed since.
     *
     * @return the generation that it made, or why it is not taken
     */
    public Either<ConfigFault, Long> apply(ConfigChange change) {
        Long before = takenBefore(change.digest());
        if (before != null) {
            return Either.right(before);
        }
        ConfigFault conflict = conflict(change.order());
        if (conflict != null) {
            return Either.left(conflict);
        }
        configuration = change.delta().applyTo(configuration);
        lastDelta = change.delta();
        document = document.with(change.order());
        lastDigest = change.digest();
        remember(change.digest());
        return Either.right(generation());
    }

    /** The generation that an order of this digest has made; null where there was none. */
    protected Long takenBefore(String digest) {
        return outcomes.get(digest);
    }

    /** Whether an order builds on the current configuration. */
    protected boolean buildsOnCurrent(ConfigOrder order) {
        return order.base() == generation();
    }

    private void remember(String digest) {
        outcomes.put(digest, generation());
        if (outcomes.size() > MOST_OUTCOMES) {
            outcomes.remove(outcomes.keySet().iterator().next());
        }
    }

    /** The evacuated zones. */
    public Evacuations evacuations() {
        return evacuations;
    }

    /** Takes an order, or leaves everything as it is where it builds on another state. @return whether it was taken */
    public boolean apply(EvacuationOrder order) {
        if (!evacuations.takes(order)) {
            return false;
        }
        evacuations = evacuations.after(order);
        return true;
    }

    /** The whole state for a snapshot: without any evacuation so far, as builds before them write it. */
    public Object snapshot() {
        return evacuations.revision() == 0 ? state() : new ShardState(state(), evacuations);
    }

    /** The configuration's part of the state. */
    public State state() {
        boolean typed = document.heldBytes() <= MOST_TYPED_BYTES;
        return new State(document, typed ? configuration : null, lastDigest, new ArrayList<>(outcomes.keySet()),
                new ArrayList<>(outcomes.values()));
    }

    /** Puts a snapshot's state, of this build or an earlier one, in place of the current one. */
    public void restoreDecoded(Object state) {
        evacuations = state instanceof ShardState shard ? shard.evacuations() : Evacuations.NONE;
        if (state instanceof EarlierState earlier) {
            restore(earlier);
        } else {
            restore(state instanceof ShardState shard ? shard.configuration() : (State) state);
        }
    }

    /** Takes an entry of the log: a change that a leader has examined, or an order as it was sent. */
    public Either<ConfigFault, Long> applyDecoded(Object entry) {
        return entry instanceof ConfigChange change ? apply(change) : apply((ConfigOrder) entry);
    }

    /** Puts a snapshot's configuration in place of the current one. */
    public void restore(State state) {
        document = state.document();
        configuration = state.configuration() != null ? state.configuration() : read(document.bytes());
        lastDigest = state.lastDigest();
        lastDelta = null;
        restoreOutcomes(state.digests(), state.generations());
    }

    /** Puts the state of an earlier build's snapshot in place of the current one. */
    public void restore(EarlierState state) {
        document = new ConfigDocument(state.document(), List.of());
        configuration = read(state.document());
        lastDigest = "";
        lastDelta = null;
        restoreOutcomes(state.digests(), state.generations());
    }

    private static FleetConfiguration read(byte[] document) {
        return ConfigJson.read(document).getOrElseThrow(
                fault -> new IllegalStateException("a configuration that was taken can't be read: " + fault));
    }

    private void restoreOutcomes(List<String> digests, List<Long> generations) {
        outcomes.clear();
        for (int i = 0; i < digests.size(); i++) {
            outcomes.put(digests.get(i), generations.get(i));
        }
    }
}
