package routerfleet.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import routerfleet.simulation.VirtualWorld;

/**
 * The operators, readers and model servers of a simulated control plane, behaving as the operators' documentation
 * describes.
 */
final class SimulatedClients {
    private static final Pattern GENERATION = Pattern.compile("\"generation\":(\\d+)");
    private static final String GET = SimulatedHttp.request("GET", "/rowanplank/config/get", "", "");
    private static final String UNKNOWN_PATH = SimulatedHttp.request("GET", "/nowhere", "", "");
    private static final int MAX_DELAY_MS = 400;
    private static final long DRAIN_MS = 2_000;

    private final VirtualWorld world;
    private final Random random;
    private final SimulatedHttp http;
    private final Supplier<List<SimulatedMachine>> machines;
    private final Observations observations;
    private final int filler;
    /** Whether operators send one update right after the other, without a pause. */
    private final boolean withoutPauses;
    private long endMs;
    private int lastServer;
    private Runnable onAcknowledged = () -> { };
    private final List<AcknowledgedEnd> acknowledgedEnds = new ArrayList<>();

    /** A server whose drain or deregistration was acknowledged. */
    record AcknowledgedEnd(String uid, long acknowledgedMs) { }

    /**
     * @param filler how many bytes of padding each configuration has
     * @param withoutPauses whether operators send updates without pauses, which makes hundreds of them
     */
    SimulatedClients(VirtualWorld world, long seed, SimulatedHttp http, Supplier<List<SimulatedMachine>> machines,
            Observations observations, int filler, boolean withoutPauses) {
        this.withoutPauses = withoutPauses;
        this.world = world;
        random = new Random(seed);
        this.http = http;
        this.machines = machines;
        this.observations = observations;
        this.filler = filler;
    }

    /** Starts all clients. @param untilMs when operators stop sending new updates */
    void start(int operators, int readers, int servers, long untilMs) {
        endMs = untilMs;
        for (int i = 0; i < operators; i++) {
            Operator operator = new Operator("operator" + i);
            world.afterMs(300 + random.nextInt(300), operator::next);
        }
        for (int i = 0; i < readers; i++) {
            world.afterMs(1_000 + random.nextInt(300), this::readRepeatedly);
        }
        for (int i = 0; i < servers; i++) {
            startServer();
        }
    }

    /** Sets a callback for each further acknowledgement of an update. */
    void onAcknowledged(Runnable callback) {
        onAcknowledged = callback;
    }

    List<AcknowledgedEnd> acknowledgedEnds() {
        return acknowledgedEnds;
    }

    private SimulatedMachine anyMachine() {
        List<SimulatedMachine> all = machines.get();
        return all.get(random.nextInt(all.size()));
    }

    // ---- readers

    private void readRepeatedly() {
        if (world.nowMs() > endMs + 60_000) {
            return;
        }
        read(answer -> { });
        world.afterMs(80 + random.nextInt(250), this::readRepeatedly);
    }

    /** Reads the configuration at a random node. @param generation receives the generation; negative if the read failed */
    void read(Consumer<Long> generation) {
        readAt(anyMachine(), generation);
    }

    /** Reads the configuration at a node. @param generation receives the generation; negative if the read failed */
    void readAt(SimulatedMachine machine, Consumer<Long> generation) {
        long sent = world.nowNanos();
        boolean pipelined = random.nextInt(4) == 0;
        http.call(machine, pipelined ? List.of(GET, UNKNOWN_PATH) : List.of(GET), answers -> {
            SimulatedHttp.Response answer = answers.get(0);
            if (answer.status() == 404 || pipelined && answers.get(1).status() != 404 && answers.get(1).status() != 0) {
                observations.violations.add("the response to another request arrived from " + machine.ip);
            }
            generation.accept(observe(machine, sent, answer));
        });
    }

    private long observe(SimulatedMachine machine, long sent, SimulatedHttp.Response answer) {
        Matcher matcher = GENERATION.matcher(answer.body());
        if (answer.status() != 200 || !matcher.find()) {
            return -1;
        }
        long read = Long.parseLong(matcher.group(1));
        observations.reads.add(new Observations.Read(machine.ip, sent, world.nowNanos(), read, answer.body()));
        return read;
    }

    // ---- operators

    private final class Operator {
        private final String name;
        private long base;
        private int updateCount;

        Operator(String name) {
            this.name = name;
        }

