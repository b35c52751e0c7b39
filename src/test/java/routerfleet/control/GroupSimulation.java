package routerfleet.control;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * A replica group in virtual time under losses that its fleet has to bear, as the operators' pages count them: machines are
 * down and come back, lose their disks, or are replaced at another address, at most so many at once; all of them may be
 * killed together. The real planner changes the group; what the group can do follows from who is there alone.
 */
final class GroupSimulation {
    private static final long TICK_MS = 100;
    private static final long PLAN_MS = 200;
    private static final long CATCH_UP_MS = 4_000;
    /** From a machine's start until its replica holds all that is decided. */
    private static final long TRANSFER_MS = 600;
    private static final int MOST_PAUSE_MS = 2_500;
    private static final int MOST_DOWN_MS = 6_000;

    /** A machine with the replica on its disk. */
    private static final class Machine {
        private final String ip;
        private String replica;
        private long downAtMs = -1;
        private long upAtMs;
        private boolean wiped;
        private boolean removed;
        /** What took the place of a removed machine. */
        private Machine successor;
        /** Whether anything has happened to it; a new machine that has only just started is not yet lost itself. */
        private boolean struck;
        /** Until when it has to catch up. */
        private long catchesUpUntilMs;

        Machine(String ip, String replica) {
            this.ip = ip;
            this.replica = replica;
        }

        boolean isUp() {
            return downAtMs < 0 && !removed;
        }

        private boolean isWell(long nowMs) {
            return isUp() && nowMs >= catchesUpUntilMs;
        }

        /** Whether it counts as lost: a removed one does until its successor has caught up. */
        boolean isLost(long nowMs) {
            if (!removed) {
                return struck && !isWell(nowMs);
            }
            return successor.removed ? successor.isLost(nowMs) : !successor.isWell(nowMs);
        }
    }

    private final Random random;
    private final int tolerated;
    private final long noticeMs;
    private final List<Machine> machines = new ArrayList<>();
    private List<String> voters = new ArrayList<>();
    private Set<String> holders = new HashSet<>();
    private Machine leader;
    private boolean decided = true;
    private long nowMs;
    private int lastNumber;
    private long allKilledAtMs = -2 * CATCH_UP_MS;
    private int losses;
    /** What happened, for whoever looks into a broken case. */
    private final List<String> history = new ArrayList<>();

    private void tell(String what) {
        history.add(nowMs + " " + what);
    }

    /** @param noticeMs after which a node that is down counts as absent */
    GroupSimulation(long seed, int tolerated, long noticeMs) {
        random = new Random(seed);
        this.tolerated = tolerated;
        this.noticeMs = noticeMs;
        for (int i = 0; i < 2 * tolerated + 1; i++) {
            Machine machine = new Machine("10.0.0." + ++lastNumber, "10.0.0." + lastNumber + "/0");
            machines.add(machine);
            voters.add(machine.replica);
        }
    }

    /** How many losses were played. */
    int losses() {
        return losses;
    }

    /** @return what was broken, and when; null where the group has borne everything */
    String run(long forMs) {
        long nextLossMs = 0;
        while (nowMs < forMs) {
            nowMs += TICK_MS;
            machines.forEach(this::comeBack);
            elect();
            if (nowMs % PLAN_MS == 0) {
                plan();
            }
            replicate();
            if (nowMs >= nextLossMs) {
                lose();
                nextLossMs = nowMs + random.nextInt(MOST_PAUSE_MS);
            }
            String broken = check();
            if (broken != null) {
                return "after " + nowMs + " ms: " + broken + "; " + String.join("; ", history);
            }
        }
        return null;
    }

    private void comeBack(Machine machine) {
        if (machine.removed || machine.downAtMs < 0 || nowMs < machine.upAtMs) {
            return;
        }
        if (machine.wiped) {
            machine.replica = machine.ip + "/" + ++lastNumber;
            machine.wiped = false;
        }
        machine.downAtMs = -1;
        machine.catchesUpUntilMs = nowMs + CATCH_UP_MS;
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
        decided = true;
        if (!stays) {
            List<String> able = up.stream().filter(holders::contains).toList();
            leader = holderOf(able.isEmpty() ? up.get(0) : able.get(random.nextInt(able.size())));
        }
    }

