package rowanplank.lab.trial;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Duration;
import java.time.Instant;
import rowanplank.fleet.FleetComponents;
import rowanplank.ledger.BudgetHolder;
import rowanplank.ledger.LeaseHolder;
import rowanplank.net.Loop;
import rowanplank.net.StateFile;

/**
 * The parts of a trial's stand-in: those of a node, on a disk that can be sick, and with a moment between the look at a
 * lease and the command's start in which the trial can have it stand still. A file beside the operator's says for how
 * many ms; the node takes it up once, by its name's change, which tells the trial. A voter can be had to stand still at
 * another place too: when it has looked at the time, and before it reads what has come to its sockets.
 */
public final class StandInParts extends SameParts {
    static final String HOLD = ".hold";
    static final String HELD = ".held";
    static final String TURN = ".hold-turn";
    private static final Duration LOOK = Duration.ofMillis(10);

    private final Path hold;
    private final Path held;
    private final Path turn;
    private final Path turnHeld;

    /**
     * @param mostBytes of the entries in a voter's message
     * @param file the operator's
     */
    public StandInParts(FleetComponents parts, int mostBytes, String file) {
        super(withMessages(parts, mostBytes));
        hold = Path.of(file + HOLD);
        held = Path.of(file + HELD);
        turn = Path.of(file + TURN);
        turnHeld = Path.of(file + TURN + "-held");
    }

    @Override
    public boolean mayBegin(LeaseHolder holder, Instant now, String lease, Duration longest) {
        boolean may = super.mayBegin(holder, now, lease, longest);
        if (may) {
            standStill(hold, held);
        }
        return may;
    }

    @Override
    public long beginUse(BudgetHolder holder, Instant now, String budget) {
        long epoch = super.beginUse(holder, now, budget);
        if (epoch >= 0) {
            standStill(hold, held);
        }
        return epoch;
    }

    /** @param word says for how many ms, if anything is to be now; it becomes the other file */
    private static void standStill(Path word, Path taken) {
        try {
            long ms = Long.parseLong(Files.readString(word).trim());
            Files.move(word, taken, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
            Thread.sleep(ms);
        } catch (NoSuchFileException e) {
            // not now
        } catch (IOException e) {
            throw new IllegalStateException("the trial's word can't be read", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void watchTurns(Loop loop) {
        loop.execute(() -> standStill(turn, turnHeld)); // a loop does what it was given after its timers, and before its sockets
        loop.schedule(LOOK, () -> watchTurns(loop));
    }

    @Override
    public StateFile.Files files(StateFile.Files machine) {
        StateFile.Files files = super.files(new SickFiles(machine));
        return new StateFile.Files() {
            @Override
            public void create(String directory, byte[] content) throws IOException {
                files.create(directory, content);
            }

            @Override
            public StateFile open(String directory, Loop loop, StateFile.Failed failed) throws IOException {
                watchTurns(loop);
                return files.open(directory, loop, failed);
            }
        };
    }
}
