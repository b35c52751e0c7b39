package rowanplank.peer.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import rowanplank.peer.http.IdleConnections.Kept;

class IdleConnectionsTest {
    private static final int PEERS = 4;

    /** Beside one list in the order of coming to rest, of which all is looked at. */
    @Property(seed = "41", tries = 200)
    void theNewestOfAPeerAndTheOldestOfAllAreThoseOfAPlainList(
            @ForAll @Size(min = 20, max = 200) List<@IntRange(max = 9999) Integer> history) {
        IdleConnections<Integer> idle = new IdleConnections<>();
        List<Integer> plain = new ArrayList<>();
        Map<Integer, Kept<Integer>> all = new HashMap<>();
        for (int i = 0; i < history.size(); i++) {
            int step = history.get(i);
            int connection = PEERS * i + step % PEERS;
            int tenAgo = i - 10;
            Instant now = Instant.ofEpochMilli(i);
            switch (step / PEERS % 6) {
                case 0, 1, 2 -> {
                    all.put(connection, idle.keep(connection, step % PEERS, now));
                    plain.add(connection);
                }
                case 3 -> check(plain, plain.stream().filter(c -> c % PEERS == step % PEERS)
                        .filter(c -> step % 3 == 0 || c / PEERS <= tenAgo).reduce((a, b) -> b).orElse(null),
                        step % 3 == 0 ? idle.takeNewest(step % PEERS) : idle.takeNewest(step % PEERS, now.minusMillis(10)));
                case 4 -> check(plain, plain.stream().findFirst()
                        .filter(c -> step % 3 == 0 || c / PEERS <= tenAgo).orElse(null),
                        step % 3 == 0 ? idle.takeOldest() : idle.takeOldest(now.minusMillis(10)));
                default -> { // closed by its peer, and some a second time
                    Kept<Integer> kept = all.getOrDefault(PEERS * (i / 2) + step % PEERS, null);
                    if (kept != null) {
                        idle.remove(kept);
                        plain.remove(kept.connection());
                    }
                }
            }
            assertEquals(plain.size(), idle.size());
        }
    }

    private static void check(List<Integer> plain, Integer expected, Kept<Integer> taken) {
        assertEquals(expected, taken == null ? null : taken.connection());
        plain.remove(expected);
    }
}
