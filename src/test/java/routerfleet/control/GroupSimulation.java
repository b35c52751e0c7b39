package routerfleet.control;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * A model of a replica group in virtual time under the losses that it has to tolerate: machines go down and return, lose
 * their disks, or are replaced at another address, at most the tolerated number at the same time; all of them may be killed
 * together. The real {@link ReplicaPlanner} changes the group, while elections and replication are modelled only by which
 * machines are up.
 */
final class GroupSimulation {
    private static final long TICK_MS = 100;
    private static final long PLAN_MS = 200;
    private static final long CATCH_UP_MS = 4_000;
    /** The time from a machine's start until its replica has all committed entries. */
    private static final long TRANSFER_MS = 600;
    private static final int MAX_PAUSE_MS = 2_500;
    private static final int MAX_DOWN_MS = 6_000;

    /** A machine with the replica on its disk. */
    private static final class Machine {
        private final String ip;
        private String replica;
        private long downAtMs = -1;
        private long upAtMs;
        private boolean wiped;
        private boolean removed;
        /** The replacement of a removed machine. */
        private Machine successor;
        /** Whether a fault has ever hit it; a new machine that is still starting does not count as lost. */
        private boolean affected;
        /** When it has caught up after its last start. */
        private long caughtUpAtMs;

        Machine(String ip, String replica) {
            this.ip = ip;
            this.replica = replica;
        }

        boolean isUp() {
            return downAtMs < 0 && !removed;
        }

        private boolean isHealthy(long nowMs) {
            return isUp() && nowMs >= caughtUpAtMs;
        }

        /** Whether it counts as lost; a removed machine does until its successor has caught up. */
        boolean isLost(long nowMs) {
            if (!removed) {
                return affected && !isHealthy(nowMs);
            }
            return successor.removed ? successor.isLost(nowMs) : !successor.isHealthy(nowMs);
        }
    }

    private final Random random;
    private final int tolerated;
    private final long detectionMs;
    private final List<Machine> machines = new ArrayList<>();
    private List<String> voters = new ArrayList<>();
    /** Replicas that have all acknowledged entries. */
    private Set<String> holders = new HashSet<>();
    private Machine leader;
    /** Whether the last membership change has been committed. */
    private boolean changeCommitted = true;
    private long nowMs;
    private int lastNumber;
    private long allKilledAtMs = -2 * CATCH_UP_MS;
    private int losses;
    /** What has happened so far, to analyze a failing run. */
    private final List<String> history = new ArrayList<>();

    private void log(String what) {
        history.add(nowMs + " " + what);
    }

    /** @param detectionMs how long it takes until a node that is down is seen as disconnected */
    GroupSimulation(long seed, int tolerated, long detectionMs) {
        random = new Random(seed);
        this.tolerated = tolerated;
        this.detectionMs = detectionMs;
        for (int i = 0; i < 2 * tolerated + 1; i++) {
            Machine machine = new Machine("10.0.0." + ++lastNumber, "10.0.0." + lastNumber + "/0");
            machines.add(machine);
            voters.add(machine.replica);
        }
    }

    /** How many losses were simulated. */
    int losses() {
        return losses;
    }

    /** Runs the simulation for a virtual duration. @return the violation with the history; null if there was none */
    String run(long durationMs) {
        long nextLossMs = 0;
        while (nowMs < durationMs) {
            nowMs += TICK_MS;
            machines.forEach(this::restart);
            elect();
            if (nowMs % PLAN_MS == 0) {
                plan();
            }
            replicate();
            if (nowMs >= nextLossMs) {
                injectLoss();
                nextLossMs = nowMs + random.nextInt(MAX_PAUSE_MS);
            }
            String broken = check();
            if (broken != null) {
                return "after " + nowMs + " ms: " + broken + "; " + String.join("; ", history);
            }
        }
        return null;
    }

    private void restart(Machine machine) {
        if (machine.removed || machine.downAtMs < 0 || nowMs < machine.upAtMs) {
            return;
        }
        if (machine.wiped) {
            machine.replica = machine.ip + "/" + ++lastNumber;
            machine.wiped = false;
        }
        machine.downAtMs = -1;
        machine.caughtUpAtMs = nowMs + CATCH_UP_MS;
    }

    private Machine holderOf(String replica) {
        for (Machine machine : machines) {
            if (!machine.removed && !machine.wiped && machine.replica.equals(replica)) {
                return machine;
            }
        }
        return null;
    }

    private List<String> upVoters() {
        return voters.stream().filter(v -> holderOf(v) != null && holderOf(v).isUp()).toList();
    }

    private int majority() {
        return voters.size() / 2 + 1;
    }

