package rowanplank.lab.trial;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Duration;
import java.time.Instant;
import rowanplank.agreement.Agreement;
import rowanplank.agreement.Saved;
import rowanplank.fleet.Parts;
import rowanplank.ledger.BudgetDesk;
import rowanplank.ledger.BudgetHolder;
import rowanplank.ledger.Desk;
import rowanplank.ledger.LeaseHolder;
import rowanplank.ledger.Ledger;
import rowanplank.ledger.WorkDesk;
import rowanplank.ledger.WorkHolder;
import rowanplank.membership.Membership;
import rowanplank.net.StateFile;

/**
 * The parts of a trial's stand-in: those of a node, on a disk that can be sick, and with a moment between the look at a
 * lease and the command's start in which the trial can have it stand still. A file beside the operator's says for how
 * many ms; the node takes it up once, by its name's change, which tells the trial.
 */
public final class StandInParts extends Parts {
    static final String HOLD = ".hold";
    static final String HELD = ".held";

    private final Parts parts;
    private final Path hold;
    private final Path held;

    /** @param file the operator's */
    public StandInParts(Parts parts, String file) {
        this.parts = parts;
        hold = Path.of(file + HOLD);
        held = Path.of(file + HELD);
    }

    @Override
    public boolean mayBegin(LeaseHolder holder, Instant now, String lease, Duration longest) {
        boolean may = parts.mayBegin(holder, now, lease, longest);
        if (may) {
            standStill();
        }
        return may;
    }

    @Override
    public long begin(BudgetHolder holder, Instant now, String budget) {
        long epoch = parts.begin(holder, now, budget);
        if (epoch >= 0) {
            standStill();
        }
        return epoch;
    }

    private void standStill() {
        try {
            long ms = Long.parseLong(Files.readString(hold).trim());
            Files.move(hold, held, StandardCopyOption.ATOMIC_MOVE);
            Thread.sleep(ms);
        } catch (NoSuchFileException e) {
            // not now
        } catch (IOException e) {
            throw new IllegalStateException("the trial's word can't be read", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public StateFile.Files files(StateFile.Files machine) {
        return parts.files(new SickFiles(machine));
    }

    @Override
    public Agreement agreement(Agreement.Settings settings, Saved saved, Instant now, Agreement.Actions actions) {
        return parts.agreement(settings, saved, now, actions);
    }

    @Override
    public Ledger ledger(Ledger.Picture picture) {
        return parts.ledger(picture);
    }

    @Override
    public Desk desk(Desk.Settings settings, Ledger ledger, Desk.Actions actions) {
        return parts.desk(settings, ledger, actions);
    }

    @Override
    public LeaseHolder holder(LeaseHolder.Settings settings, Instant now, LeaseHolder.Actions actions) {
        return parts.holder(settings, now, actions);
    }

    @Override
    public BudgetDesk budgetDesk(double drift, Ledger ledger, BudgetDesk.Actions actions) {
        return parts.budgetDesk(drift, ledger, actions);
    }

    @Override
    public BudgetHolder budgetHolder(BudgetHolder.Settings settings, Instant now, BudgetHolder.Actions actions) {
        return parts.budgetHolder(settings, now, actions);
    }

    @Override
    public WorkDesk workDesk(WorkDesk.Settings settings, Ledger ledger, WorkDesk.Actions actions) {
        return parts.workDesk(settings, ledger, actions);
    }

    @Override
    public WorkHolder workHolder(WorkHolder.Settings settings, Instant now, WorkHolder.Actions actions) {
        return parts.workHolder(settings, now, actions);
    }

    @Override
    public Membership membership(Membership.Settings settings, Instant now, Membership.Actions actions) {
        return parts.membership(settings, now, actions);
    }

    @Override
    public int knows() {
        return parts.knows();
    }
}
