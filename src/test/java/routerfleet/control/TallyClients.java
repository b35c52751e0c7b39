package routerfleet.control;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import routerfleet.simulation.VirtualWorld;

/**
 * Simulates applications that use tallies, each in its zone: they call the nearest control node, and another one after a
 * failure, a 5xx, a 429 or a second without a response. Many adds are sent again, at once or later, from this or another
 * zone.
 */
final class TallyClients {
    private static final Pattern TOTAL = Pattern.compile("\"total\"\\s*:\\s*(-?\\d+)");
    private static final int MAX_ATTEMPTS = 5;
    /** Number of adds to a tally whose amounts are powers of two. */
    private static final int MAX_EXACT_ADDS = 30;
    private static final int OPEN_TALLIES = 6;
    private static final int MAX_AMOUNT = 9;
    private static final int MAX_PAUSE_MS = 260;
    private static final int MAX_REPEAT_MS = 12_000;

    private final VirtualWorld world;
    private final Random random;
    private final SimulatedHttp http;
    private final Supplier<List<SimulatedMachine>> machines;
    private final TallyHistory history;
    private final List<Tally> open = new ArrayList<>();
    private List<String> zones = List.of();
    private long endMs;
    private int lastTally;
    private int lastUid;
    private Consumer<SimulatedMachine> onAcknowledged = machine -> { };

    /** A tally and the number of adds to it; in every second one, the amounts are powers of two. */
    private static final class Tally {
        private final String name;
        private final boolean exact;
        private int adds;

        Tally(int number) {
            name = "t" + number;
            exact = number % 2 == 0;
        }
    }

    TallyClients(VirtualWorld world, long seed, SimulatedHttp http, Supplier<List<SimulatedMachine>> machines,
            TallyHistory history) {
        this.world = world;
        random = new Random(seed);
        this.http = http;
        this.machines = machines;
        this.history = history;
        for (int i = 0; i < OPEN_TALLIES; i++) {
            open.add(new Tally(++lastTally));
        }
    }

    /** Returns the location of a zone's callers. */
    static String location(String zone) {
        return "callers-" + zone;
    }

    /** Starts the callers. @param untilMs when they stop to make calls */
    void start(List<String> allZones, int callersInAZone, long untilMs) {
        zones = allZones;
        endMs = untilMs;
        for (String zone : allZones) {
            for (int i = 0; i < callersInAZone; i++) {
                world.afterMs(1_500 + random.nextInt(500), () -> callAndReschedule(zone));
            }
        }
    }

    /** Sets what receives the machine of each acknowledged add from now on. */
    void onAcknowledged(Consumer<SimulatedMachine> listener) {
        onAcknowledged = listener;
    }

    // ---- choice of calls

    private void callAndReschedule(String zone) {
        if (world.nowMs() > endMs) {
            return;
        }
        int choice = random.nextInt(10);
        if (choice < 4) {
            addNew(zone);
        } else if (choice < 6 && !history.adds.isEmpty()) {
            resend(zone);
        } else {
            read(open.get(random.nextInt(open.size())).name, zone);
        }
        world.afterMs(1 + random.nextInt(MAX_PAUSE_MS), () -> callAndReschedule(zone));
    }

    private void addNew(String zone) {
        int index = random.nextInt(open.size());
        Tally tally = open.get(index);
        long amount = tally.exact ? 1L << tally.adds : 1 + random.nextInt(MAX_AMOUNT);
        TallyHistory.Add add = new TallyHistory.Add(tally.name, "u" + ++lastUid, amount);
        history.adds.add(add);
        if (++tally.adds == MAX_EXACT_ADDS) {
            open.set(index, new Tally(++lastTally));
        }
        send(add, zone);
        if (random.nextInt(4) == 0) {
            String other = randomZone();
            world.afterMs(random.nextInt(20), () -> send(add, other));
        }
        if (random.nextInt(4) == 0) {
            String other = randomZone();
            world.afterMs(random.nextInt(MAX_REPEAT_MS), () -> send(add, other));
        }
    }

