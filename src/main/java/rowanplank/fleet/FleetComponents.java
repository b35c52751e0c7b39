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

/** Creates the components of a fleet node. Simulations and tests override methods to inject faults. */
public class FleetComponents {
    /** Creates the voter's Raft node. */
    public RaftNode raftNode(RaftNode.Settings settings, PersistentState saved, Instant now, RaftNode.Actions actions) {
        return new RaftNode(settings, saved, now, actions);
    }

    /** Creates the voter's ledger. */
    public Ledger ledger(Ledger.Picture picture) {
        return new Ledger(picture);
    }

    /** Creates the leader's service for leases. */
    public Desk desk(Desk.Settings settings, Ledger ledger, Desk.Actions actions) {
        return new Desk(settings, ledger, actions);
    }

    /** Creates the leader's service for budgets. */
    public BudgetDesk budgetDesk(double drift, Ledger ledger, BudgetDesk.Actions actions) {
        return new BudgetDesk(drift, ledger, actions);
    }

    /** Creates the node's client for budgets. */
    public BudgetHolder budgetHolder(BudgetHolder.Settings settings, Instant now, BudgetHolder.Actions actions) {
        return new BudgetHolder(settings, now, actions);
    }

    /** Creates the leader's service for the maintenance plan. */
    public WorkDesk workDesk(WorkDesk.Settings settings, Ledger ledger, WorkDesk.Actions actions) {
        return new WorkDesk(settings, ledger, actions);
    }

    /** Creates the node's client for the maintenance plan. */
    public WorkHolder workHolder(WorkHolder.Settings settings, Instant now, WorkHolder.Actions actions) {
        return new WorkHolder(settings, now, actions);
    }

    /** Creates the node's client for leases. */
    public LeaseHolder leaseHolder(LeaseHolder.Settings settings, Instant now, LeaseHolder.Actions actions) {
        return new LeaseHolder(settings, now, actions);
    }

    /** Creates the node's membership protocol. */
    public Membership membership(Membership.Settings settings, Instant now, Membership.Actions actions) {
        return new Membership(settings, now, actions);
    }

    /** The latest version of ledger entries that this node understands. */
    public int understoodVersion() {
        return LedgerCodec.VERSION;
    }

    /** The files in which a voter keeps its state; by default those of the host. */
    public StateFile.Files files(StateFile.Files machine) {
        return machine;
    }

    /** Starts a use of a budget; see {@link BudgetHolder#begin}. */
    public long beginUse(BudgetHolder holder, Instant now, String budget) {
        return holder.begin(now, budget);
    }

    /** Whether a task that may take up to this long may start now. */
    public boolean mayBegin(LeaseHolder holder, Instant now, String lease, Duration longest) {
        return holder.mayAct(now, lease, longest);
    }
}
