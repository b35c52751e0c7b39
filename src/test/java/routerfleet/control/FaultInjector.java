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

/** Strikes a simulated control plane, and ends what it has begun. Never more disks are lost at once than may be. */
final class FaultInjector {
    private static final int RESTART_MS = 900;
    private static final long SLOW_NANOS_A_BYTE = 3_000;
    private static final long SLOW_DISK_MS = 60;
    private static final long LEAVE_MS = 4_800;
    /** For how long a moment is waited for, and how often is looked. */
    private static final long WATCH_MS = 10_000;
    private static final long WATCH_STEP_NANOS = 700_000;

    private final ControlPlaneSimulation plane;
    private final VirtualWorld world;
    private final SimulatedNetwork network;
    private final SimulatedHttp http;
    private final SimulatedClients clients;
    private final Random random;
    private final List<Runnable> undo = new ArrayList<>();
    private final Set<String> cuts = new HashSet<>();
    private int running;
    private boolean over;

    FaultInjector(ControlPlaneSimulation plane, VirtualWorld world, SimulatedNetwork network, SimulatedHttp http,
            SimulatedClients clients, Random random) {
        this.plane = plane;
        this.world = world;
        this.network = network;
        this.http = http;
        this.clients = clients;
        this.random = random;
    }

    /** Whether nothing is cut, slow or otherwise in trouble on the way. */
    boolean hasNoActiveFault() {
        return cuts.isEmpty() && running == 0;
    }

    /** Everything that has been begun is over, and every machine comes back. */
    void endAll() {
        over = true;
        clients.onAcknowledged(() -> { });
        List.copyOf(undo).forEach(Runnable::run);
        undo.clear();
        plane.presentMachines().forEach(this::comeBack);
        plane.startDataNodes();
    }

    private void comeBack(SimulatedMachine machine) {
        machine.unfreeze();
        machine.restorePower();
        machine.diskHangs(false);
        machine.diskLatencyMs(2);
        machine.disk().setFull(false);
        machine.start(false, plane.seeds());
    }

    /** Ends something after a while, or with everything else. */
    private void later(long afterMs, Runnable end) {
        running++;
        Runnable once = new Runnable() {
            private boolean done;

            @Override
            public void run() {
                if (!done) {
                    done = true;
                    running--;
                    undo.remove(this);
                    end.run();
                }
            }
        };
        undo.add(once);
        world.afterMs(afterMs, once);
    }

    private void restartAfter(SimulatedMachine machine, long afterMs) {
        later(afterMs, () -> {
            machine.restorePower();
            machine.start(false, plane.seeds());
        });
    }

    void inject(FaultPlan.Fault fault) {
        if (over) {
            return;
        }
        plane.observations().injectedFaults++;
        List<SimulatedMachine> all = plane.presentMachines();
        SimulatedMachine leader = all.stream().filter(m -> m.service() != null && m.service().group().isLeader()).findFirst()
                .orElse(null);
        SimulatedMachine machine = leader != null && fault.variant() % 3 == 0 ? leader
                : all.get(fault.target() % all.size());
        switch (fault.kind()) {
            case KILL -> kill(machine);
            case POWER -> power(machine, fault.durationMs());
            case POWER_IN_A_WRITE -> powerInAWrite(machine, fault);
            case FREEZE -> freeze(machine, fault.durationMs());
            case STOP -> stop(machine);
            case KILL_DATA_NODE -> plane.restartDataNode(fault.target(), true);
            case WIPE -> wipe(machine, fault.durationMs() / 2);
            case REPLACE -> replace(machine, fault);
            case REPLACE_PLANNED -> replacePlanned(machine, fault);
            case DISK_SLOW, DISK_HANGS, DISK_FULL -> disk(machine, fault);
            default -> strikeMany(fault, machine, all);
        }
    }

