package routerfleet.control;

import java.time.Instant;
import java.util.concurrent.Executor;
import rowanplank.agreement.RaftNode;
import rowanplank.agreement.PersistentState;
import routerfleet.config.ConfigStore;
import routerfleet.settings.LocalSettings;
import routerfleet.wire.Scheduler;

/** Creates the components of a control service that make decisions; simulations override it to inject faults. */
class ControlServiceFactory {
    /** How many control nodes may be lost at the same time, including their disks. */
    protected final int toleratedHosts;
    /** How many zones may be lost at the same time. */
    protected final int toleratedZones;
    private final Executor validators;

    /** Validates configuration updates on the replica's own thread, as simulations need it. */
    ControlServiceFactory(int toleratedHosts) {
        this(toleratedHosts, 0, Runnable::run);
    }

    /** @param examiners runs the validation of configuration updates, one at a time */
    ControlServiceFactory(int toleratedHosts, int toleratedZones, Executor validators) {
        this.toleratedHosts = toleratedHosts;
        this.toleratedZones = toleratedZones;
        this.validators = validators;
    }

    RaftNode raftNode(RaftNode.Settings settings, PersistentState saved, Instant now, RaftNode.Actions actions) {
        return new RaftNode(settings, saved, now, actions);
    }

    ReplicaPlanner planner(String self) {
        return new ReplicaPlanner(self, toleratedHosts, toleratedZones);
    }

    FreshnessTracker freshness(Scheduler scheduler, ReplicaGroup group, ControlPeers peers, long firstId) {
        return new FreshnessTracker(scheduler, group, peers, firstId);
    }

    ConfigUpdateQueue orderQueue(ConfigUpdateQueue.Leader leader, ConfigStore store, Executor loop) {
        return new ConfigUpdateQueue(leader, store, new ConfigUpdateValidator(validators, loop));
    }

    ConfigStore configStore() {
        return new ConfigStore();
    }

    /** The minimum number of voters in the group; with fewer, nothing is acknowledged. */
    int minVoters() {
        return 2 * toleratedHosts + 1;
    }

    /** How many other control nodes must have stored a server's deregistration or drain before it is acknowledged. */
    int requiredRemoteCopies() {
        return toleratedHosts;
    }

    /** The limits on what is remembered of tallies. */
    TallyLimits tallyBounds() {
        return TallyLimits.DEFAULT;
    }

    /** Decides when an addition to a tally is stored on enough disks and in enough zones. */
    TallyAckPolicy tallyReach(LocalSettings settings, ControlPeers peers) {
        return new TallyAckPolicy(settings.toleratedHosts() + 1, settings.toleratedZones() + 1, settings.ip(),
                settings.zone(), peers);
    }

    /** The name of a replica that starts on an empty disk after the first start of the system. */
    String replacementReplicaName(String ip, long incarnation) {
        return ReplicaNames.replacement(ip, incarnation);
    }
}
