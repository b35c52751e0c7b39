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

/** Storage of the known sessions on a disk that loses power. */
class SessionStorageTest {
    private final PeerCodec codec = new PeerCodec();
    private VirtualWorld world;
    private VirtualProcess process;
    private SimulatedDisk disk;
    private SessionStorage storage;
    private List<SessionRecord> servers = List.of();

    @BeforeEach
    void begin() {
        world = new VirtualWorld();
        disk = new SimulatedDisk(new Random(1), false, false);
        restart();
    }

    private void restart() {
        process = new VirtualProcess(world, 0, () -> disk.losePower());
        storage = new SessionStorage(disk, new SimulatedDisk.Writer(world, process), process, codec);
        storage.setSource(() -> servers);
    }

    private static SessionRecord server(String uid) {
        return new SessionRecord(uid, "llm", "10.0.0.1:80", "a", 12, SessionRecord.Phase.READY, 9, 0);
    }

    private void write(SessionRecord... current) {
        servers = List.of(current);
        storage.saveIfChanged();
        world.runUntilMs(world.nowMs() + 100);
    }

    @Test
    void theLastWrittenListIsReadAfterAPowerLoss() {
        assertThat(storage.read(), is(empty()));
        write(server("a"));
        write(server("a"), server("b"));
        write(server("b"));
        disk.losePower();
        restart();
        assertThat(storage.read(), is(List.of(server("b"))));
        write(server("c"));
        disk.losePower();
        restart();
        assertThat(storage.read(), is(List.of(server("c"))));
    }

    /**
     * Guards the previous list: after a power loss during a write, either the previous or the new list is read, complete.
     */
    @Test
    void aTornWriteLeavesThePreviousList() {
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
                List<SessionRecord> read = storage.read();
                assertThat(operations + "/" + seed + ": " + read,
                        read.equals(List.of(server("a"), server("b"))) || read.equals(List.of(server("c"))), is(true));
            }
        }
    }

    /** Guards against needless writes: an unchanged list is not written again, and a write to a full disk is retried. */
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
        assertThat(storage.read(), is(List.of(server("b"))));
    }

    /**
     * Guards acknowledgements: they wait for a write that began after the change, also if another write is in progress.
     */
    @Test
    void whatIsReportedAsSavedIsOnDisk() {
        List<String> saved = new ArrayList<>();
        servers = List.of(server("a"));
        storage.save(() -> saved.add("a"));
        servers = List.of(server("a"), server("b"));
        storage.save(() -> saved.add("b"));
        assertThat(saved, is(empty()));
        world.runUntilMs(world.nowMs() + 3);
        assertThat(saved, is(List.of("a")));
        world.runUntilMs(world.nowMs() + 100);
        assertThat(saved, is(List.of("a", "b")));
        disk.losePower();
        restart();
        assertThat(storage.read(), is(List.of(server("a"), server("b"))));
    }

    @Test
    void aFailedWriteIsNotReportedAsSaved() {
        List<String> saved = new ArrayList<>();
        write(server("a"));
        disk.setFull(true);
        servers = List.of(server("b"));
        storage.save(() -> saved.add("b"));
        world.runUntilMs(world.nowMs() + 100);
        assertThat(saved, is(empty()));
        disk.setFull(false);
        storage.save(() -> saved.add("again"));
        world.runUntilMs(world.nowMs() + 100);
        assertThat(saved, is(List.of("again")));
    }

    /** Guards the previous list: a failed write is repeated in its own slot, and not over the valid one. */
    @Test
    void aFailedWriteLeavesTheOtherSlotUnchanged() {
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
                List<SessionRecord> read = storage.read();
                assertThat(operations + "/" + seed + ": " + read,
                        read.equals(List.of(server("b"))) || read.equals(List.of(server("d"))), is(true));
            }
        }
    }
}
