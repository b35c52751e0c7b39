package routerfleet.control;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import routerfleet.simulation.SimulatedNetwork;
import routerfleet.simulation.VirtualWorld;

/**
 * Injects faults into a simulated control plane and ends them again. It never loses more disks at the same time than the
 * control plane tolerates.
 */
final class FaultInjector {
    private static final int RESTART_MS = 900;
    private static final long SLOW_NANOS_PER_BYTE = 3_000;
    private static final long SLOW_DISK_MS = 60;
    private static final long LEAVE_MS = 4_800;
    /** How long to wait for the condition of a conditional fault, and how often to check it. */
    private static final long WATCH_MS = 10_000;
    private static final long WATCH_STEP_NANOS = 700_000;

    private final ControlPlaneSimulation plane;
    private final VirtualWorld world;
    private final SimulatedNetwork network;
    private final SimulatedHttp http;
    private final SimulatedClients clients;
    private final Random random;
    private final List<Runnable> pendingEnds = new ArrayList<>();
    private final Set<String> cuts = new HashSet<>();
    private int activeFaults;
    private boolean ended;

    FaultInjector(ControlPlaneSimulation plane, VirtualWorld world, SimulatedNetwork network, SimulatedHttp http,
            SimulatedClients clients, Random random) {
        this.plane = plane;
        this.world = world;
        this.network = network;
        this.http = http;
        this.clients = clients;
        this.random = random;
    }

    /** Whether no network cut or other temporary fault is active. */
    boolean hasNoActiveFault() {
        return cuts.isEmpty() && activeFaults == 0;
    }

    /** Ends all active faults, injects no further ones, and restores every machine. */
    void endAll() {
        ended = true;
        clients.onAcknowledged(() -> { });
        List.copyOf(pendingEnds).forEach(Runnable::run);
        pendingEnds.clear();
        plane.presentMachines().forEach(this::restore);
        plane.startDataNodes();
    }

    private void restore(SimulatedMachine machine) {
        machine.unfreeze();
        machine.restorePower();
        machine.diskHangs(false);
        machine.diskLatencyMs(2);
        machine.disk().setFull(false);
        machine.start(false, plane.seeds());
    }

    /** Runs the end of a fault after a delay, or earlier if all faults are ended. */
    private void endAfter(long afterMs, Runnable end) {
        activeFaults++;
        Runnable once = new Runnable() {
            private boolean done;

            @Override
            public void run() {
                if (!done) {
                    done = true;
                    activeFaults--;
                    pendingEnds.remove(this);
                    end.run();
                }
            }
        };
        pendingEnds.add(once);
        world.afterMs(afterMs, once);
    }

    private void restartAfter(SimulatedMachine machine, long afterMs) {
        endAfter(afterMs, () -> {
            machine.restorePower();
            machine.start(false, plane.seeds());
        });
    }

    /** Injects a fault; does nothing after {@link #endAll}. */
    void inject(FaultPlan.Fault fault) {
        if (ended) {
            return;
        }
        plane.observations().injectedFaults++;
        List<SimulatedMachine> all = plane.presentMachines();
        SimulatedMachine leader = all.stream().filter(m -> m.service() != null && m.service().group().isLeader())
                .findFirst().orElse(null);
        SimulatedMachine machine = leader != null && fault.variant() % 3 == 0 ? leader
                : all.get(fault.target() % all.size());
        switch (fault.kind()) {
            case KILL -> kill(machine);
            case POWER -> powerLoss(machine, fault.durationMs());
            case POWER_IN_A_WRITE -> powerLossDuringWrite(machine, fault);
            case FREEZE -> freeze(machine, fault.durationMs());
            case STOP -> stop(machine);
            case KILL_DATA_NODE -> plane.restartDataNode(fault.target(), true);
            case WIPE -> wipe(machine, fault.durationMs() / 2);
            case REPLACE -> replace(machine, fault);
            case REPLACE_PLANNED -> replacePlanned(machine, fault);
            case DISK_SLOW, DISK_HANGS, DISK_FULL -> impairDisk(machine, fault);
            default -> injectIntoSeveral(fault, machine, all);
        }
    }

    private void injectIntoSeveral(FaultPlan.Fault fault, SimulatedMachine machine, List<SimulatedMachine> all) {
        switch (fault.kind()) {
            case CUT_OFF, CUT_OFF_FROM_ALL, CUT_ONE_WAY -> cutOff(machine, fault);
            case SPLIT -> split(fault.durationMs());
            case RESET -> network.reset(machine.ip);
            case KILL_ALL -> all.forEach(this::kill);
            case POWER_ALL -> all.forEach(m -> powerLoss(m, fault.durationMs() / 3));
            case POWER_IN_SNAPSHOTS -> powerLossDuringSnapshots(all, fault);
            case POWER_EVERYTHING -> powerLossOfEverything(fault.durationMs() / 3);
            case BEHIND -> minorityBehind(fault);
            case ANSWERS_LOST -> {
                http.dropResponses(0.6);
                endAfter(fault.durationMs(), () -> http.dropResponses(0));
            }
            case SLOW_LINK -> {
                network.slow(machine.ip, SLOW_NANOS_PER_BYTE);
                endAfter(fault.durationMs(), () -> network.slow(machine.ip, 0));
            }
            case STRIKE_AFTER_ACK -> clients.onAcknowledged(() -> injectAfterAck(fault));
            case WIPE_AND_POWER -> wipeAndPower(fault);
            case AT_A_CHANGE -> injectWhen(fault, world.nowMs() + WATCH_MS, m -> m.service().group().isChangingMembers());
            case AT_AN_ELECTION -> injectWhen(fault, world.nowMs() + WATCH_MS, m -> m.service().group().isElected()
                    && !m.service().group().isLeader());
            default -> throw new IllegalStateException("unknown " + fault.kind());
        }
    }

