package routerfleet.control;

import java.time.Instant;
import rowanplank.agreement.Agreement;
import rowanplank.agreement.Membership;
import rowanplank.agreement.Message;
import rowanplank.agreement.Saved;

/** An agreement with a planted fault. */
final class FaultyAgreement extends Agreement {
    private final PlantedFault fault;
    private byte[] olderState;

    FaultyAgreement(PlantedFault fault, Settings settings, Saved saved, Instant now, Actions actions) {
        super(settings, fault == PlantedFault.VOTE_FORGOTTEN
                ? new Saved(saved.term(), null, saved.snapshot(), saved.entries()) : saved, now, actions);
        this.fault = fault;
    }

    @Override
    protected int enough(int voters) {
        return fault == PlantedFault.LEADERSHIP_UNCONFIRMED ? 1 : super.enough(voters);
    }

    @Override
    protected int majority(int voters) {
        return fault == PlantedFault.HALF_IS_ENOUGH ? super.majority(voters) - 1 : super.majority(voters);
    }

    @Override
    protected Membership deciding() {
        return fault == PlantedFault.NEW_GROUP_DECIDES_ALONE ? Membership.of(voters()) : super.deciding();
    }

    @Override
    protected boolean isUpToDate(Message.VoteAsk m) {
        return fault == PlantedFault.ANY_LOG_WILL_DO || super.isUpToDate(m);
    }

    @Override
    protected boolean mayCount(long index) {
        return fault == PlantedFault.OLDER_TERMS_COUNT || super.mayCount(index);
    }

    @Override
    protected boolean isAlike(Message.Append m, long previous) {
        return fault == PlantedFault.NO_LOG_CHECK && previous <= lastIndex() || super.isAlike(m, previous);
    }

    @Override
    protected boolean keepsSnapshotUnderWay() {
        return fault != PlantedFault.SNAPSHOT_BEGINS_ANEW && super.keepsSnapshotUnderWay();
    }

    @Override
    public boolean holdsAllDecided(String name) {
        return fault == PlantedFault.NEWCOMERS_VOTE_EMPTY || super.holdsAllDecided(name);
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
