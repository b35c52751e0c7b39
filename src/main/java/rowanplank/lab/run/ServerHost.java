package rowanplank.lab.run;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import net.openhft.hashing.LongHashFunction;
import rowanplank.lab.day.Day;
import rowanplank.lab.day.Fault;
import rowanplank.lab.site.PageServer;
import rowanplank.lab.site.Roster;
import rowanplank.lab.site.Roster.Entry;
import rowanplank.lab.site.Roster.Phase;
import rowanplank.lab.trace.Event;

/** A place for a page server: the machine that stands there, one after the other, and the lives of its process. */
public final class ServerHost {
    private static final int CELL = 4;
    /** A machine that falls silent is noticed so many times as late as a process that ends. */
    private static final int SILENT_NOTICE = 3;
    /** It stays so much longer than nodes need to stop sending, to see those that do not. */
    private static final Duration DRAINED_FOR = Duration.ofSeconds(1);

    private final Ground ground;
    private final ServerPark park;
    private final int place;
    private final int hall;
    private final Day.Kind kind;
    /** The faults in force here. */
    private final Map<Fault.Kind, Double> faults = new EnumMap<>(Fault.Kind.class);
    private ServerMachine machine;
    private String name;
    private double speed;
    private ServerMachine.Running process;
    private PageServer server;
    private Entry entry;
    private boolean draining;
    /** The life that stood last at this address. */
    private int before = Event.NONE;

    ServerHost(Ground ground, ServerPark park, int place, Day.Kind kind) {
        this.ground = ground;
        this.park = park;
        this.place = place;
        this.kind = kind;
        hall = ground.hall(place);
    }

    private static String name(long seed, int machine) {
        return "s-" + String.format("%08x", (int) LongHashFunction.xx(seed).hashInt(machine));
    }

    /** Sets up a new machine. @param address where it stands; null for an address of its own */
    private void setUp(InetSocketAddress address) {
        int number = park.nextMachine();
        name = name(ground.day().seed(), number);
        speed = park.speed(kind, number);
        machine = ground.machine(name, hall, number);
        if (address == null) {
            before = Event.NONE;
        } else {
            machine.takeOver(address);
        }
        entry = new Entry(name, address != null ? address : machine.address(),
                ground.day().halls().get(hall), kind.name(), place / CELL, Phase.GONE, kind.cores(), 0, Event.NONE);
    }

    /** The one that has been there for long. */
    void begin() {
        setUp(null);
        boot(false);
        park.roster().known(entry);
    }

    private void boot(boolean cold) {
        draining = false;
        int number = park.nextLife();
        ServerMachine.Running booted = machine.boot();
        process = booted;
        PageServer.Setup setup = new PageServer.Setup(number, before, name, hall, kind, speed, cold,
                ground.day().servers(), ground.day().rules(), ground.day().nodes().probes());
        server = new PageServer(setup, park.works(), ground::nodeAt, booted.loop(), ground.random("server " + number),
                ground.trace(), () -> fell(booted));
        try {
            server.start(entry.address());
        } catch (IOException e) {
            NodeHost.rethrow(e);
        }
        before = number;
        faults.forEach(this::apply);
        entry = new Entry(entry.name(), entry.address(), entry.hall(), entry.kind(), entry.cell(), Phase.READY,
                entry.size(), cold ? ground.now().toEpochMilli() : 0, number);
    }

    private void list(Phase phase) {
        entry = entry.with(phase);
        park.roster().change(ground.nanos(), entry);
    }

    boolean isRunning() {
        return process != null && process.isAlive();
    }

    /** Whether it runs and is not about to end. */
    public boolean isUp() {
        return isRunning() && !draining;
    }

    /** The number of its life. */
    public int life() {
        return entry.server();
    }

    private void fell(ServerMachine.Running which) {
        ground.after(Duration.ZERO, which::exit);
        list(Phase.GONE);
    }

    void kill() {
        process.kill();
        server.killed();
        list(Phase.GONE);
    }

    /** It starts once more, cold, under its name. */
    void startAgain() {
        if (!isRunning()) {
            boot(true);
            park.roster().change(ground.nanos(), entry);
        }
    }

    /**
     * It drains, ends once nothing is left and nodes have had the time to hear of it, and starts again.
     *
     * @param until when it starts again at the earliest, nanoseconds since the beginning
     */
    void drain(long until) {
        draining = true;
        list(Phase.DRAINING);
        Day.Discovery d = ground.day().discovery();
        Duration heard = d.notices().plus(d.delay()).plus(d.spread()).plus(ground.day().rules().drainGrace())
                .plus(DRAINED_FOR);
        long earliest = ground.nanos() + heard.toNanos();
        ServerMachine.Running draining = process;
        server.drain(() -> ground.at(earliest, () -> drained(draining, until)));
    }

    private void drained(ServerMachine.Running which, long until) {
        if (which.isAlive()) {
            server.stop();
            ground.after(Duration.ZERO, which::exit);
            list(Phase.GONE);
        }
        ground.at(Math.max(until, ground.nanos() + 1), this::startAgain);
    }

    /** A new machine under a new name takes its place. */
    void replace(boolean sameAddress) {
        if (isRunning()) {
            kill();
        }
        setUp(sameAddress ? entry.address() : null);
        boot(true);
        park.roster().change(ground.nanos(), entry);
    }

    void vanish() {
        machine.vanish();
        int silent = life();
        Duration notices = ground.day().discovery().notices();
        ground.after(notices.multipliedBy(SILENT_NOTICE - 1), () -> {
            if (machine.isSilent() && life() == silent && isRunning()) {
                list(Phase.GONE);
            }
        });
    }

    void appear() {
        machine.appear();
        if (isRunning() && entry.phase() == Phase.GONE) {
            list(Phase.READY);
        }
    }

    void begin(Fault.Kind fault, double size) {
        faults.put(fault, size);
        if (isRunning()) {
            apply(fault, size);
        }
    }

    void end(Fault.Kind fault) {
        faults.remove(fault);
        if (isRunning()) {
            apply(fault, fault == Fault.Kind.SLOW ? 1 : 0);
        }
    }

    private void apply(Fault.Kind fault, double size) {
        switch (fault) {
            case SLOW -> server.slow(size);
            case PAUSES -> server.pauses(millis(size));
            case ERRORS -> server.errors(size);
            case SPOILT -> server.spoilt(size);
            case EXTRAS -> server.extras(size);
            case RESETS -> server.resets(size);
            case SILENT -> server.silent(size);
            case REPORTS_LATE -> server.reportsLate(millis(size));
            case REPORTS_BROKEN -> server.reportsBroken(size);
            default -> throw new IllegalArgumentException("no fault of a running server: " + fault);
        }
    }

    static Duration millis(double count) {
        return Duration.ofNanos((long) (count * 1e6));
    }
}
