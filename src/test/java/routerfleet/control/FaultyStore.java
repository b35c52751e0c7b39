package routerfleet.control;

import io.vavr.control.Either;
import routerfleet.config.ConfigChange;
import routerfleet.config.ConfigFault;
import routerfleet.config.ConfigOrder;
import routerfleet.config.ConfigStore;
import routerfleet.config.EvacuationOrder;

/** A configuration store with an injected fault. */
final class FaultyStore extends ConfigStore {
    private static final int SKIP_INTERVAL = 9;

    private final InjectedFault fault;
    private int applied;

    FaultyStore(InjectedFault fault) {
        this.fault = fault;
    }

    @Override
    protected Long takenBefore(String digest) {
        return fault == InjectedFault.ORDERS_FORGOTTEN ? null : super.takenBefore(digest);
    }

    @Override
    protected boolean buildsOnCurrent(ConfigOrder order) {
        return fault == InjectedFault.BASE_NOT_COMPARED || super.buildsOnCurrent(order);
    }

    @Override
    public Either<ConfigFault, Long> apply(ConfigChange change) {
        if (fault == InjectedFault.ENTRY_SKIPPED && ++applied % SKIP_INTERVAL == 0) {
            return Either.right(generation());
        }
        return super.apply(change);
    }

    @Override
    public boolean apply(EvacuationOrder order) {
        boolean anyBase = fault == InjectedFault.EVACUATION_BASE_NOT_COMPARED;
        return super.apply(anyBase ? new EvacuationOrder(evacuations().revision(), order.zone(), order.start()) : order);
    }

    @Override
    public Object snapshot() {
        return fault == InjectedFault.EVACUATIONS_NOT_IN_SNAPSHOTS ? state() : super.snapshot();
    }
}
