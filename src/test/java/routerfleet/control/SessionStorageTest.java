package routerfleet.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import routerfleet.simulation.VirtualProcess;
import routerfleet.simulation.VirtualWorld;
import routerfleet.wire.PeerCodec;
import routerfleet.wire.SessionRecord;

/** The servers last known, on a disk that loses its power. */
class SessionStorageTest {
    private final PeerCodec codec = new PeerCodec();
    private VirtualWorld world;
    private VirtualProcess process;
    private SimulatedDisk disk;
    private SessionStorage hints;
    private List<SessionRecord> servers = List.of();

    @BeforeEach
    void begin() {
        world = new VirtualWorld();
        disk = new SimulatedDisk(new Random(1), false, false);
        restart();
    }

    private void restart() {
        process = new VirtualProcess(world, 0, () -> disk.losePower());
        hints = new SessionStorage(disk, new SimulatedDisk.Writer(world, process), process, codec);
        hints.setSource(() -> servers);
    }

    private static SessionRecord server(String uid) {
        return new SessionRecord(uid, "llm", "10.0.0.1:80", "a", 12, SessionRecord.Phase.READY, 9, 0);
    }

    private void write(SessionRecord... current) {
        servers = List.of(current);
        hints.saveIfChanged();
        world.runUntilMs(world.nowMs() + 100);
    }

    @Test
    void whatWasWrittenLastIsReadAfterALossOfPower() {
        assertThat(hints.read(), is(empty()));
        write(server("a"));
        write(server("a"), server("b"));
        write(server("b"));
        disk.losePower();
        restart();
        assertThat(hints.read(), is(List.of(server("b"))));
        write(server("c"));
        disk.losePower();
        restart();
        assertThat(hints.read(), is(List.of(server("c"))));
    }

    /** Guards the list before: whatever a loss of power leaves of a write, one whole list is read. */
    @Test
    void aTornWriteLeavesTheOneBefore() {
        for (int operations = 0; operations < 6; operations++) {
            for (long seed = 0; seed < 50; seed++) {
                disk = new SimulatedDisk(new Random(seed), false, false);
                restart();
                write(server("a"));
                write(server("a"), server("b"));
                disk.failPowerAfter(operations);
                write(server("c"));
                disk.losePower();
                restart();
                List<SessionRecord> read = hints.read();
                assertThat(operations + "/" + seed + ": " + read,
                        read.equals(List.of(server("a"), server("b"))) || read.equals(List.of(server("c"))), is(true));
            }
        }
    }

    /** Guards the disk: the same servers are not written again and again, and a full disk is tried again. */
    @Test
    void onlyChangesAreWritten() {
        write(server("a"));
        disk.failPowerAfter(0);
        write(server("a"));
        disk.failPowerAfter(-1);
        assertThat(process.isAlive(), is(true));
        disk.setFull(true);
        write(server("b"));
        disk.setFull(false);
        write(server("b"));
        restart();
        assertThat(hints.read(), is(List.of(server("b"))));
    }

    /** Guards an acknowledgement: it waits for a write that began after the change, also behind one that is under way. */
    @Test
    void whatIsToldAsKeptIsOnDisk() {
        List<String> told = new ArrayList<>();
        servers = List.of(server("a"));
        hints.save(() -> told.add("a"));
        servers = List.of(server("a"), server("b"));
        hints.save(() -> told.add("b"));
        assertThat(told, is(empty()));
        world.runUntilMs(world.nowMs() + 3);
        assertThat(told, is(List.of("a")));
        world.runUntilMs(world.nowMs() + 100);
        assertThat(told, is(List.of("a", "b")));
        disk.losePower();
        restart();
        assertThat(hints.read(), is(List.of(server("a"), server("b"))));
    }

    @Test
    void whatADiskRefusesIsNotToldAsKept() {
        List<String> told = new ArrayList<>();
        write(server("a"));
        disk.setFull(true);
        servers = List.of(server("b"));
        hints.save(() -> told.add("b"));
        world.runUntilMs(world.nowMs() + 100);
        assertThat(told, is(empty()));
        disk.setFull(false);
        hints.save(() -> told.add("again"));
        world.runUntilMs(world.nowMs() + 100);
        assertThat(told, is(List.of("again")));
    }

    /** Guards the list before: a write that the disk refused is tried again in its slot, and not over the whole one. */
    @Test
    void aRefusedWriteLeavesTheOtherSlotAlone() {
        for (int operations = 0; operations < 6; operations++) {
            for (long seed = 0; seed < 20; seed++) {
                disk = new SimulatedDisk(new Random(seed), false, false);
                restart();
                write(server("a"));
                write(server("b"));
                disk.setFull(true);
                write(server("c"));
                disk.setFull(false);
                disk.failPowerAfter(operations);
                write(server("d"));
                disk.losePower();
                restart();
                List<SessionRecord> read = hints.read();
                assertThat(operations + "/" + seed + ": " + read,
                        read.equals(List.of(server("b"))) || read.equals(List.of(server("d"))), is(true));
            }
        }
    }
}