    /** Whoever is there has everything a moment later. */
    private void replicate() {
        if (leader != null) {
            holders.addAll(upVoters());
        }
    }

    private void plan() {
        if (leader == null || !decided) {
            return;
        }
        List<String> wanted = new ReplicaPlanner(leader.replica, tolerated, 0).planMembers(voters, presence());
        if (!wanted.equals(voters)) {
            wanted.stream().filter(v -> !voters.contains(v)).forEach(holders::add); // else it would not be wanted
            voters = new ArrayList<>(wanted);
            decided = false;
            tell("replicas " + voters);
        }
    }

    private ReplicaPlanner.ClusterView presence() {
        return new ReplicaPlanner.ClusterView() {
            @Override
            public List<String> connectedReplicas() {
                return machines.stream().filter(m -> m != leader && m.isUp()).map(m -> m.replica).toList();
            }

            @Override
            public boolean isCaughtUp(String replica) {
                Machine machine = holderOf(replica);
                return machine != null && machine.isUp()
                        && nowMs >= machine.catchesUpUntilMs - CATCH_UP_MS + TRANSFER_MS;
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
                        return machine.downAtMs < 0 ? 0 : Math.max(0, nowMs - machine.downAtMs - noticeMs);
                    }
                }
                return 0;
            }
        };
    }

    /** Something is acknowledged by the fewest that may, and then as much is lost as may be. */
    private void lose() {
        acknowledge();
        if (random.nextInt(12) == 0) {
            allKilledAtMs = nowMs;
            machines.stream().filter(Machine::isUp).forEach(m -> {
                m.struck = true;
                down(m, 1 + random.nextInt(1_500));
            });
            return;
        }
        if (lost() >= tolerated) {
            return;
        }
        List<Machine> well = machines.stream().filter(Machine::isUp).toList();
        Machine struck = well.get(random.nextInt(well.size()));
        struck.struck = true;
        losses++;
        switch (random.nextInt(3)) {
            case 0 -> down(struck, 1 + random.nextInt(MOST_DOWN_MS));
            case 1 -> {
                down(struck, 1 + random.nextInt(2_000));
                struck.wiped = true;
                tell(struck.replica + " loses its disk");
                holders.remove(struck.replica);
            }
            default -> replace(struck);
        }
    }

    private long lost() {
        return machines.stream().filter(m -> m.isLost(nowMs)).count();
    }

    private void down(Machine machine, long forMs) {
        machine.downAtMs = nowMs;
        machine.upAtMs = nowMs + forMs;
        tell(machine.replica + " is down for " + forMs + " ms");
    }

    private void replace(Machine gone) {
        gone.removed = true;
        tell(gone.replica + " is gone for good");
        gone.downAtMs = nowMs;
        holders.remove(gone.replica);
        Machine successor = new Machine("10.0.0." + ++lastNumber, "10.0.0." + lastNumber + "/" + lastNumber);
        down(successor, 500 + random.nextInt(2_000));
        machines.add(successor);
        gone.successor = successor;
    }

    private void acknowledge() {
        List<String> up = new ArrayList<>(upVoters());
        if (leader == null || !decided || up.size() < majority()) {
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
            return "no majority is left";
        }
        boolean borne = lost() <= tolerated && nowMs > allKilledAtMs + 2 * CATCH_UP_MS;
        if (borne && upVoters().size() < majority()) {
            return "no majority is there, with " + lost() + " lost";
        }
        long without = voters.stream().filter(v -> holderOf(v) != null && !holders.contains(v)).count();
        return !holders.isEmpty() && without >= majority() ? "what was acknowledged may be lost" : null;
    }
}