    private void resend(String zone) {
        int newest = history.adds.size() - 1;
        int age = random.nextInt(3) == 0 ? random.nextInt(newest + 1) : random.nextInt(Math.min(newest + 1, 20));
        TallyHistory.Add add = history.adds.get(newest - age);
        boolean exact = Integer.parseInt(add.tally.substring(1)) % 2 == 0;
        if (!exact && random.nextInt(6) == 0) {
            TallyHistory.Add other = new TallyHistory.Add(add.tally, add.uid, 1 + random.nextInt(MAX_AMOUNT));
            history.adds.add(other);
            send(other, zone);
        } else {
            send(add, zone);
        }
    }

    private String randomZone() {
        return zones.get(random.nextInt(zones.size()));
    }

    // ---- calls

    private void send(TallyHistory.Add add, String zone) {
        String request = SimulatedHttp.request("POST", "/rowanplank/tallies/" + add.tally + "/patch",
                "Content-Type: application/json\r\n", "{\"uid\":\"" + add.uid + "\",\"owner\":" + add.amount + "}");
        send(add, request, zone, nearestFirst(zone), 0);
    }

    private void send(TallyHistory.Add add, String request, String zone, List<SimulatedMachine> nodes, int attempts) {
        if (world.nowMs() > endMs) {
            return;
        }
        SimulatedMachine machine = nodes.get(attempts % nodes.size());
        // the add may be counted from now on: until its response arrives, the attempt is recorded as unknown
        int index = add.attempts.size();
        add.attempts.add(pending(zone, machine));
        call(zone, machine, request, (attempt, body) -> {
            add.attempts.set(index, attempt);
            if (attempt.isAcknowledged()) {
                onAcknowledged.accept(machine);
            } else if (isRetriedElsewhere(attempt.status()) && attempts + 1 < MAX_ATTEMPTS) {
                send(add, request, zone, nodes, attempts + 1);
            }
        });
    }

    private TallyHistory.Attempt pending(String zone, SimulatedMachine machine) {
        return new TallyHistory.Attempt(location(zone), machine.ip, -1, world.nowNanos(), TallyHistory.OPEN, 0);
    }

    private void read(String tally, String zone) {
        read(tally, zone, nearestFirst(zone), 0);
    }

    private void read(String tally, String zone, List<SimulatedMachine> nodes, int attempts) {
        readAt(tally, zone, nodes.get(attempts % nodes.size()), read -> {
            history.reads.add(read);
            if (isRetriedElsewhere(read.attempt().status()) && attempts + 1 < MAX_ATTEMPTS) {
                read(tally, zone, nodes, attempts + 1);
            }
        });
    }

    private void readAt(String tally, String zone, SimulatedMachine machine, Consumer<TallyHistory.Read> onRead) {
        String request = SimulatedHttp.request("GET", "/rowanplank/tallies/" + tally + "/get", "", "");
        call(zone, machine, request, (attempt, body) -> {
            Matcher total = TOTAL.matcher(body);
            boolean found = total.find();
            onRead.accept(new TallyHistory.Read(tally, attempt, found ? Long.parseLong(total.group(1)) : -1));
        });
    }

    /** Reads every tally at every machine, and records these as the final reads. */
    void readAllFinally() {
        for (int i = 1; i <= lastTally; i++) {
            for (SimulatedMachine machine : machines.get()) {
                readAt("t" + i, machine.zone(), machine, history.finalReads::add);
            }
        }
    }

    private static boolean isRetriedElsewhere(int status) {
        return status == 0 || status == 429 || status / 100 == 5;
    }

    /** Receives the outcome of a call. */
    private interface CallListener {
        void responded(TallyHistory.Attempt attempt, String body);
    }

    private void call(String zone, SimulatedMachine machine, String request, CallListener listener) {
        long sent = world.nowNanos();
        int life = machine.processStarts();
        http.callFrom(location(zone), machine, request, response -> listener.responded(
                new TallyHistory.Attempt(location(zone), machine.ip, machine.processStarts() == life ? life : -1, sent,
                        world.nowNanos(), response.status()), response.body()));
    }

    /** Returns the control nodes in the caller's zone and then all others, each group in random order. */
    private List<SimulatedMachine> nearestFirst(String zone) {
        List<SimulatedMachine> nodes = new ArrayList<>(machines.get());
        Collections.shuffle(nodes, random);
        nodes.sort((a, b) -> Boolean.compare(!a.zone().equals(zone), !b.zone().equals(zone)));
        return nodes;
    }
}
