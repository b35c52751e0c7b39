package routerfleet.control;

import java.time.Instant;
import rowanplank.agreement.Message;
import rowanplank.agreement.PersistentState;
import rowanplank.agreement.RaftNode;
import rowanplank.agreement.VoterConfig;

/** A Raft node with an injected fault. */
final class FaultyRaftNode extends RaftNode {
    private final InjectedFault fault;
    private byte[] previousState;

    FaultyRaftNode(InjectedFault fault, Settings settings, PersistentState saved, Instant now, Actions actions) {
        super(settings, fault == InjectedFault.VOTE_FORGOTTEN
                ? new PersistentState(saved.term(), null, saved.snapshot(), saved.entries()) : saved, now, actions);
        this.fault = fault;
    }

    @Override
    protected int leaderQuorum(int voters) {
        return fault == InjectedFault.LEADERSHIP_UNCONFIRMED ? 1 : super.leaderQuorum(voters);
    }

    @Override
    protected int majority(int voters) {
        return fault == InjectedFault.HALF_IS_ENOUGH ? super.majority(voters) - 1 : super.majority(voters);
    }

    @Override
    protected VoterConfig decidingConfig() {
        return fault == InjectedFault.NEW_GROUP_DECIDES_ALONE ? VoterConfig.of(voters()) : super.decidingConfig();
    }

    @Override
    protected boolean isUpToDate(Message.VoteRequest m) {
        return fault == InjectedFault.ANY_LOG_WILL_DO || super.isUpToDate(m);
    }

    @Override
    protected boolean mayCommitByCounting(long index) {
        return fault == InjectedFault.OLDER_TERMS_COUNT || super.mayCommitByCounting(index);
    }

    @Override
    protected boolean isLogConsistent(Message.AppendRequest m, long previous) {
        return fault == InjectedFault.NO_LOG_CHECK && previous <= lastIndex() || super.isLogConsistent(m, previous);
    }

    @Override
    protected boolean keepsStartedSnapshot() {
        return fault != InjectedFault.SNAPSHOT_BEGINS_ANEW && super.keepsStartedSnapshot();
    }

    @Override
    public boolean hasAllCommitted(String name) {
        return fault == InjectedFault.NEWCOMERS_VOTE_EMPTY || super.hasAllCommitted(name);
    }

    @Override
    public void compact(byte[] data) {
        if (fault == InjectedFault.SNAPSHOT_OF_AN_OLDER_STATE) {
            byte[] before = previousState == null ? data : previousState;
            previousState = data;
            super.compact(before);
        } else {
            super.compact(data);
        }
    }
}
