package rowanplank.lab.trial;

import java.time.Duration;
import java.time.Instant;
import rowanplank.agreement.PersistentState;
import rowanplank.agreement.RaftNode;
import rowanplank.fleet.FleetComponents;
import rowanplank.ledger.BudgetDesk;
import rowanplank.ledger.BudgetHolder;
import rowanplank.ledger.Desk;
import rowanplank.ledger.LeaseHolder;
import rowanplank.ledger.Ledger;
import rowanplank.ledger.WorkDesk;
import rowanplank.ledger.WorkHolder;
import rowanplank.membership.Membership;
import rowanplank.net.StateFile;

/** The parts of others, planted faults and all: who extends it puts another one in the place of some. */
class SameParts extends FleetComponents {
    private final FleetComponents parts;

    SameParts(FleetComponents parts) {
        this.parts = parts;
    }

    /** The same, and so many bytes of entries in a voter's message: where they are few, a log travels in many messages. */
    static FleetComponents withMessages(FleetComponents parts, int mostBytes) {
        return new SameParts(parts) {
            @Override
            public RaftNode raftNode(RaftNode.Settings s, PersistentState saved, Instant now, RaftNode.Actions actions) {
                return super.raftNode(new RaftNode.Settings(s.self(), s.electionTimeout(), s.heartbeatInterval(), mostBytes,
                        s.maxUncommitted(), s.seed()), saved, now, actions);
            }
        };
    }

    @Override
    public boolean mayBegin(LeaseHolder holder, Instant now, String lease, Duration longest) {
        return parts.mayBegin(holder, now, lease, longest);
    }

    @Override
    public long beginUse(BudgetHolder holder, Instant now, String budget) {
        return parts.beginUse(holder, now, budget);
    }

    @Override
    public StateFile.Files files(StateFile.Files machine) {
        return parts.files(machine);
    }

    @Override
    public RaftNode raftNode(RaftNode.Settings settings, PersistentState saved, Instant now, RaftNode.Actions actions) {
        return parts.raftNode(settings, saved, now, actions);
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
    public LeaseHolder leaseHolder(LeaseHolder.Settings settings, Instant now, LeaseHolder.Actions actions) {
        return parts.leaseHolder(settings, now, actions);
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
    public int understoodVersion() {
        return parts.understoodVersion();
    }
}