    private void strikeMany(FaultPlan.Fault fault, SimulatedMachine machine, List<SimulatedMachine> all) {
        switch (fault.kind()) {
            case CUT_OFF, CUT_OFF_FROM_ALL, CUT_ONE_WAY -> cutOff(machine, fault);
            case SPLIT -> split(fault.durationMs());
            case RESET -> network.reset(machine.ip);
            case KILL_ALL -> all.forEach(this::kill);
            case POWER_ALL -> all.forEach(m -> power(m, fault.durationMs() / 3));
            case POWER_IN_SNAPSHOTS -> powerInSnapshots(all, fault);
            case POWER_EVERYTHING -> powerEverything(fault.durationMs() / 3);
            case BEHIND -> behind(fault);
            case ANSWERS_LOST -> {
                http.dropResponses(0.6);
                later(fault.durationMs(), () -> http.dropResponses(0));
            }
            case SLOW_LINK -> {
                network.slow(machine.ip, SLOW_NANOS_A_BYTE);
                later(fault.durationMs(), () -> network.slow(machine.ip, 0));
            }
            case STRIKE_AFTER_ACK -> clients.onAcknowledged(() -> strikeAfterAck(fault));
            case WIPE_AND_POWER -> wipeAndPower(fault);
            case AT_A_CHANGE -> when(fault, world.nowMs() + WATCH_MS, m -> m.service().group().isChangingMembers());
            case AT_AN_ELECTION -> when(fault, world.nowMs() + WATCH_MS, m -> m.service().group().isElected()
                    && !m.service().group().isLeader());
            default -> throw new IllegalStateException("unknown " + fault.kind());
        }
    }

    /** Strikes in the moment in which something holds of a machine, which may last only a few milliseconds. */
    private void when(FaultPlan.Fault fault, long untilMs, Predicate<SimulatedMachine> holds) {
        if (over || world.nowMs() > untilMs) {
            return;
        }
        for (SimulatedMachine machine : plane.presentMachines()) {
            if (machine.service() != null && !machine.isFrozen() && holds.test(machine)) {
                strikeAt(machine, fault);
                return;
            }
        }
        world.after(WATCH_STEP_NANOS, () -> when(fault, untilMs, holds));
    }

