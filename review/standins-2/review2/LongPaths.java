package review2;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * DENIED: requests on a route that stands all the while, with a valid key, whose path has many segments behind the route's
 * prefix. Without the disruption the paths have few.
 */
final class LongPaths extends Case {
    private static final int REQUESTS = 60;
    private static final int MANY_SEGMENTS = 40;
    private static final int FEW_SEGMENTS = 4;

    private LongPaths(Path recordFile) {
        super(recordFile);
    }

    public static void main(String[] args) {
        new LongPaths(Path.of(args[0])).main();
    }

    @Override
    int play() throws Exception {
        try (Fleet fleet = new Fleet(record, 3, 2)) {
            List<ModelServer> servers = new ArrayList<>();
            for (int i = 1; i <= 2; i++) {
                servers.add(new ModelServer(record, fleet, "i-" + i, "wuno96b", i, "ragusa-a", 32, 20));
            }
            if (!startFleet(fleet, configuration(1, List.of(route("r-page", "/pule252/", "unsafe", 6_000)),
                    List.of(tenant("kaje80", KEY))))) {
                return NOT_RUN;
            }
            Map<Integer, Integer> counts = new TreeMap<>();
            String path = "/pule252" + "/2f".repeat(trouble ? MANY_SEGMENTS : FEW_SEGMENTS);
            for (int i = 0; i < REQUESTS; i++) {
                Fleet.Node node = fleet.data.get(i % fleet.data.size());
                String id = newId();
                try {
                    int status = Http.call(node.ip, fleet.frontendPort, "POST", path, headers(id, KEY, 6_000), new byte[600],
                            7_000).status();
                    counts.merge(status, 1, Integer::sum);
                    record.add(node.name + " answers " + id + ", " + path + ", with " + status);
                } catch (IOException e) {
                    record.add(node.name + " does not answer " + id + ": " + e);
                }
            }
            for (ModelServer server : servers) {
                server.close();
            }
            int denied = counts.entrySet().stream().filter(e -> e.getKey() / 100 == 3 || e.getKey() / 100 == 4)
                    .filter(e -> !List.of(408, 421, 429).contains(e.getKey())).mapToInt(Map.Entry::getValue).sum();
            record.say(REQUESTS + " requests, answers by status " + counts + ", denied: " + denied);
            return denied > 5 + REQUESTS / 500.0 ? BROKEN : counts.getOrDefault(200, 0) == 0 ? NOT_RUN : HELD;
        }
    }
}