    private void elect() {
        boolean stays = leader != null && leader.isUp() && voters.contains(leader.replica);
        List<String> up = upVoters();
        if (up.size() < majority()) {
            leader = null;
            return;
        }
        changeCommitted = true;
        if (!stays) {
            List<String> able = up.stream().filter(holders::contains).toList();
            leader = holderOf(able.isEmpty() ? up.get(0) : able.get(random.nextInt(able.size())));
        }
    }

    /** With a leader, every voter that is up gets all entries within one step. */
    private void replicate() {
        if (leader != null) {
            holders.addAll(upVoters());
        }
    }

    private void plan() {
        if (leader == null || !changeCommitted) {
            return;
        }
        List<String> wanted = new ReplicaPlanner(leader.replica, tolerated, 0).planMembers(voters, clusterView());
        if (!wanted.equals(voters)) {
            wanted.stream().filter(v -> !voters.contains(v)).forEach(holders::add); // planned, so it has caught up
            voters = new ArrayList<>(wanted);
            changeCommitted = false;
            log("replicas " + voters);
        }
    }

    private ReplicaPlanner.ClusterView clusterView() {
        return new ReplicaPlanner.ClusterView() {
            @Override
            public List<String> connectedReplicas() {
                return machines.stream().filter(m -> m != leader && m.isUp()).map(m -> m.replica).toList();
            }

            @Override
            public boolean isCaughtUp(String replica) {
                Machine machine = holderOf(replica);
                return machine != null && machine.isUp()
                        && nowMs >= machine.caughtUpAtMs - CATCH_UP_MS + TRANSFER_MS;
            }

            @Override
            public boolean isLeaving(String replica) {
                return false;
            }

            @Override
            public String zone(String ip) {
                return null;
            }

            @Override
            public long disconnectedMs(String ip) {
                for (Machine machine : machines) {
                    if (machine.ip.equals(ip)) {
                        return machine.downAtMs < 0 ? 0 : Math.max(0, nowMs - machine.downAtMs - detectionMs);
                    }
                }
                return 0;
            }
        };
    }

    /** Commits an entry on the smallest possible majority, and then injects a loss if another one is tolerated. */
    private void injectLoss() {
        acknowledge();
        if (random.nextInt(12) == 0) {
            allKilledAtMs = nowMs;
            machines.stream().filter(Machine::isUp).forEach(m -> {
                m.affected = true;
                down(m, 1 + random.nextInt(1_500));
            });
            return;
        }
        if (lost() >= tolerated) {
            return;
        }
        List<Machine> running = machines.stream().filter(Machine::isUp).toList();
        Machine affected = running.get(random.nextInt(running.size()));
        affected.affected = true;
        losses++;
        switch (random.nextInt(3)) {
            case 0 -> down(affected, 1 + random.nextInt(MAX_DOWN_MS));
            case 1 -> {
                down(affected, 1 + random.nextInt(2_000));
                affected.wiped = true;
                log(affected.replica + " loses its disk");
                holders.remove(affected.replica);
            }
            default -> replace(affected);
        }
    }

    private long lost() {
        return machines.stream().filter(m -> m.isLost(nowMs)).count();
    }

    private void down(Machine machine, long durationMs) {
        machine.downAtMs = nowMs;
        machine.upAtMs = nowMs + durationMs;
        log(machine.replica + " is down for " + durationMs + " ms");
    }

    private void replace(Machine lost) {
        lost.removed = true;
        log(lost.replica + " is removed for good");
        lost.downAtMs = nowMs;
        holders.remove(lost.replica);
        Machine successor = new Machine("10.0.0." + ++lastNumber, "10.0.0." + lastNumber + "/" + lastNumber);
        down(successor, 500 + random.nextInt(2_000));
        machines.add(successor);
        lost.successor = successor;
    }

    private void acknowledge() {
        List<String> up = new ArrayList<>(upVoters());
        if (leader == null || !changeCommitted || up.size() < majority()) {
            return;
        }
        java.util.Collections.shuffle(up, random);
        up.remove(leader.replica);
        holders = new HashSet<>(up.subList(0, majority() - 1));
        holders.add(leader.replica);
    }

    private String check() {
        long onDisk = voters.stream().filter(v -> holderOf(v) != null).count();
        if (onDisk < majority()) {
            return "no majority of the voters is on disk";
        }
        boolean mustHaveMajority = lost() <= tolerated && nowMs > allKilledAtMs + 2 * CATCH_UP_MS;
        if (mustHaveMajority && upVoters().size() < majority()) {
            return "no majority is up, with " + lost() + " machines lost";
        }
        long without = voters.stream().filter(v -> holderOf(v) != null && !holders.contains(v)).count();
        return !holders.isEmpty() && without >= majority() ? "an acknowledged entry may be lost" : null;
    }
}
