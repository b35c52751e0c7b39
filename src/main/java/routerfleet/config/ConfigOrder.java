package routerfleet.config;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * An operator's order to change the configuration.
 *
 * @param kind whole configuration or named items
 * @param base the generation that it builds on
 * @param body JSON as it was sent; not to be changed
 */
public record ConfigOrder(Kind kind, long base, byte[] body) {
    /**
     * The longest body that is taken, and the longest configuration that an order may lead to. With the digests of orders
     * behind it, a snapshot of the shard stays below what every replica takes.
     */
    public static final int MOST_BODY_BYTES = 4 << 20;

    /** What an order brings. */
    public enum Kind { REPLACE, PATCH }

    /** Names the order by its content, so that the same one sent again is recognised. */
    public String digest() {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            sha.update((kind + " " + base + "\n").getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(sha.digest(body), 0, 16);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
