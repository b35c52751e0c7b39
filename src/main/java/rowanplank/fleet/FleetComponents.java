package rowanplank.fleet;

import java.time.Duration;
import java.time.Instant;
import rowanplank.agreement.PersistentState;
import rowanplank.agreement.RaftNode;
import rowanplank.fleet.wire.LedgerCodec;
import rowanplank.ledger.BudgetDesk;
import rowanplank.ledger.BudgetHolder;
import rowanplank.ledger.Desk;
import rowanplank.ledger.LeaseHolder;
import rowanplank.ledger.Ledger;
import rowanplank.ledger.WorkDesk;
import rowanplank.ledger.WorkHolder;
import rowanplank.membership.Membership;
import rowanplank.net.StateFile;

/** What a fleet's node is made of. The laboratory and the trial put parts with a planted fault in their places. */
public class FleetComponents {
    public RaftNode raftNode(RaftNode.Settings settings, PersistentState saved, Instant now, RaftNode.Actions actions) {
        return new RaftNode(settings, saved, now, actions);
    }

    public Ledger ledger(Ledger.Picture picture) {
        return new Ledger(picture);
    }

    public Desk desk(Desk.Settings settings, Ledger ledger, Desk.Actions actions) {
        return new Desk(settings, ledger, actions);
    }

    public BudgetDesk budgetDesk(double drift, Ledger ledger, BudgetDesk.Actions actions) {
        return new BudgetDesk(drift, ledger, actions);
    }

    public BudgetHolder budgetHolder(BudgetHolder.Settings settings, Instant now, BudgetHolder.Actions actions) {
        return new BudgetHolder(settings, now, actions);
    }

    public WorkDesk workDesk(WorkDesk.Settings settings, Ledger ledger, WorkDesk.Actions actions) {
        return new WorkDesk(settings, ledger, actions);
    }

    public WorkHolder workHolder(WorkHolder.Settings settings, Instant now, WorkHolder.Actions actions) {
        return new WorkHolder(settings, now, actions);
    }

    public LeaseHolder leaseHolder(LeaseHolder.Settings settings, Instant now, LeaseHolder.Actions actions) {
        return new LeaseHolder(settings, now, actions);
    }

    public Membership membership(Membership.Settings settings, Instant now, Membership.Actions actions) {
        return new Membership(settings, now, actions);
    }

    /** The latest version of the ledger's entries that this node understands. */
    public int understoodVersion() {
        return LedgerCodec.VERSION;
    }

    public StateFile.Files files(StateFile.Files machine) {
        return machine;
    }

    /** Begins a use of a budget: see {@link BudgetHolder#begin}. */
    public long beginUse(BudgetHolder holder, Instant now, String budget) {
        return holder.begin(now, budget);
    }

    /** Whether a task that takes so long at the most may begin now. */
    public boolean mayBegin(LeaseHolder holder, Instant now, String lease, Duration longest) {
        return holder.mayAct(now, lease, longest);
    }
}