        void next() {
            if (world.nowMs() > endMs) {
                return;
            }
            String marker = name + "-" + ++updateCount;
            long generation = base + 1 + random.nextInt(3);
            boolean patch = base > 0 && random.nextInt(3) == 0;
            String body = patch
                    ? "{\"generation\":" + generation + ",\"upsert\":{\"labels\":[{\"name\":\"" + marker + "\"}]}}"
                    : "{\"generation\":" + generation + ",\"mark\":\"" + marker + "\",\"rest\":\"" + "x".repeat(filler)
                            + "\"}";
            Observations.Update update = new Observations.Update(marker, base, generation, world.nowNanos());
            observations.updates.put(marker, update);
            send(update, SimulatedHttp.request("POST", "/rowanplank/config/" + (patch ? "patch" : "replace"),
                    "Rowanplank-Base-Version: " + base + "\r\n", body), 0);
        }

        private void send(Observations.Update update, String request, int attempts) {
            long sent = world.nowNanos();
            http.call(anyMachine(), request, answer -> {
                update.responses.add(new Observations.Response(sent, world.nowNanos(), answer.status()));
                if (answer.status() == 200) {
                    base = update.generation;
                    onAcknowledged.run();
                    if (random.nextInt(3) == 0) {
                        send(update, request, attempts + 1); // as if the response had been lost
                    } else {
                        pause(this::next);
                    }
                } else if (answer.status() == 412) {
                    readCurrentVersion();
                } else if (answer.status() / 100 == 4) {
                    pause(this::next);
                } else if (world.nowMs() < endMs + 40_000) {
                    world.afterMs(Math.min(MAX_DELAY_MS, 30L * (attempts + 1)), () -> send(update, request, attempts + 1));
                }
            });
        }

        private void readCurrentVersion() {
            read(generation -> {
                if (generation >= 0) {
                    base = Math.max(base, generation);
                    pause(this::next);
                } else if (world.nowMs() < endMs) {
                    world.afterMs(100, this::readCurrentVersion);
                }
            });
        }

        private void pause(Runnable then) {
            world.afterMs(withoutPauses ? 5 : random.nextInt(4) == 0 ? 1_500 : 20 + random.nextInt(400), then);
        }
    }

    // ---- servers

    private void startServer() {
        new ModelServer("server-" + ++lastServer, world.nowMs() + 4_000 + random.nextInt(12_000)).sendHeartbeat();
    }

    private final class ModelServer {
        private final String uid;
        private final long drainsAtMs;
        private int sequence;
        private boolean ended;
        private boolean draining;

        ModelServer(String uid, long drainsAtMs) {
            this.uid = uid;
            this.drainsAtMs = drainsAtMs;
        }

        void sendHeartbeat() {
            if (ended) {
                return;
            }
            boolean silent = random.nextInt(4) == 0;
            if (!draining && world.nowMs() >= drainsAtMs) {
                draining = true;
                if (silent) {
                    deregister(true);
                    return;
                }
            }
            boolean reportsDraining = draining;
            String request = heartbeat();
            Runnable send = () -> http.call(anyMachine(), request, answer -> answered(reportsDraining, answer));
            if (random.nextInt(20) == 0) {
                world.afterMs(500 + random.nextInt(1_500), send); // delayed in transit, while later heartbeats follow
                world.afterMs(SimulatedMachine.HEARTBEAT_MS, this::sendHeartbeat);
            } else {
                send.run();
            }
        }

        private void answered(boolean reportsDraining, SimulatedHttp.Response answer) {
            if (ended) {
                return;
            }
            if (reportsDraining && answer.status() == 200) {
                acknowledged();
                ended = true;
                world.afterMs(DRAIN_MS + random.nextInt(2_000), () -> deregister(false));
                sendOneMoreHeartbeat();
                return;
            }
            world.afterMs(answer.status() == 200 ? SimulatedMachine.HEARTBEAT_MS : 60, this::sendHeartbeat);
        }

        private void sendOneMoreHeartbeat() {
            String request = heartbeat();
            world.afterMs(SimulatedMachine.HEARTBEAT_MS, () -> http.call(anyMachine(), request, answer -> { }));
        }

        private String heartbeat() {
            String body = "{\"backend\":\"web\",\"address\":\"10.9.0.1:80\",\"zone\":\"a\",\"generation\":\"v1\","
                    + "\"capacity\":4,\"phase\":\"" + (draining ? "draining" : "ready") + "\",\"warmup_left_ms\":0,"
                    + "\"sequence\":" + ++sequence + "}";
            return SimulatedHttp.request("POST", "/rowanplank/instances/" + uid + "/heartbeat", "", body);
        }

        private void acknowledged() {
            observations.drainsAcknowledged++;
            acknowledgedEnds.add(new AcknowledgedEnd(uid, world.nowMs()));
        }

        private void deregister(boolean first) {
            http.call(anyMachine(), SimulatedHttp.request("POST", "/rowanplank/instances/" + uid + "/deregister", "", ""),
                    answer -> {
                        if (first && answer.status() != 200) {
                            world.afterMs(100, () -> deregister(true));
                            return;
                        }
                        if (first) {
                            ended = true;
                            acknowledged();
                        }
                        startServer();
                    });
        }
    }
}