    /** Injects the fault as soon as a condition holds for a machine; it may hold for only a few milliseconds. */
    private void injectWhen(FaultPlan.Fault fault, long untilMs, Predicate<SimulatedMachine> holds) {
        if (ended || world.nowMs() > untilMs) {
            return;
        }
        for (SimulatedMachine machine : plane.presentMachines()) {
            if (machine.service() != null && !machine.isFrozen() && holds.test(machine)) {
                injectInto(machine, fault);
                return;
            }
        }
        world.after(WATCH_STEP_NANOS, () -> injectWhen(fault, untilMs, holds));
    }

    private void injectInto(SimulatedMachine machine, FaultPlan.Fault fault) {
        List<SimulatedMachine> others = new ArrayList<>(plane.presentMachines());
        others.remove(machine);
        SimulatedMachine other = others.get(fault.target() % others.size());
        switch (fault.variant() % 8) {
            case 0 -> kill(machine);
            case 1 -> powerLoss(machine, fault.durationMs() / 3);
            case 2 -> wipe(machine, fault.durationMs() / 3);
            case 3 -> cutOff(machine, fault.withKind(FaultPlan.Kind.CUT_OFF));
            case 4 -> split(fault.durationMs());
            case 5 -> wipe(other, fault.durationMs() / 3);
            case 6 -> plane.presentMachines().forEach(this::kill);
            default -> wipeAndPower(fault);
        }
    }

    // ---- single machines

    private void kill(SimulatedMachine machine) {
        if (machine.isUp()) {
            machine.kill();
            restartAfter(machine, 100 + random.nextInt(RESTART_MS));
        }
    }

    private void powerLoss(SimulatedMachine machine, long durationMs) {
        if (machine.isUp()) {
            machine.losePower();
            restartAfter(machine, 100 + durationMs);
        }
    }

    private void powerLossDuringWrite(SimulatedMachine machine, FaultPlan.Fault fault) {
        if (machine.isUp()) {
            machine.disk().failPowerAfter(fault.variant() % 8);
            endAfter(300, () -> {
                if (machine.isUp()) {
                    machine.losePower();
                }
                machine.disk().failPowerAfter(-1); // if killed meanwhile, the disk must not fail in the next process
                restartAfter(machine, ended ? 0 : fault.durationMs() / 3);
            });
        }
    }

    /** Each machine loses power while writing its next snapshot, after the same number of disk operations. */
    private void powerLossDuringSnapshots(List<SimulatedMachine> all, FaultPlan.Fault fault) {
        all.forEach(m -> m.disk().failPowerInSnapshotAfter(fault.variant() % 4));
        endAfter(fault.durationMs(), () -> {
            all.forEach(m -> m.disk().failPowerInSnapshotAfter(-1));
            all.stream().filter(m -> !m.isUp()).forEach(m -> restartAfter(m, ended ? 0 : RESTART_MS));
        });
    }

    private void freeze(SimulatedMachine machine, long durationMs) {
        machine.freeze();
        endAfter(durationMs, machine::unfreeze);
    }

    private void stop(SimulatedMachine machine) {
        if (machine.isUp() && machine.service() != null) {
            SimulatedMachine stopping = machine;
            machine.process().execute(
                    () -> stopping.service().prepareToStop(() -> world.after(0, () -> kill(stopping)), LEAVE_MS));
        }
    }

    private void wipe(SimulatedMachine machine, long durationMs) {
        if (plane.mayLoseDisk() && !machine.diskLossPending()) {
            machine.wipe();
            restartAfter(machine, 100 + durationMs);
        } else {
            powerLoss(machine, durationMs);
        }
    }

    private void replace(SimulatedMachine machine, FaultPlan.Fault fault) {
        if (plane.mayLoseDisk() && !machine.diskLossPending()) {
            machine.remove();
            SimulatedMachine successor = plane.addMachine();
            successor.diskLossPending(true);
            restartAfter(successor, 200 + fault.durationMs() / 3);
        }
    }

