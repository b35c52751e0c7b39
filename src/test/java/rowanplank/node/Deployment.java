package rowanplank.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Made-up settings: figures drawn from one seed, and names given apart, so that the same deployment can be played under
 * other names.
 */
record Deployment(List<String> effects, List<String> groups, List<Double> aims, List<Double> windows, int tries,
        boolean retryAfter, List<Double> quotas, List<Integer> zoneOfServer, int zones) {
    private static final String LETTERS = "abcdefghijklmnopqrstuvwxyz0123456789-";

    /** What one customer calls its classes, tenants and zones. */
    record Names(List<String> classes, List<String> tenants, List<String> zones) {
        /** The names of the one deployment that the node was first made for; it has no tenants. */
        static Names firstCustomers(Deployment d) {
            return new Names(firstOf(List.of("article", "epaper", "malanad-web", "page-servers", "fast-box"),
                    d.effects.size()), firstOf(List.of("malanad-web", "std-box", "old-box"), d.quotas.size()),
                    firstOf(List.of("hall-a", "hall-b", "hall-c"), d.zones));
        }

        private static List<String> firstOf(List<String> names, int count) {
            return names.subList(0, count);
        }

        static Names drawn(Deployment d, long seed) {
            SplittableRandom random = new SplittableRandom(seed);
            return new Names(drawn(random, d.effects.size()), drawn(random, d.quotas.size()), drawn(random, d.zones));
        }

        private static List<String> drawn(SplittableRandom random, int count) {
            Set<String> names = new TreeSet<>();
            List<String> inOrder = new ArrayList<>();
            while (inOrder.size() < count) {
                String name = random.ints(1 + random.nextInt(14), 0, LETTERS.length())
                        .mapToObj(i -> LETTERS.substring(i, i + 1)).collect(Collectors.joining());
                if (names.add(name)) {
                    inOrder.add(name);
                }
            }
            return inOrder;
        }
    }

    static Deployment drawn(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int classes = 3 + random.nextInt(3);
        List<String> effects = new ArrayList<>(List.of("repeatable", "once", "by_key"));
        while (effects.size() < classes) {
            effects.add(List.of("repeatable", "once", "by_key").get(random.nextInt(3)));
        }
        int zones = 2 + random.nextInt(2);
        return new Deployment(effects,
                draw(classes, i -> List.of("all", "zone", "cell").get(random.nextInt(3))),
                draw(classes, i -> 200.0 + random.nextInt(800)), draw(classes, i -> 500.0 + random.nextInt(4000)),
                2 + random.nextInt(4), random.nextBoolean(), draw(1 + random.nextInt(3), i -> 20.0 + random.nextInt(50)),
                draw(6, i -> i % zones), zones);
    }

    private static <T> List<T> draw(int count, java.util.function.IntFunction<T> one) {
        return IntStream.range(0, count).mapToObj(one).toList();
    }

    /** The object that a node is handed. */
    String settings(Names names) {
        String classes = IntStream.range(0, effects.size()).mapToObj(i -> "{\"name\":\"" + names.classes.get(i)
                + "\",\"effect\":\"" + effects.get(i) + "\",\"group\":\"" + groups.get(i) + "\",\"window_ms\":"
                + windows.get(i) + ",\"aim_ms\":" + aims.get(i) + ",\"deadline_ms\":" + 3 * aims.get(i) + ",\"worth\":"
                + (i + 1) + ",\"late_worth\":0.25}").collect(Collectors.joining(","));
        String tenants = IntStream.range(0, quotas.size()).mapToObj(i -> "{\"name\":\"" + names.tenants.get(i)
                + "\",\"quota_per_s\":" + quotas.get(i) + "}").collect(Collectors.joining(","));
        String zoneNames = names.zones.stream().map(z -> "\"" + z + "\"").collect(Collectors.joining(","));
        return "{\"balancers\":1,\"position\":0,\"zone\":1,\"zones\":[" + zoneNames + "],\"classes\":[" + classes
                + "],\"tenants\":[" + tenants + "],\"over_share_worth\":0.2,\"ceilings\":{\"most_tries\":" + tries
                + ",\"may_cancel\":true,\"conn_idle_ms\":8000,\"connect_timeout_ms\":400,\"retry_after\":" + retryAfter
                + ",\"max_retry_after_ms\":700},\"rules\":{\"answer_slack_ms\":20,\"cold_from\":0.2,\"cold_ms\":9000,"
                + "\"fall_multiple\":2.2},\"deductions\":{\"cross_zone\":0.05}}";
    }

    boolean isRepeatable(int index) {
        return effects.get(index).equals("repeatable");
    }
}
