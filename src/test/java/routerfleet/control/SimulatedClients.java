package routerfleet.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import routerfleet.simulation.VirtualWorld;

/** Operators, readers and model servers of a simulated control plane, as the operators' pages describe them. */
final class SimulatedClients {
    private static final Pattern GENERATION = Pattern.compile("\"generation\":(\\d+)");
    private static final String GET = SimulatedHttp.request("GET", "/rowanplank/config/get", "", "");
    private static final String NOWHERE = SimulatedHttp.request("GET", "/nowhere", "", "");
    private static final int MOST_PAUSE_MS = 400;
    private static final long DRAIN_MS = 2_000;

    private final VirtualWorld world;
    private final Random random;
    private final SimulatedHttp http;
    private final Supplier<List<SimulatedMachine>> machines;
    private final Observations seen;
    private final int filler;
    /** Operators give one order after the other, without a pause. */
    private final boolean hurried;
    private long endMs;
    private int lastServer;
    private Runnable onAcknowledged = () -> { };
    private final List<AcknowledgedEnd> endings = new ArrayList<>();

    /** A server whose end was acknowledged. */
    record AcknowledgedEnd(String uid, long acknowledgedMs) { }

    /**
     * @param filler bytes that each configuration is larger by
     * @param hurried whether hundreds of orders are given
     */
    SimulatedClients(VirtualWorld world, long seed, SimulatedHttp http, Supplier<List<SimulatedMachine>> machines,
            Observations seen, int filler, boolean hurried) {
        this.hurried = hurried;
        this.world = world;
        random = new Random(seed);
        this.http = http;
        this.machines = machines;
        this.seen = seen;
        this.filler = filler;
    }

    /** Begins. @param untilMs until when new orders are given */
    void start(int operators, int readers, int servers, long untilMs) {
        endMs = untilMs;
        for (int i = 0; i < operators; i++) {
            Operator operator = new Operator("operator" + i);
            world.afterMs(300 + random.nextInt(300), operator::next);
        }
        for (int i = 0; i < readers; i++) {
            world.afterMs(1_000 + random.nextInt(300), this::readOn);
        }
        for (int i = 0; i < servers; i++) {
            startServer();
        }
    }

    /** Run at each acknowledgement of an order from now on. */
    void onAcknowledged(Runnable strike) {
        onAcknowledged = strike;
    }

    List<AcknowledgedEnd> acknowledgedEnds() {
        return endings;
    }

    private SimulatedMachine any() {
        List<SimulatedMachine> all = machines.get();
        return all.get(random.nextInt(all.size()));
    }

    // ---- readers

    private void readOn() {
        if (world.nowMs() > endMs + 60_000) {
            return;
        }
        read(answer -> { });
        world.afterMs(80 + random.nextInt(250), this::readOn);
    }

    /** Reads the configuration at any node. @param generation given what was read; negative where nothing was */
    void read(Consumer<Long> generation) {
        readAt(any(), generation);
    }

