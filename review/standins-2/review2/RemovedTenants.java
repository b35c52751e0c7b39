package review2;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * CONFIG and ROUTE: the operator takes away the last keys by removing their tenants. Requests with a removed key, with a key
 * that no configuration ever held, and with no key are sent after the bound of revocation.
 */
final class RemovedTenants extends Case {
    private static final String SECOND_KEY = "b9wu3fexd9dnn2ctnfzs";
    private static final String NEVER_VALID_KEY = "qq7t4mnw2kxe8vgd5jab";
    private static final int REVOKE_MS = 5_000;
    private static final int REQUESTS = 12;

    private RemovedTenants(Path recordFile) {
        super(recordFile);
    }

    public static void main(String[] args) {
        new RemovedTenants(Path.of(args[0])).main();
    }

    @Override
    int play() throws Exception {
        try (Fleet fleet = new Fleet(record, 3, 2)) {
            List<ModelServer> servers = new ArrayList<>();
            for (int i = 1; i <= 2; i++) {
                servers.add(new ModelServer(record, fleet, "i-" + i, "wuno96b", i, "ragusa-a", 32, 20));
            }
            String first = configuration(1, List.of(route("r-page", "/pule252/", "unsafe", 6_000)),
                    List.of(tenant("kaje80", KEY), tenant("lora12", SECOND_KEY)));
            if (!startFleet(fleet, first)) {
                return NOT_RUN;
            }
            Map<String, String> before = new HashMap<>();
            send(fleet, before, KEY);
            send(fleet, before, SECOND_KEY);
            Map<String, String> after = new HashMap<>();
            if (trouble) {
                String patch = "{\"generation\":2,\"delete\":{\"tenants\":[\"kaje80\",\"lora12\"]}}";
                int status = fleet.order("patch", 1, patch, 15_000);
                if (status != 200) {
                    record.say("the removal of the tenants was refused with " + status);
                    return HELD;
                }
            }
            record.say((trouble ? "acknowledged" : "no change") + "; requests follow " + (REVOKE_MS + 1_000) + " ms later");
            Thread.sleep(REVOKE_MS + 1_000);
            send(fleet, after, KEY);
            send(fleet, after, SECOND_KEY);
            send(fleet, after, NEVER_VALID_KEY);
            send(fleet, after, null);
            Thread.sleep(500);
            for (ModelServer server : servers) {
                server.close();
            }
            return judge(servers, before, after);
        }
    }

    /** Some requests with a key, to each data node. */
    private void send(Fleet fleet, Map<String, String> sent, String key) {
        for (Fleet.Node node : fleet.data) {
            for (int i = 0; i < REQUESTS / 2; i++) {
                String id = newId();
                sent.put(id, String.valueOf(key));
                try {
                    int status = Http.call(node.ip, fleet.frontendPort, "POST", "/pule252/2f", headers(id, key, 6_000),
                            new byte[600], 7_000).status();
                    record.add(node.name + " answers " + id + ", key " + key + ", with " + status);
                } catch (IOException e) {
                    record.add(node.name + " does not answer " + id + ", key " + key + ": " + e);
                }
            }
        }
    }

    private int judge(List<ModelServer> servers, Map<String, String> before, Map<String, String> after) {
        long ranBefore = 0;
        Map<String, Integer> ranAfter = new HashMap<>();
        for (ModelServer server : servers) {
            for (ModelServer.Run run : server.runs) {
                if (before.containsKey(run.id())) {
                    ranBefore++;
                } else if (after.containsKey(run.id())) {
                    ranAfter.merge(after.get(run.id()), 1, Integer::sum);
                }
            }
        }
        int revoked = ranAfter.getOrDefault(KEY, 0) + ranAfter.getOrDefault(SECOND_KEY, 0);
        int neverValid = ranAfter.getOrDefault(NEVER_VALID_KEY, 0);
        int none = ranAfter.getOrDefault("null", 0);
        record.say(ranBefore + " of " + before.size() + " requests ran before; of " + after.size() + " sent after, " + revoked
                + (trouble ? " ran with a removed key, " : " ran with a key that is still held, ") + neverValid + " with a key that no configuration held, " + none + " with none");
        if (ranBefore < before.size()) {
            return NOT_RUN;
        }
        return (trouble ? revoked : 0) + neverValid > 0 ? BROKEN : HELD;
    }
}
