package routerfleet.control;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.BiPredicate;
import routerfleet.simulation.SimulatedNetwork;
import routerfleet.simulation.VirtualWorld;

/**
 * Strikes a simulated core that keeps tallies, ends what it has begun, and writes down both. No more disks are lost at
 * once than is to be borne, and none while so many machines have been gone for a while that adds may stand on too few.
 */
final class TallyFaultInjector implements SimulatedHttp.Links {
    private static final int RESTART_MS = 900;
    private static final long SLOW_NANOS_A_BYTE = 3_000;
    private static final long SLOW_DISK_MS = 60;
    private static final long DISK_MS = 2;
    /** A machine that is gone for longer may be missed by the others. */
    private static final long GONE_MS = 1_000;

    private final TallySimulation core;
    private final VirtualWorld world;
    private final SimulatedNetwork network;
    private final SimulatedHttp http;
    private final TallyClients clients;
    private final TallyHistory history;
    private final Random random;
    private final List<Runnable> undo = new ArrayList<>();
    private final Map<String, Integer> cuts = new HashMap<>();
    private final Set<String> missed = new HashSet<>();
    private boolean over;

    TallyFaultInjector(TallySimulation core, VirtualWorld world, SimulatedNetwork network, SimulatedHttp http,
            TallyClients clients, TallyHistory history, Random random) {
        this.core = core;
        this.world = world;
        this.network = network;
        this.http = http;
        this.clients = clients;
        this.history = history;
        this.random = random;
    }

    @Override
    public boolean canReach(String from, String to) {
        return !cuts.containsKey(from + ">" + to);
    }

    /** Whether nothing is the matter. */
    boolean isIdle() {
        return undo.isEmpty();
    }

    /** All has been well for long: what was lost has been made up for. */
    void lossesRepaired() {
        missed.clear();
        core.machines().forEach(m -> m.diskLossPending(false));
    }

    /** Ends everything that has been begun. */
    void endAll() {
        over = true;
        clients.onAcknowledged(machine -> { });
        while (!undo.isEmpty()) {
            undo.get(0).run();
        }
    }

    /** As many disks as may be are lost at once, and everything else loses its power. */
    void injectFinalFault() {
        over = false;
        wipeAndPower(null, RESTART_MS);
        over = true;
    }

    /** Writes trouble down from now on, and ends it after a while or with everything else. */
    private void trouble(String what, boolean isCut, long forMs, Runnable end) {
        long from = world.nowNanos();
        int at = history.disruptions.size();
        history.disruptions.add(new TallyHistory.Disruption(what, isCut, from, TallyHistory.OPEN));
        Runnable once = new Runnable() {
            @Override
            public void run() {
                if (undo.remove(this)) {
                    end.run();
                    history.disruptions.set(at, new TallyHistory.Disruption(what, isCut, from, world.nowNanos()));
                }
            }
        };
        undo.add(once);
        world.afterMs(forMs, once);
    }

    void inject(TallyFaultPlan.Fault fault) {
        if (over) {
            return;
        }
        List<SimulatedMachine> all = core.machines();
        SimulatedMachine machine = all.get(fault.target() % all.size());
        long forMs = fault.durationMs();
        switch (fault.kind()) {
            case KILL -> kill(machine, 100 + random.nextInt(RESTART_MS));
            case KILL_ALL -> all.forEach(m -> kill(m, 100 + random.nextInt(RESTART_MS)));
            case POWER -> power(machine, forMs);
            case POWER_ZONE -> inZone(machine.zone()).forEach(m -> power(m, forMs));
            case POWER_ALL -> all.forEach(
                    m -> power(m, fault.variant() % 2 == 0 ? 100 + random.nextInt(700) : forMs / 3));
            case POWER_IN_A_WRITE -> powerInAWrite(machine, fault);
            case FREEZE -> freeze(machine, forMs);
            case RESET -> trouble("reset " + machine.ip, false, 0, () -> network.reset(machine.ip));
            case ANSWERS_LOST -> {
                http.dropResponses(0.5);
                trouble("answers lost", false, forMs, () -> http.dropResponses(0));
            }
            case SLOW_LINK -> {
                network.slow(machine.ip, SLOW_NANOS_A_BYTE);
                trouble("slow link " + machine.ip, false, forMs, () -> network.slow(machine.ip, 0));
            }
            case DISK_SLOW, DISK_HANGS, DISK_FULL -> disk(machine, fault);
            default -> cutOrWipe(fault, machine, all);
        }
    }

