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
 * Applications that keep tallies, each in its zone: they call the nearest control node, and another one after a failure,
 * a 5xx, 429 or a second without an answer. Many adds are sent again, at once or later, from this or another zone.
 */
final class TallyClients {
    private static final Pattern TOTAL = Pattern.compile("\"total\"\\s*:\\s*(-?\\d+)");
    private static final int MOST_TRIES = 5;
    /** Adds of a tally whose amounts are powers of two. */
    private static final int MOST_EXACT = 30;
    private static final int OPEN_TALLIES = 6;
    private static final int MOST_AMOUNT = 9;
    private static final int MOST_PAUSE_MS = 260;
    private static final int MOST_REPEAT_MS = 12_000;

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

    /** A name and what has been added to it; every second one has amounts that are powers of two. */
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

    /** Where the callers of a zone stand. */
    static String location(String zone) {
        return "callers-" + zone;
    }

    /** Begins. @param untilMs until when calls are made */
    void start(List<String> allZones, int callersInAZone, long untilMs) {
        zones = allZones;
        endMs = untilMs;
        for (String zone : allZones) {
            for (int i = 0; i < callersInAZone; i++) {
                world.afterMs(1_500 + random.nextInt(500), () -> callOn(zone));
            }
        }
    }

    /** Given the machine of each acknowledgement of an add from now on. */
    void onAcknowledged(Consumer<SimulatedMachine> strike) {
        onAcknowledged = strike;
    }

    // ---- what is called for

    private void callOn(String zone) {
        if (world.nowMs() > endMs) {
            return;
        }
        int lot = random.nextInt(10);
        if (lot < 4) {
            addNew(zone);
        } else if (lot < 6 && !history.adds.isEmpty()) {
            repeat(zone);
        } else {
            read(open.get(random.nextInt(open.size())).name, zone);
        }
        world.afterMs(1 + random.nextInt(MOST_PAUSE_MS), () -> callOn(zone));
    }

    private void addNew(String zone) {
        int place = random.nextInt(open.size());
        Tally tally = open.get(place);
        long amount = tally.exact ? 1L << tally.adds : 1 + random.nextInt(MOST_AMOUNT);
        TallyHistory.Add add = new TallyHistory.Add(tally.name, "u" + ++lastUid, amount);
        history.adds.add(add);
        if (++tally.adds == MOST_EXACT) {
            open.set(place, new Tally(++lastTally));
        }
        send(add, zone);
        if (random.nextInt(4) == 0) {
            String other = anyZone();
            world.afterMs(random.nextInt(20), () -> send(add, other));
        }
        if (random.nextInt(4) == 0) {
            String other = anyZone();
            world.afterMs(random.nextInt(MOST_REPEAT_MS), () -> send(add, other));
        }
    }

    private void repeat(String zone) {
        int newest = history.adds.size() - 1;
        int age = random.nextInt(3) == 0 ? random.nextInt(newest + 1) : random.nextInt(Math.min(newest + 1, 20));
        TallyHistory.Add add = history.adds.get(newest - age);
        boolean exact = Integer.parseInt(add.tally.substring(1)) % 2 == 0;
        if (!exact && random.nextInt(6) == 0) {
            TallyHistory.Add other = new TallyHistory.Add(add.tally, add.uid, 1 + random.nextInt(MOST_AMOUNT));
            history.adds.add(other);
            send(other, zone);
        } else {
            send(add, zone);
        }
    }

    private String anyZone() {
        return zones.get(random.nextInt(zones.size()));
    }

    // ---- calls

    private void send(TallyHistory.Add add, String zone) {
        String request = SimulatedHttp.request("POST", "/rowanplank/tallies/" + add.tally + "/patch",
                "Content-Type: application/json\r\n", "{\"uid\":\"" + add.uid + "\",\"owner\":" + add.amount + "}");
        send(add, request, zone, nearestFirst(zone), 0);
    }

    private void send(TallyHistory.Add add, String request, String zone, List<SimulatedMachine> order, int tries) {
        if (world.nowMs() > endMs) {
            return;
        }
        SimulatedMachine machine = order.get(tries % order.size());
        // it may have been counted from now on: what has no answer yet stands as unclear
        int at = add.attempts.size();
        add.attempts.add(pending(zone, machine));
        call(zone, machine, request, (made, body) -> {
            add.attempts.set(at, made);
            if (made.isAcknowledged()) {
                onAcknowledged.accept(machine);
            } else if (isTriedElsewhere(made.status()) && tries + 1 < MOST_TRIES) {
                send(add, request, zone, order, tries + 1);
            }
        });
    }

    private TallyHistory.Attempt pending(String zone, SimulatedMachine machine) {
        return new TallyHistory.Attempt(location(zone), machine.ip, -1, world.nowNanos(), TallyHistory.OPEN, 0);
    }

    private void read(String tally, String zone) {
        read(tally, zone, nearestFirst(zone), 0);
    }

    private void read(String tally, String zone, List<SimulatedMachine> order, int tries) {
        readAt(tally, zone, order.get(tries % order.size()), read -> {
            history.reads.add(read);
            if (isTriedElsewhere(read.attempt().status()) && tries + 1 < MOST_TRIES) {
                read(tally, zone, order, tries + 1);
            }
        });
    }

    private void readAt(String tally, String zone, SimulatedMachine machine, Consumer<TallyHistory.Read> seen) {
        String request = SimulatedHttp.request("GET", "/rowanplank/tallies/" + tally + "/get", "", "");
        call(zone, machine, request, (made, body) -> {
            Matcher total = TOTAL.matcher(body);
            boolean told = total.find();
            seen.accept(new TallyHistory.Read(tally, made, told ? Long.parseLong(total.group(1)) : -1));
        });
    }

    /** Reads every tally at every machine; the reads are taken for the last ones. */
    void readAllFinally() {
        for (int i = 1; i <= lastTally; i++) {
            for (SimulatedMachine machine : machines.get()) {
                readAt("t" + i, machine.zone(), machine, history.finalReads::add);
            }
        }
    }

    private static boolean isTriedElsewhere(int status) {
        return status == 0 || status == 429 || status / 100 == 5;
    }

    private interface Called {
        void answered(TallyHistory.Attempt made, String body);
    }

    private void call(String zone, SimulatedMachine machine, String request, Called called) {
        long sent = world.nowNanos();
        int life = machine.processStarts();
        http.callFrom(location(zone), machine, request, answer -> called.answered(new TallyHistory.Attempt(location(zone),
                machine.ip, machine.processStarts() == life ? life : -1, sent, world.nowNanos(), answer.status()), answer.body()));
    }

    /** Control nodes in the caller's zone, then all others, in an order of its own. */
    private List<SimulatedMachine> nearestFirst(String zone) {
        List<SimulatedMachine> order = new ArrayList<>(machines.get());
        Collections.shuffle(order, random);
        order.sort((a, b) -> Boolean.compare(!a.zone().equals(zone), !b.zone().equals(zone)));
        return order;
    }
}
