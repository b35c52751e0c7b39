package routerfleet.config;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * A configuration as JSON, with all its fields: a document, and the changes that were made to it since. They are merged
 * only where the whole document is asked for, so that a replica need not read JSON to keep up.
 *
 * @param base a whole configuration; not to be changed
 * @param later patches that were taken on top of it, in order
 */
public record ConfigDocument(byte[] base, List<ConfigOrder> later) {
    /** What is kept unmerged at the most: behind that, merging costs less than keeping. */
    static final int MOST_LATER = 128;
    static final int MOST_LATER_BYTES = 256 << 10;

    static final ConfigDocument EMPTY = new ConfigDocument("{\"generation\":0}".getBytes(StandardCharsets.UTF_8),
            List.of());

    /** This document with one more order taken, which is known to fit. */
    ConfigDocument with(ConfigOrder order) {
        if (order.kind() == ConfigOrder.Kind.REPLACE) {
            return new ConfigDocument(order.body(), List.of());
        }
        List<ConfigOrder> longer = new java.util.ArrayList<>(later.size() + 1);
        longer.addAll(later);
        longer.add(order);
        ConfigDocument changed = new ConfigDocument(base, longer);
        return longer.size() > MOST_LATER || changed.laterBytes() > MOST_LATER_BYTES ? changed.merged() : changed;
    }

    private long laterBytes() {
        return later.stream().mapToLong(order -> order.body().length).sum();
    }

    /** How many bytes it takes as it is held. */
    long heldBytes() {
        return base.length + laterBytes();
    }

    /** Whether {@link #base} is all of it. */
    public boolean isMerged() {
        return later.isEmpty();
    }

    /** The same configuration without separate changes. */
    ConfigDocument merged() {
        return later.isEmpty() ? this : new ConfigDocument(ConfigJson.bytes(tree()), List.of());
    }

    /** The whole configuration as JSON; not to be changed. */
    public byte[] bytes() {
        return later.isEmpty() ? base : ConfigJson.bytes(tree());
    }

    /** The whole configuration as a tree, its own copy. */
    ObjectNode tree() {
        Either<ConfigFault, ObjectNode> tree = ConfigJson.tree(base);
        for (ConfigOrder order : later) {
            tree = tree.flatMap(current -> ConfigJson.tree(order.body())
                    .flatMap(patch -> ConfigJson.patched(current, patch)));
        }
        return tree.getOrElseThrow(
                fault -> new IllegalStateException("a configuration that was taken can't be read: " + fault));
    }
}