    /** Reads the configuration at a node. @param generation given what was read; negative where nothing was */
    void readAt(SimulatedMachine machine, Consumer<Long> generation) {
        long sent = world.nowNanos();
        boolean two = random.nextInt(4) == 0;
        http.call(machine, two ? List.of(GET, NOWHERE) : List.of(GET), answers -> {
            SimulatedHttp.Response answer = answers.get(0);
            if (answer.status() == 404 || two && answers.get(1).status() != 404 && answers.get(1).status() != 0) {
                seen.violations.add("the answer to another request came at " + machine.ip);
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
        seen.reads.add(new Observations.Read(machine.ip, sent, world.nowNanos(), read, answer.body()));
        return read;
    }

    // ---- operators

    private final class Operator {
        private final String name;
        private long base;
        private int orders;

        Operator(String name) {
            this.name = name;
        }

        void next() {
            if (world.nowMs() > endMs) {
                return;
            }
            String marker = name + "-" + ++orders;
            long generation = base + 1 + random.nextInt(3);
            boolean patch = base > 0 && random.nextInt(3) == 0;
            String body = patch
                    ? "{\"generation\":" + generation + ",\"upsert\":{\"labels\":[{\"name\":\"" + marker + "\"}]}}"
                    : "{\"generation\":" + generation + ",\"mark\":\"" + marker + "\",\"rest\":\"" + "x".repeat(filler)
                            + "\"}";
            Observations.Update order = new Observations.Update(marker, base, generation, world.nowNanos());
            seen.updates.put(marker, order);
            send(order, SimulatedHttp.request("POST", "/rowanplank/config/" + (patch ? "patch" : "replace"),
                    "Rowanplank-Base-Version: " + base + "\r\n", body), 0);
        }

        private void send(Observations.Update order, String request, int tries) {
            long sent = world.nowNanos();
            http.call(any(), request, answer -> {
                order.responses.add(new Observations.Response(sent, world.nowNanos(), answer.status()));
                if (answer.status() == 200) {
                    base = order.generation;
                    onAcknowledged.run();
                    if (random.nextInt(3) == 0) {
                        send(order, request, tries + 1); // as if the answer had been lost
                    } else {
                        pause(this::next);
                    }
                } else if (answer.status() == 412) {
                    learn();
                } else if (answer.status() / 100 == 4) {
                    pause(this::next);
                } else if (world.nowMs() < endMs + 40_000) {
                    world.afterMs(Math.min(MOST_PAUSE_MS, 30L * (tries + 1)), () -> send(order, request, tries + 1));
                }
            });
        }

        private void learn() {
            read(generation -> {
                if (generation >= 0) {
                    base = Math.max(base, generation);
                    pause(this::next);
                } else if (world.nowMs() < endMs) {
                    world.afterMs(100, this::learn);
                }
            });
        }

        private void pause(Runnable then) {
            world.afterMs(hurried ? 5 : random.nextInt(4) == 0 ? 1_500 : 20 + random.nextInt(400), then);
        }
    }

    // ---- servers

    private void startServer() {
        new ModelServer("server-" + ++lastServer, world.nowMs() + 4_000 + random.nextInt(12_000)).beat();
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

        void beat() {
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
            boolean drains = draining;
            String request = heartbeat();
            Runnable send = () -> http.call(any(), request, answer -> answered(drains, answer));
            if (random.nextInt(20) == 0) {
                world.afterMs(500 + random.nextInt(1_500), send); // late on its way, while others follow
                world.afterMs(SimulatedMachine.HEARTBEAT_MS, this::beat);
            } else {
                send.run();
            }
        }

        private void answered(boolean drains, SimulatedHttp.Response answer) {
            if (ended) {
                return;
            }
            if (drains && answer.status() == 200) {
                acknowledged();
                ended = true;
                world.afterMs(DRAIN_MS + random.nextInt(2_000), () -> deregister(false));
                beatsWhileDraining();
                return;
            }
            world.afterMs(answer.status() == 200 ? SimulatedMachine.HEARTBEAT_MS : 60, this::beat);
        }

        private void beatsWhileDraining() {
            String request = heartbeat();
            world.afterMs(SimulatedMachine.HEARTBEAT_MS, () -> http.call(any(), request, answer -> { }));
        }

        private String heartbeat() {
            String body = "{\"backend\":\"web\",\"address\":\"10.9.0.1:80\",\"zone\":\"a\",\"generation\":\"v1\","
                    + "\"capacity\":4,\"phase\":\"" + (draining ? "draining" : "ready") + "\",\"warmup_left_ms\":0,"
                    + "\"sequence\":" + ++sequence + "}";
            return SimulatedHttp.request("POST", "/rowanplank/instances/" + uid + "/heartbeat", "", body);
        }

        private void acknowledged() {
            seen.drainsAcknowledged++;
            endings.add(new AcknowledgedEnd(uid, world.nowMs()));
        }

        private void deregister(boolean first) {
            http.call(any(), SimulatedHttp.request("POST", "/rowanplank/instances/" + uid + "/deregister", "", ""),
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