    private void cutOrWipe(TallyFaultPlan.Fault fault, SimulatedMachine machine, List<SimulatedMachine> all) {
        List<String> zones = core.zones();
        String zone = zones.get(fault.target() % zones.size());
        String next = zones.get((fault.target() + 1) % zones.size());
        switch (fault.kind()) {
            case CUT_ZONE -> cut(fault, (from, to) -> from.equals(zone) != to.equals(zone));
            case CUT_HALVES -> {
                List<String> side = new ArrayList<>(zones);
                Collections.shuffle(side, random);
                List<String> half = side.subList(0, Math.max(1, side.size() / 2));
                cut(fault, (from, to) -> half.contains(from) != half.contains(to));
            }
            case CUT_ONE_WAY -> cut(fault, fault.variant() % 2 == 0
                    ? (from, to) -> from.equals(zone) && !to.equals(zone)
                    : (from, to) -> from.equals(zone) && to.equals(next));
            case CUT_BRIDGE -> cut(fault, (from, to) -> from.equals(zone) && to.equals(next)
                    || from.equals(next) && to.equals(zone));
            case CUT_MACHINE -> cutMachine(machine, fault.durationMs());
            case WIPE -> wipe(machine, fault.durationMs() / 3);
            case WIPE_ZONE -> inZone(machine.zone()).forEach(m -> wipe(m, fault.durationMs() / 3));
            case WIPE_ON_EACH_SIDE -> {
                wipe(any(inZone(zone)), fault.durationMs() / 3);
                wipe(any(inZone(next)), fault.durationMs() / 3);
            }
            case WIPE_AND_POWER -> wipeAndPower(null, fault.durationMs() / 6);
            case WIPE_AFTER_ACK -> clients.onAcknowledged(acknowledging -> {
                clients.onAcknowledged(m -> { });
                if (!over) {
                    wipeAndPower(fault.variant() % 4 == 0 ? null : acknowledging, fault.durationMs() / 6);
                }
            });
            default -> throw new IllegalStateException("unknown " + fault.kind() + " among " + all.size());
        }
    }

    private List<SimulatedMachine> inZone(String zone) {
        return core.machines().stream().filter(m -> m.zone().equals(zone)).toList();
    }

    private SimulatedMachine any(List<SimulatedMachine> some) {
        return some.get(random.nextInt(some.size()));
    }

    // ---- machines

    private void startsAfter(String what, SimulatedMachine machine, long afterMs) {
        if (afterMs > GONE_MS) {
            missed.add(machine.ip);
        }
        trouble(what + " " + machine.ip, false, afterMs, () -> {
            machine.restorePower();
            machine.start(false, core.seeds());
        });
    }

    private void kill(SimulatedMachine machine, long forMs) {
        if (machine.isUp()) {
            machine.kill();
            startsAfter("kill", machine, forMs);
        }
    }

    private void power(SimulatedMachine machine, long forMs) {
        if (machine.isUp()) {
            machine.losePower();
            startsAfter("power", machine, 100 + forMs);
        }
    }

    private void powerInAWrite(SimulatedMachine machine, TallyFaultPlan.Fault fault) {
        if (machine.isUp()) {
            machine.disk().failPowerAfter(fault.variant() % 8);
            missed.add(machine.ip);
            trouble("power in a write " + machine.ip, false, 300, () -> {
                machine.disk().failPowerAfter(-1);
                if (machine.isUp()) {
                    machine.losePower();
                }
                startsAfter("power", machine, over ? 0 : fault.durationMs() / 3);
            });
        }
    }

    private void freeze(SimulatedMachine machine, long forMs) {
        if (machine.isUp() && !machine.isFrozen()) {
            machine.freeze();
            missed.add(machine.ip);
            trouble("freeze " + machine.ip, false, forMs, machine::unfreeze);
        }
    }

    private void disk(SimulatedMachine machine, TallyFaultPlan.Fault fault) {
        missed.add(machine.ip);
        String what = fault.kind() + " " + machine.ip;
        switch (fault.kind()) {
            case DISK_SLOW -> {
                machine.diskLatencyMs(SLOW_DISK_MS);
                trouble(what, false, fault.durationMs(), () -> machine.diskLatencyMs(DISK_MS));
            }
            case DISK_HANGS -> {
                machine.diskHangs(true);
                trouble(what, false, fault.durationMs(), () -> machine.diskHangs(false));
            }
            default -> {
                machine.disk().setFull(true);
                trouble(what, false, fault.durationMs(), () -> machine.disk().setFull(false));
            }
        }
    }