    private void replacePlanned(SimulatedMachine machine, FaultPlan.Fault fault) {
        if (!plane.mayLoseDisk() || machine.diskLossPending()) {
            return;
        }
        SimulatedMachine successor = plane.addMachine();
        successor.diskLossPending(true);
        machine.diskLossPending(true);
        restartAfter(successor, 0);
        endAfter(1_500 + fault.durationMs() / 3, () -> {
            Runnable remove = () -> world.after(0, () -> {
                if (!machine.isRemoved() && !ended) {
                    machine.remove();
                    plane.markUnhealthy();
                    successor.diskLossPending(true); // it may have been killed before it could leave in order
                }
            });
            if (machine.isUp() && machine.service() != null && !ended) {
                machine.process().execute(() -> machine.service().prepareToStop(remove, LEAVE_MS));
                world.afterMs(LEAVE_MS + 1_000, remove);
            } else if (!ended) {
                remove.run();
            } else {
                machine.diskLossPending(false);
            }
        });
    }

    private void impairDisk(SimulatedMachine machine, FaultPlan.Fault fault) {
        switch (fault.kind()) {
            case DISK_SLOW -> machine.diskLatencyMs(SLOW_DISK_MS);
            case DISK_HANGS -> machine.diskHangs(true);
            default -> machine.disk().setFull(true);
        }
        endAfter(fault.durationMs(), () -> {
            machine.diskLatencyMs(2);
            machine.diskHangs(false);
            machine.disk().setFull(false);
        });
    }

    // ---- links

    private void cutOff(SimulatedMachine machine, FaultPlan.Fault fault) {
        List<String> others = new ArrayList<>(plane.presentMachines().stream().map(m -> m.ip).toList());
        others.remove(machine.ip);
        if (fault.kind() == FaultPlan.Kind.CUT_OFF_FROM_ALL) {
            others.addAll(plane.dataNodeAddresses());
        }
        boolean both = fault.kind() != FaultPlan.Kind.CUT_ONE_WAY;
        List<String> newCuts = new ArrayList<>();
        for (String other : others) {
            if (both || fault.variant() % 2 == 0) {
                newCuts.add(machine.ip + ">" + other);
            }
            if (both || fault.variant() % 2 == 1) {
                newCuts.add(other + ">" + machine.ip);
            }
        }
        cut(newCuts, fault.durationMs());
    }

    private void split(long durationMs) {
        List<SimulatedMachine> all = new ArrayList<>(plane.presentMachines());
        Collections.shuffle(all, random);
        List<String> newCuts = new ArrayList<>();
        for (int i = 0; i < all.size() / 2; i++) {
            for (int j = all.size() / 2; j < all.size(); j++) {
                newCuts.add(all.get(i).ip + ">" + all.get(j).ip);
                newCuts.add(all.get(j).ip + ">" + all.get(i).ip);
            }
        }
        cut(newCuts, durationMs);
    }

    private void cut(List<String> directions, long durationMs) {
        List<String> newCuts = directions.stream().filter(cuts::add).toList();
        newCuts.forEach(direction -> network.cut(direction.split(">")[0], direction.split(">")[1]));
        endAfter(durationMs, () -> newCuts.forEach(direction -> {
            cuts.remove(direction);
            network.heal(direction.split(">")[0], direction.split(">")[1]);
        }));
    }

    // ---- many at once

    private void powerLossOfEverything(long durationMs) {
        for (int i = 0; i < plane.dataNodeAddresses().size(); i++) {
            plane.restartDataNode(i, false);
        }
        endAfter(durationMs, plane::startDataNodes);
        plane.presentMachines().forEach(m -> powerLoss(m, durationMs));
    }

    /** A minority misses updates; then one of the others loses its disk, the rest lose power, and the cut ends. */
    private void minorityBehind(FaultPlan.Fault fault) {
        List<SimulatedMachine> all = new ArrayList<>(plane.presentMachines());
        Collections.shuffle(all, random);
        int minority = (all.size() - 1) / 2;
        List<String> newCuts = new ArrayList<>();
        for (int i = 0; i < minority; i++) {
            for (int j = minority; j < all.size(); j++) {
                newCuts.add(all.get(i).ip + ">" + all.get(j).ip);
                newCuts.add(all.get(j).ip + ">" + all.get(i).ip);
            }
        }
        cut(newCuts, fault.durationMs());
        world.afterMs(fault.durationMs(), () -> {
            if (!ended) {
                wipe(all.get(minority), 300);
                all.subList(minority + 1, all.size()).forEach(m -> powerLoss(m, fault.durationMs() / 2));
            }
        });
    }

    private void injectAfterAck(FaultPlan.Fault fault) {
        clients.onAcknowledged(() -> { });
        if (!ended) {
            world.afterMs(fault.variant() % 3 == 0 ? fault.variant() % 30 : 0, () -> wipeAndPower(fault));
        }
    }

    /** Loses as many disks as tolerated; all other machines lose power, in half of the variants data nodes too. */
    private void wipeAndPower(FaultPlan.Fault fault) {
        if (ended) {
            return;
        }
        List<SimulatedMachine> all = new ArrayList<>(plane.presentMachines());
        Collections.shuffle(all, random);
        if (fault.variant() % 2 == 0) {
            powerLossOfEverything(fault.durationMs() / 3);
        }
        for (SimulatedMachine machine : all) {
            wipe(machine, fault.durationMs() / 3);
        }
    }
}
