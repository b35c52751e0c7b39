package rowanplank.measure;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.IntStream;
import rowanplank.balancer.Balancer;
import rowanplank.balancer.BalancerApi.Actions;
import rowanplank.balancer.BalancerApi.ListKind;
import rowanplank.config.HostList.Member;
import rowanplank.config.HostList;
import rowanplank.discovery.UpstreamGroup;

/** What an answer of discovery costs a node: its bytes, its reading, the group of peers and the decision module. */
final class ListCapacity {
    /** What an answer of discovery may hold at most, head and all else left out: {@code DiscoveryWatch}. */
    static final int MOST_ANSWER_BYTES = 256 * 1024;
    private static final int ROUNDS = 9;
    private static final int COPIES = 4;
    /** Looked for by halving. */
    private static final int MOST_FIT = 1 << 14;

    /**
     * @param bytes of the whole list
     * @param parse, apply, module: microseconds of processor time for the whole list
     * @param allocated bytes, for the whole list
     * @param held bytes of the heap of the group of peers, as it stands
     * @param change microseconds of processor time, all three, for the change of one server
     * @param changeBytes of an answer with that change
     */
    record Cost(int bytes, double parse, double apply, double module, double allocated, double held, double change,
            int changeBytes) { }

    private static final class Quiet implements Actions {
        @Override
        public void send(long request, long server, double timeoutMs) { }

        @Override
        public void reject(long request, double retryAfterMs) { }

        @Override
        public void fail(long request) { }

        @Override
        public void cancel(long request, int attempt) { }

        @Override
        public void timer(double delayMs, long token) { }

        @Override
        public void watchServers() { }

        @Override
        public void closeIdle(long server) { }

        @Override
        public void log(String line) { }
    }

    private ListCapacity() { }

    static String zone(int z) {
        return "region" + z % 4 + "-zone" + z;
    }

    static List<String> zones(int count) {
        return IntStream.range(0, count).mapToObj(ListCapacity::zone).toList();
    }

    /** One member as discovery writes it, with a name of usual length. */
    private static void member(StringBuilder text, int s, int zones, long upSince) {
        text.append("{\"id\":\"srv-").append(String.format("%05d", s)).append("\",\"host_port\":\"10.").append(s >> 16 & 255).append('.')
                .append(s >> 8 & 255).append('.').append(s & 255).append(":8080\",\"locality\":\"").append(zone(s % zones))
                .append("\",\"cell\":").append(s / 64).append(",\"phase\":\"ready\",\"size\":1.0,\"up_since_ms\":").append(upSince)
                .append('}');
    }

    /** An answer of discovery. @param from the first of the servers that it names */
    static String answer(long revision, boolean complete, int from, int count, int zones, long upSince) {
        StringBuilder text = new StringBuilder("{\"revision\":").append(revision).append(",\"complete\":").append(complete)
                .append(",\"members\":[");
        for (int s = from; s < from + count; s++) {
            text.append(s == from ? "" : ",");
            member(text, s, zones, upSince);
        }
        return text.append("]}").toString();
    }

    /** How many servers fit an answer. */
    static int fit(int mostBytes, int zones) {
        int fits = 0;
        for (int step = MOST_FIT; step > 0; step >>= 1) {
            if (answer(1, true, 0, fits + step, zones, 1_767_225_600_000L).length() <= mostBytes) {
                fits += step;
            }
        }
        return fits;
    }

    /** @param warmNanos of processor time, spent on reading lists before it is counted */
    static Cost measure(int servers, int nodes, int zones, int classes, long warmNanos) {
        List<String> names = zones(zones);
        String whole = answer(1, true, 0, servers, zones, 1_767_225_600_000L);
        UpstreamGroup group = new UpstreamGroup();
        Balancer balancer = new Balancer(ModuleCapacity.settings(new ModuleCapacity.Size(servers, nodes, zones, classes, 0, 1)), 1,
                new Quiet());
        for (long from = Spent.nanosNow(); Spent.nanosNow() < from + warmNanos;) { // until its reading is compiled
            HostList.parse(whole, names);
        }
        double[][] micros = new double[4][ROUNDS];
        double[] bytes = new double[ROUNDS];
        String one = "";
        for (int r = -ROUNDS; r < ROUNDS; r++) { // the first half is not counted
            int round = Math.max(0, r);
            Spent start = Spent.now();
            HostList list = HostList.parse(whole, names);
            Spent parsed = Spent.now();
            List<Member> taken = group.apply(list).taken();
            Spent applied = Spent.now();
            balancer.onServers(r, ListKind.FULL, taken.stream().map(Member::server).toList());
            Spent told = Spent.now();
            one = answer(2, false, servers / 2, 1, zones, 1_767_225_600_001L + r + ROUNDS);
            Spent begun = Spent.now();
            List<Member> changed = group.apply(HostList.parse(one, names)).taken();
            balancer.onServers(r, ListKind.DELTA, changed.stream().map(Member::server).toList());
            Spent ended = Spent.now();
            micros[0][round] = parsed.since(start).nanos() / 1e3;
            micros[1][round] = applied.since(parsed).nanos() / 1e3;
            micros[2][round] = told.since(applied).nanos() / 1e3;
            micros[3][round] = ended.since(begun).nanos() / 1e3;
            bytes[round] = told.since(start).bytes();
        }
        double held = Spent.retained(COPIES, () -> {
            UpstreamGroup copy = new UpstreamGroup();
            copy.apply(HostList.parse(whole, names));
            return copy;
        });
        return new Cost(whole.getBytes(StandardCharsets.UTF_8).length, ModuleCapacity.median(micros[0]),
                ModuleCapacity.median(micros[1]), ModuleCapacity.median(micros[2]), ModuleCapacity.median(bytes), held,
                ModuleCapacity.median(micros[3]), one.getBytes(StandardCharsets.UTF_8).length);
    }
}