    private boolean mayLoseItsDisk(SimulatedMachine machine) {
        Set<String> others = new HashSet<>(missed);
        core.machines().stream().filter(SimulatedMachine::diskLossPending).forEach(m -> others.add(m.ip));
        others.remove(machine.ip);
        long lost = core.machines().stream().filter(SimulatedMachine::diskLossPending).count();
        return !machine.diskLossPending() && lost < core.tolerated() && others.size() <= core.tolerated();
    }

    private void wipe(SimulatedMachine machine, long forMs) {
        if (machine.isUp() && mayLoseItsDisk(machine)) {
            machine.wipe();
            history.diskLosses.add(new TallyHistory.DiskLoss(machine.ip, world.nowNanos()));
            startsAfter("wipe", machine, 100 + forMs);
        } else {
            power(machine, forMs);
        }
    }

    /** As many disks as may be are lost, of one machine first, and all other machines lose power. */
    private void wipeAndPower(SimulatedMachine first, long forMs) {
        List<SimulatedMachine> all = new ArrayList<>(core.machines());
        Collections.shuffle(all, random);
        if (first != null) {
            all.remove(first);
            all.add(0, first);
        }
        List<SimulatedMachine> lost = new ArrayList<>();
        for (SimulatedMachine machine : all) {
            if (machine.isUp() && mayLoseItsDisk(machine)) {
                machine.wipe();
                history.diskLosses.add(new TallyHistory.DiskLoss(machine.ip, world.nowNanos()));
                lost.add(machine);
            }
        }
        lost.forEach(m -> startsAfter("wipe", m, 100 + forMs));
        all.forEach(m -> power(m, forMs));
    }

    // ---- ways

    /** @param zones from which zone to which nothing passes */
    private void cut(TallyFaultPlan.Fault fault, BiPredicate<String, String> zones) {
        List<String> ways = new ArrayList<>();
        for (SimulatedMachine to : core.machines()) {
            for (SimulatedMachine from : core.machines()) {
                if (zones.test(from.zone(), to.zone())) {
                    ways.add(from.ip + ">" + to.ip);
                }
            }
            for (String zone : core.zones()) {
                if (zones.test(zone, to.zone())) {
                    ways.add(TallyClients.location(zone) + ">" + to.ip);
                }
                if (zones.test(to.zone(), zone)) {
                    ways.add(to.ip + ">" + TallyClients.location(zone));
                }
            }
        }
        cut(fault.kind().name(), ways, fault.durationMs());
    }

    private void cutMachine(SimulatedMachine machine, long forMs) {
        List<String> ways = new ArrayList<>();
        core.machines().stream().filter(m -> m != machine).forEach(other -> {
            ways.add(machine.ip + ">" + other.ip);
            ways.add(other.ip + ">" + machine.ip);
        });
        cut("CUT_MACHINE " + machine.ip, ways, forMs);
    }

    private void cut(String what, List<String> ways, long forMs) {
        List<Integer> written = new ArrayList<>();
        List<Integer> writtenOfCallers = new ArrayList<>();
        long from = world.nowNanos();
        for (String way : ways) {
            String[] ends = way.split(">");
            boolean callers = way.contains("callers");
            List<TallyHistory.Cut> all = callers ? history.callerCuts : history.cuts;
            (callers ? writtenOfCallers : written).add(all.size());
            all.add(new TallyHistory.Cut(ends[0], ends[1], from, TallyHistory.OPEN));
            if (cuts.merge(way, 1, Integer::sum) == 1) {
                network.cut(ends[0], ends[1]);
            }
        }
        trouble(what, true, forMs, () -> {
            ways.forEach(this::heal);
            written.forEach(i -> history.cuts.set(i, ended(history.cuts.get(i))));
            writtenOfCallers.forEach(i -> history.callerCuts.set(i, ended(history.callerCuts.get(i))));
        });
    }

    private void heal(String way) {
        if (cuts.merge(way, -1, Integer::sum) == 0) {
            cuts.remove(way);
            network.heal(way.split(">")[0], way.split(">")[1]);
        }
    }

    private TallyHistory.Cut ended(TallyHistory.Cut cut) {
        return new TallyHistory.Cut(cut.one(), cut.other(), cut.fromNanos(), world.nowNanos());
    }
}
