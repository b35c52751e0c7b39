package routerfleet.control;

import java.time.Instant;
import java.util.concurrent.Executor;
import rowanplank.agreement.RaftNode;
import rowanplank.agreement.PersistentState;
import routerfleet.config.ConfigStore;
import routerfleet.settings.LocalSettings;
import routerfleet.wire.Scheduler;

/** Makes the parts of a control service that decide something; simulations put faulty ones in their place. */
class ControlServiceFactory {
    /** How many control nodes may be lost at once, with their disks. */
    protected final int toleratedHosts;
    /** How many zones may be. */
    protected final int toleratedZones;
    private final Executor examiners;

    /** With orders examined on the replica's own thread, as simulations need it. */
    ControlServiceFactory(int toleratedHosts) {
        this(toleratedHosts, 0, Runnable::run);
    }

    /** @param examiners where orders are examined, one at a time */
    ControlServiceFactory(int toleratedHosts, int toleratedZones, Executor examiners) {
        this.toleratedHosts = toleratedHosts;
        this.toleratedZones = toleratedZones;
        this.examiners = examiners;
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
        return new ConfigUpdateQueue(leader, store, new ConfigUpdateValidator(examiners, loop));
    }

    ConfigStore configStore() {
        return new ConfigStore();
    }

    /** Of how many replicas a group has to be before anything is acknowledged. */
    int minVoters() {
        return 2 * toleratedHosts + 1;
    }

    /** How many other control nodes have to hold that a server ends before it is acknowledged. */
    int requiredRemoteCopies() {
        return toleratedHosts;
    }

    /** How much is remembered of tallies. */
    TallyLimits tallyBounds() {
        return TallyLimits.DEFAULT;
    }

    /** On how many disks an add to a tally has to be. */
    TallyAckPolicy tallyReach(LocalSettings settings, ControlPeers peers) {
        return new TallyAckPolicy(settings.toleratedHosts() + 1, settings.toleratedZones() + 1, settings.ip(),
                settings.zone(), peers);
    }

    /** The name of the replica on a disk that comes to be empty later. */
    String replacementReplicaName(String ip, long number) {
        return ReplicaNames.replacement(ip, number);
    }
}
