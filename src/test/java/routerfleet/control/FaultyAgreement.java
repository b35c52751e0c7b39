package routerfleet.control;

import java.time.Instant;
import rowanplank.agreement.Message;
import rowanplank.agreement.PersistentState;
import rowanplank.agreement.RaftNode;
import rowanplank.agreement.VoterConfig;

/** An agreement with a planted fault. */
final class FaultyAgreement extends RaftNode {
    private final PlantedFault fault;
    private byte[] olderState;

    FaultyAgreement(PlantedFault fault, Settings settings, PersistentState saved, Instant now, Actions actions) {
        super(settings, fault == PlantedFault.VOTE_FORGOTTEN
                ? new PersistentState(saved.term(), null, saved.snapshot(), saved.entries()) : saved, now, actions);
        this.fault = fault;
    }

    @Override
    protected int leaderQuorum(int voters) {
        return fault == PlantedFault.LEADERSHIP_UNCONFIRMED ? 1 : super.leaderQuorum(voters);
    }

    @Override
    protected int majority(int voters) {
        return fault == PlantedFault.HALF_IS_ENOUGH ? super.majority(voters) - 1 : super.majority(voters);
    }

    @Override
    protected VoterConfig decidingConfig() {
        return fault == PlantedFault.NEW_GROUP_DECIDES_ALONE ? VoterConfig.of(voters()) : super.decidingConfig();
    }

    @Override
    protected boolean isUpToDate(Message.VoteRequest m) {
        return fault == PlantedFault.ANY_LOG_WILL_DO || super.isUpToDate(m);
    }

    @Override
    protected boolean mayCommitByCounting(long index) {
        return fault == PlantedFault.OLDER_TERMS_COUNT || super.mayCommitByCounting(index);
    }

    @Override
    protected boolean isLogConsistent(Message.AppendRequest m, long previous) {
        return fault == PlantedFault.NO_LOG_CHECK && previous <= lastIndex() || super.isLogConsistent(m, previous);
    }

    @Override
    protected boolean keepsStartedSnapshot() {
        return fault != PlantedFault.SNAPSHOT_BEGINS_ANEW && super.keepsStartedSnapshot();
    }

    @Override
    public boolean hasAllCommitted(String name) {
        return fault == PlantedFault.NEWCOMERS_VOTE_EMPTY || super.hasAllCommitted(name);
    }

    @Override
    public void compact(byte[] data) {
        if (fault == PlantedFault.SNAPSHOT_OF_AN_OLDER_STATE) {
            byte[] before = olderState == null ? data : olderState;
            olderState = data;
            super.compact(before);
        } else {
            super.compact(data);
        }
    }
}
