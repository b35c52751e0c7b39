package rowanplank.lab.trial;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;
import java.util.function.IntConsumer;
import rowanplank.config.Addresses;
import rowanplank.fleet.wire.BinaryReader.MalformedException;
import rowanplank.fleet.wire.VoterFileCodec;
import rowanplank.net.ChildProcesses;
import rowanplank.net.DirectoryFiles;

/** A node of a trial: its file, its state directory, and one process after the other. */
final class TrialNode {
    private final String name;
    private final Path folder;
    private final InetSocketAddress door;
    private final InetSocketAddress front;
    private final List<String> command;
    private final Path file;
    private final String head;
    private ChildProcesses.Child child;
    private int starts;
    private String fleet;
    private boolean spoilt;
    private byte[] remembered;
    /** By the process that runs, or did last; and by all before it. */
    private Duration used = Duration.ZERO;
    private Duration usedBefore = Duration.ZERO;

    /** @param fleet what stands in its file of fleet, leases and tasks */
    TrialNode(String name, Path folder, InetSocketAddress door, InetSocketAddress front, InetSocketAddress discovery,
            String fleet, List<String> command) throws IOException {
        this.name = name;
        this.folder = folder;
        this.door = door;
        this.front = front;
        file = folder.resolve(name + ".toml");
        head = "[node]\nname = \"" + name + "\"\nadmin = \"" + Addresses.format(door) + "\"\n"
                + "[[front]]\nlisten = \"" + Addresses.format(front) + "\"\ndiscovery = \"" + Addresses.format(discovery) + "\"\n"
                + "[[class]]\nname = \"article\"\n[state]\ndir = \"" + state() + "\"\n";
        Files.writeString(file, head + fleet);
        this.command = new ArrayList<>(command);
        this.command.add(file.toString());
    }

    String name() {
        return name;
    }

    InetSocketAddress door() {
        return door;
    }

    /** Where clients connect. */
    InetSocketAddress front() {
        return front;
    }

    private Path state() {
        return folder.resolve(name + ".state");
    }

    private Path log() {
        return state().resolve("log");
    }

    void makeState(String fleetName, List<String> voters) throws IOException {
        fleet = fleetName;
        new DirectoryFiles().create(state().toString(), VoterFileCodec.create(fleet, name, voters).bytes());
    }

    boolean runs() {
        return child != null;
    }

    /** Tells its processes apart; 0 where none runs. */
    int process() {
        return child == null ? 0 : starts;
    }

    boolean isSpoilt() {
        return spoilt;
    }

    void start(ChildProcesses children, IntConsumer ended) throws IOException {
        Files.deleteIfExists(hold(StandInParts.HOLD));
        Files.deleteIfExists(hold(StandInParts.TURN));
        starts++;
        usedBefore = usedBefore.plus(used);
        used = Duration.ZERO;
        child = children.start(command, new TreeMap<>(), folder.resolve(name + ".log").toString(), ended);
    }

    /** Of all its processes; of those that have ended, as it was when this was called last. */
    Duration processorTime() {
        Duration now = child == null ? Duration.ZERO : child.processorTime();
        used = now.compareTo(used) > 0 ? now : used;
        return usedBefore.plus(used);
    }

    void ended() {
        child = null;
    }

    void kill() {
        child.kill();
    }

    void stop() {
        child.stop();
    }

    /** Its file says this of fleet, leases and tasks from now on, and it is told to read it. */
    void reload(String other, boolean hears) throws IOException {
        Path fresh = folder.resolve(name + ".toml.new");
        Files.writeString(fresh, head + other);
        Files.move(fresh, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        if (child != null && hears) {
            child.hangUp();
        }
    }

    void stall(Duration length) throws IOException {
        child.stall(length);
    }

    /** As if the power had failed in the middle of a write: a part of a record's head stands behind all others. */
    void tear() throws IOException {
        byte[] content = Files.readAllBytes(log());
        Files.write(log(), Arrays.copyOf(content, whole(content, fleet, name) + 7)); // what was torn before is cut first
    }

    private static int whole(byte[] content, String fleet, String node) throws IOException {
        try {
            return VoterFileCodec.read(content, fleet, node).length();
        } catch (MalformedException e) {
            throw new IOException("the state of " + node + " was damaged before", e);
        }
    }

    /** What is there now is what {@link #putBack} puts back. */
    void remember() throws IOException {
        if (Files.exists(log())) {
            remembered = Files.readAllBytes(log());
        }
    }

    /** An older copy, as from a backup. */
    void putBack() throws IOException {
        Files.write(log(), remembered);
    }

    /** What its disk does from now on: empty where it is well. */
    void sicken(String how) throws IOException {
        Path sick = state().resolve(SickFiles.NAME);
        if (how.isEmpty()) {
            Files.deleteIfExists(sick);
        } else {
            Files.writeString(sick, how);
        }
    }

    /** Its next command starts so much later than it looked at the lease. Only for stand-ins. */
    void holdNextStart(Duration length) throws IOException {
        hold(StandInParts.HOLD, length);
    }

    /** It stands still now, with what comes to its sockets meanwhile unread. Only for stand-ins that vote. */
    void holdTurn(Duration length) throws IOException {
        hold(StandInParts.TURN, length);
    }

    private void hold(String which, Duration length) throws IOException {
        Path fresh = folder.resolve(name + ".hold.new");
        Files.writeString(fresh, Long.toString(length.toMillis()));
        Files.move(fresh, hold(which), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    /** For how long it stands still now, or did since the last question; zero where it did not. */
    Duration wasHeld() throws IOException {
        Path held = hold(StandInParts.HELD);
        if (!Files.exists(held)) {
            return Duration.ZERO;
        }
        long ms = Long.parseLong(Files.readString(held));
        Files.delete(held);
        return Duration.ofMillis(ms);
    }

    /** Whether a start is still to be held up. */
    boolean isToBeHeld() {
        return Files.exists(hold(StandInParts.HOLD));
    }

    private Path hold(String which) {
        return Path.of(file + which);
    }

    /** One bit of what was synced is another one now: this voter must not come up any more. */
    void flip(double where) throws IOException {
        byte[] content = Files.readAllBytes(log());
        flip(content, fleet, name, where);
        Files.write(log(), content);
        spoilt = true;
    }

    /** Within whole records: what was broken off behind them was told of to nobody. */
    static void flip(byte[] content, String fleet, String node, double where) throws IOException {
        content[(int) (whole(content, fleet, node) * where)] ^= 4;
    }

    /** Its disk is gone: it must not come up any more. */
    void lose() throws IOException {
        Files.delete(log());
        spoilt = true;
    }
}
