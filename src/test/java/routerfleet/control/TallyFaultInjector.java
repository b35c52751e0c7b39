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
 * Injects faults into a simulated control plane with tallies, ends them, and records both. No more disks are lost at once
 * than is tolerated, and none while so many machines have been unavailable for a while that acknowledged adds may be on
 * too few disks.
 */
final class TallyFaultInjector implements SimulatedHttp.Links {
    private static final int RESTART_MS = 900;
    private static final long SLOW_NANOS_A_BYTE = 3_000;
    private static final long SLOW_DISK_MS = 60;
    private static final long DISK_MS = 2;
    /** A machine that is unavailable for longer may lack entries that the others hold. */
    private static final long MISSED_MS = 1_000;

    private final TallySimulation simulation;
    private final VirtualWorld world;
    private final SimulatedNetwork network;
    private final SimulatedHttp http;
    private final TallyClients clients;
    private final TallyHistory history;
    private final Random random;
    private final List<Runnable> activeFaults = new ArrayList<>();
    private final Map<String, Integer> cuts = new HashMap<>();
    private final Set<String> missed = new HashSet<>();
    private boolean finished;

    TallyFaultInjector(TallySimulation simulation, VirtualWorld world, SimulatedNetwork network, SimulatedHttp http,
            TallyClients clients, TallyHistory history, Random random) {
        this.simulation = simulation;
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

    /** Whether no fault is active. */
    boolean isIdle() {
        return activeFaults.isEmpty();
    }

    /** Records that the system has been healthy for long enough to make up for lost disks and missed entries. */
    void lossesRepaired() {
        missed.clear();
        simulation.machines().forEach(m -> m.diskLossPending(false));
    }

    /** Ends all active faults. */
    void endAll() {
        finished = true;
        clients.onAcknowledged(machine -> { });
        while (!activeFaults.isEmpty()) {
            activeFaults.get(0).run();
        }
    }

    /** Wipes as many disks as is tolerated at once, and makes all other machines lose power. */
    void injectFinalFault() {
        finished = false;
        wipeAndPower(null, RESTART_MS);
        finished = true;
    }

    /** Records a disruption that begins now, and ends it after a while or together with all others. */
    private void beginDisruption(String description, boolean isCut, long durationMs, Runnable end) {
        long from = world.nowNanos();
        int at = history.disruptions.size();
        history.disruptions.add(new TallyHistory.Disruption(description, isCut, from, TallyHistory.OPEN));
        Runnable once = new Runnable() {
            @Override
            public void run() {
                if (activeFaults.remove(this)) {
                    end.run();
                    history.disruptions.set(at, new TallyHistory.Disruption(description, isCut, from, world.nowNanos()));
                }
            }
        };
        activeFaults.add(once);
        world.afterMs(durationMs, once);
    }

    void inject(TallyFaultPlan.Fault fault) {
        if (finished) {
            return;
        }
        List<SimulatedMachine> all = simulation.machines();
        SimulatedMachine machine = all.get(fault.target() % all.size());
        long durationMs = fault.durationMs();
        switch (fault.kind()) {
            case KILL -> kill(machine, 100 + random.nextInt(RESTART_MS));
            case KILL_ALL -> all.forEach(m -> kill(m, 100 + random.nextInt(RESTART_MS)));
            case POWER -> losePower(machine, durationMs);
            case POWER_ZONE -> inZone(machine.zone()).forEach(m -> losePower(m, durationMs));
            case POWER_ALL -> all.forEach(
                    m -> losePower(m, fault.variant() % 2 == 0 ? 100 + random.nextInt(700) : durationMs / 3));
            case POWER_IN_A_WRITE -> losePowerDuringWrite(machine, fault);
            case FREEZE -> freeze(machine, durationMs);
            case RESET -> beginDisruption("reset " + machine.ip, false, 0, () -> network.reset(machine.ip));
            case ANSWERS_LOST -> {
                http.dropResponses(0.5);
                beginDisruption("answers lost", false, durationMs, () -> http.dropResponses(0));
            }
            case SLOW_LINK -> {
                network.slow(machine.ip, SLOW_NANOS_A_BYTE);
                beginDisruption("slow link " + machine.ip, false, durationMs, () -> network.slow(machine.ip, 0));
            }
            case DISK_SLOW, DISK_HANGS, DISK_FULL -> disk(machine, fault);
            default -> cutOrWipe(fault, machine, all);
        }
    }

    private void cutOrWipe(TallyFaultPlan.Fault fault, SimulatedMachine machine, List<SimulatedMachine> all) {
        List<String> zones = simulation.zones();
        String zone = zones.get(fault.target() % zones.size());
        String nextZone = zones.get((fault.target() + 1) % zones.size());
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
                    : (from, to) -> from.equals(zone) && to.equals(nextZone));
            case CUT_BRIDGE -> cut(fault, (from, to) -> from.equals(zone) && to.equals(nextZone)
                    || from.equals(nextZone) && to.equals(zone));
            case CUT_MACHINE -> cutMachine(machine, fault.durationMs());
            case WIPE -> wipe(machine, fault.durationMs() / 3);
            case WIPE_ZONE -> inZone(machine.zone()).forEach(m -> wipe(m, fault.durationMs() / 3));
            case WIPE_ON_EACH_SIDE -> {
                wipe(randomOf(inZone(zone)), fault.durationMs() / 3);
                wipe(randomOf(inZone(nextZone)), fault.durationMs() / 3);
            }
            case WIPE_AND_POWER -> wipeAndPower(null, fault.durationMs() / 6);
            case WIPE_AFTER_ACK -> clients.onAcknowledged(acknowledging -> {
                clients.onAcknowledged(m -> { });
                if (!finished) {
                    wipeAndPower(fault.variant() % 4 == 0 ? null : acknowledging, fault.durationMs() / 6);
                }
            });
            default -> throw new IllegalStateException("unknown " + fault.kind() + " among " + all.size());
        }
    }

    private List<SimulatedMachine> inZone(String zone) {
        return simulation.machines().stream().filter(m -> m.zone().equals(zone)).toList();
    }

    private SimulatedMachine randomOf(List<SimulatedMachine> some) {
        return some.get(random.nextInt(some.size()));
    }

    // ---- machines

    private void restartAfter(String description, SimulatedMachine machine, long afterMs) {
        if (afterMs > MISSED_MS) {
            missed.add(machine.ip);
        }
        beginDisruption(description + " " + machine.ip, false, afterMs, () -> {
            machine.restorePower();
            machine.start(false, simulation.seeds());
        });
    }

    private void kill(SimulatedMachine machine, long durationMs) {
        if (machine.isUp()) {
            machine.kill();
            restartAfter("kill", machine, durationMs);
        }
    }

    private void losePower(SimulatedMachine machine, long durationMs) {
        if (machine.isUp()) {
            machine.losePower();
            restartAfter("power", machine, 100 + durationMs);
        }
    }

    private void losePowerDuringWrite(SimulatedMachine machine, TallyFaultPlan.Fault fault) {
        if (machine.isUp()) {
            machine.disk().failPowerAfter(fault.variant() % 8);
            missed.add(machine.ip);
            beginDisruption("power in a write " + machine.ip, false, 300, () -> {
                machine.disk().failPowerAfter(-1);
                if (machine.isUp()) {
                    machine.losePower();
                }
                restartAfter("power", machine, finished ? 0 : fault.durationMs() / 3);
            });
        }
    }

    private void freeze(SimulatedMachine machine, long durationMs) {
        if (machine.isUp() && !machine.isFrozen()) {
            machine.freeze();
            missed.add(machine.ip);
            beginDisruption("freeze " + machine.ip, false, durationMs, machine::unfreeze);
        }
    }

    private void disk(SimulatedMachine machine, TallyFaultPlan.Fault fault) {
        missed.add(machine.ip);
        String description = fault.kind() + " " + machine.ip;
        switch (fault.kind()) {
            case DISK_SLOW -> {
                machine.diskLatencyMs(SLOW_DISK_MS);
                beginDisruption(description, false, fault.durationMs(), () -> machine.diskLatencyMs(DISK_MS));
            }
            case DISK_HANGS -> {
                machine.diskHangs(true);
                beginDisruption(description, false, fault.durationMs(), () -> machine.diskHangs(false));
            }
            default -> {
                machine.disk().setFull(true);
                beginDisruption(description, false, fault.durationMs(), () -> machine.disk().setFull(false));
            }
        }
    }

    private boolean mayLoseDisk(SimulatedMachine machine) {
        Set<String> others = new HashSet<>(missed);
        simulation.machines().stream().filter(SimulatedMachine::diskLossPending).forEach(m -> others.add(m.ip));
        others.remove(machine.ip);
        long lost = simulation.machines().stream().filter(SimulatedMachine::diskLossPending).count();
        return !machine.diskLossPending() && lost < simulation.tolerated() && others.size() <= simulation.tolerated();
    }

    private void wipe(SimulatedMachine machine, long durationMs) {
        if (machine.isUp() && mayLoseDisk(machine)) {
            machine.wipe();
            history.diskLosses.add(new TallyHistory.DiskLoss(machine.ip, world.nowNanos()));
            restartAfter("wipe", machine, 100 + durationMs);
        } else {
            losePower(machine, durationMs);
        }
    }

    /** Wipes as many disks as is tolerated, beginning with one machine's, and makes all other machines lose power. */
    private void wipeAndPower(SimulatedMachine first, long durationMs) {
        List<SimulatedMachine> all = new ArrayList<>(simulation.machines());
        Collections.shuffle(all, random);
        if (first != null) {
            all.remove(first);
            all.add(0, first);
        }
        List<SimulatedMachine> lost = new ArrayList<>();
        for (SimulatedMachine machine : all) {
            if (machine.isUp() && mayLoseDisk(machine)) {
                machine.wipe();
                history.diskLosses.add(new TallyHistory.DiskLoss(machine.ip, world.nowNanos()));
                lost.add(machine);
            }
        }
        lost.forEach(m -> restartAfter("wipe", m, 100 + durationMs));
        all.forEach(m -> losePower(m, durationMs));
    }

    // ---- links

    /** @param zones whether the direction between two zones is cut */
    private void cut(TallyFaultPlan.Fault fault, BiPredicate<String, String> zones) {
        List<String> links = new ArrayList<>();
        for (SimulatedMachine to : simulation.machines()) {
            for (SimulatedMachine from : simulation.machines()) {
                if (zones.test(from.zone(), to.zone())) {
                    links.add(from.ip + ">" + to.ip);
                }
            }
            for (String zone : simulation.zones()) {
                if (zones.test(zone, to.zone())) {
                    links.add(TallyClients.location(zone) + ">" + to.ip);
                }
                if (zones.test(to.zone(), zone)) {
                    links.add(to.ip + ">" + TallyClients.location(zone));
                }
            }
        }
        cut(fault.kind().name(), links, fault.durationMs());
    }

    private void cutMachine(SimulatedMachine machine, long durationMs) {
        List<String> links = new ArrayList<>();
        simulation.machines().stream().filter(m -> m != machine).forEach(other -> {
            links.add(machine.ip + ">" + other.ip);
            links.add(other.ip + ">" + machine.ip);
        });
        cut("CUT_MACHINE " + machine.ip, links, durationMs);
    }

    private void cut(String description, List<String> links, long durationMs) {
        List<Integer> recorded = new ArrayList<>();
        List<Integer> recordedOfCallers = new ArrayList<>();
        long from = world.nowNanos();
        for (String link : links) {
            String[] ends = link.split(">");
            boolean callers = link.contains("callers");
            List<TallyHistory.Cut> all = callers ? history.callerCuts : history.cuts;
            (callers ? recordedOfCallers : recorded).add(all.size());
            all.add(new TallyHistory.Cut(ends[0], ends[1], from, TallyHistory.OPEN));
            if (cuts.merge(link, 1, Integer::sum) == 1) {
                network.cut(ends[0], ends[1]);
            }
        }
        beginDisruption(description, true, durationMs, () -> {
            links.forEach(this::heal);
            recorded.forEach(i -> history.cuts.set(i, ended(history.cuts.get(i))));
            recordedOfCallers.forEach(i -> history.callerCuts.set(i, ended(history.callerCuts.get(i))));
        });
    }

    private void heal(String link) {
        if (cuts.merge(link, -1, Integer::sum) == 0) {
            cuts.remove(link);
            network.heal(link.split(">")[0], link.split(">")[1]);
        }
    }

    private TallyHistory.Cut ended(TallyHistory.Cut cut) {
        return new TallyHistory.Cut(cut.one(), cut.other(), cut.fromNanos(), world.nowNanos());
    }
}