    private void strikeAt(SimulatedMachine machine, FaultPlan.Fault fault) {
        List<SimulatedMachine> others = new ArrayList<>(plane.presentMachines());
        others.remove(machine);
        SimulatedMachine other = others.get(fault.target() % others.size());
        switch (fault.variant() % 8) {
            case 0 -> kill(machine);
            case 1 -> power(machine, fault.durationMs() / 3);
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

    private void power(SimulatedMachine machine, long forMs) {
        if (machine.isUp()) {
            machine.losePower();
            restartAfter(machine, 100 + forMs);
        }
    }

    private void powerInAWrite(SimulatedMachine machine, FaultPlan.Fault fault) {
        if (machine.isUp()) {
            machine.disk().failPowerAfter(fault.variant() % 8);
            later(300, () -> {
                if (machine.isUp()) {
                    machine.losePower();
                }
                machine.disk().failPowerAfter(-1); // killed meanwhile: it is not to fail in a later life
                restartAfter(machine, over ? 0 : fault.durationMs() / 3);
            });
        }
    }

    /** Each machine loses its power in the midst of its next snapshot, at the same of its operations. */
    private void powerInSnapshots(List<SimulatedMachine> all, FaultPlan.Fault fault) {
        all.forEach(m -> m.disk().failPowerInSnapshotAfter(fault.variant() % 4));
        later(fault.durationMs(), () -> {
            all.forEach(m -> m.disk().failPowerInSnapshotAfter(-1));
            all.stream().filter(m -> !m.isUp()).forEach(m -> restartAfter(m, over ? 0 : RESTART_MS));
        });
    }

    private void freeze(SimulatedMachine machine, long forMs) {
        machine.freeze();
        later(forMs, machine::unfreeze);
    }

    private void stop(SimulatedMachine machine) {
        if (machine.isUp() && machine.service() != null) {
            SimulatedMachine stopping = machine;
            machine.process().execute(() -> stopping.service().prepareToStop(() -> world.after(0, () -> kill(stopping)), LEAVE_MS));
        }
    }

    private void wipe(SimulatedMachine machine, long forMs) {
        if (plane.mayLoseDisk() && !machine.diskLossPending()) {
            machine.wipe();
            restartAfter(machine, 100 + forMs);
        } else {
            power(machine, forMs);
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
        later(1_500 + fault.durationMs() / 3, () -> {
            Runnable remove = () -> world.after(0, () -> {
                if (!machine.isRemoved() && !over) {
                    machine.remove();
                    plane.markUnhealthy();
                    successor.diskLossPending(true); // it may have been killed, and so not have left in order
                }
            });
            if (machine.isUp() && machine.service() != null && !over) {
                machine.process().execute(() -> machine.service().prepareToStop(remove, LEAVE_MS));
                world.afterMs(LEAVE_MS + 1_000, remove);
            } else if (!over) {
                remove.run();
            } else {
                machine.diskLossPending(false);
            }
        });
    }

    private void disk(SimulatedMachine machine, FaultPlan.Fault fault) {
        switch (fault.kind()) {
            case DISK_SLOW -> machine.diskLatencyMs(SLOW_DISK_MS);
            case DISK_HANGS -> machine.diskHangs(true);
            default -> machine.disk().setFull(true);
        }
        later(fault.durationMs(), () -> {
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
        List<String> made = new ArrayList<>();
        for (String other : others) {
            if (both || fault.variant() % 2 == 0) {
                made.add(machine.ip + ">" + other);
            }
            if (both || fault.variant() % 2 == 1) {
                made.add(other + ">" + machine.ip);
            }
        }
        cut(made, fault.durationMs());
    }

    private void split(long forMs) {
        List<SimulatedMachine> all = new ArrayList<>(plane.presentMachines());
        Collections.shuffle(all, random);
        List<String> made = new ArrayList<>();
        for (int i = 0; i < all.size() / 2; i++) {
            for (int j = all.size() / 2; j < all.size(); j++) {
                made.add(all.get(i).ip + ">" + all.get(j).ip);
                made.add(all.get(j).ip + ">" + all.get(i).ip);
            }
        }
        cut(made, forMs);
    }

    private void cut(List<String> ways, long forMs) {
        List<String> made = ways.stream().filter(cuts::add).toList();
        made.forEach(way -> network.cut(way.split(">")[0], way.split(">")[1]));
        later(forMs, () -> made.forEach(way -> {
            cuts.remove(way);
            network.heal(way.split(">")[0], way.split(">")[1]);
        }));
    }

    // ---- many at once

    private void powerEverything(long forMs) {
        for (int i = 0; i < plane.dataNodeAddresses().size(); i++) {
            plane.restartDataNode(i, false);
        }
        later(forMs, plane::startDataNodes);
        plane.presentMachines().forEach(m -> power(m, forMs));
    }

    /** A minority misses changes; then one of the others loses its disk, the rest are dark, and the cut heals. */
    private void behind(FaultPlan.Fault fault) {
        List<SimulatedMachine> all = new ArrayList<>(plane.presentMachines());
        Collections.shuffle(all, random);
        int minority = (all.size() - 1) / 2;
        List<String> made = new ArrayList<>();
        for (int i = 0; i < minority; i++) {
            for (int j = minority; j < all.size(); j++) {
                made.add(all.get(i).ip + ">" + all.get(j).ip);
                made.add(all.get(j).ip + ">" + all.get(i).ip);
            }
        }
        cut(made, fault.durationMs());
        world.afterMs(fault.durationMs(), () -> {
            if (!over) {
                wipe(all.get(minority), 300);
                all.subList(minority + 1, all.size()).forEach(m -> power(m, fault.durationMs() / 2));
            }
        });
    }

    private void strikeAfterAck(FaultPlan.Fault fault) {
        clients.onAcknowledged(() -> { });
        if (!over) {
            world.afterMs(fault.variant() % 3 == 0 ? fault.variant() % 30 : 0, () -> wipeAndPower(fault));
        }
    }

    /** As many disks as may be are lost, and all other machines lose power, data nodes too at times. */
    private void wipeAndPower(FaultPlan.Fault fault) {
        if (over) {
            return;
        }
        List<SimulatedMachine> all = new ArrayList<>(plane.presentMachines());
        Collections.shuffle(all, random);
        if (fault.variant() % 2 == 0) {
            powerEverything(fault.durationMs() / 3);
        }
        for (SimulatedMachine machine : all) {
            wipe(machine, fault.durationMs() / 3);
        }
    }
}
