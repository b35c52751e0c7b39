package routerfleet.control;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import rowanplank.agreement.RaftNode;
import rowanplank.agreement.PersistentState;
import routerfleet.config.ConfigChange;
import routerfleet.config.ConfigStore;
import routerfleet.settings.LocalSettings;
import routerfleet.wire.Scheduler;

/** Creates the components of a control service, one of them with an injected fault. */
final class FaultyServiceFactory extends ControlServiceFactory {
    private static final int MIN_REPLICAS = 3;
    private static final long REMOVE_AFTER_MS = 8_000;

    private final InjectedFault fault;

    FaultyServiceFactory(InjectedFault fault, int toleratedHosts) {
        super(toleratedHosts);
        this.fault = fault;
    }

    @Override
    RaftNode raftNode(RaftNode.Settings settings, PersistentState saved, Instant now, RaftNode.Actions actions) {
        return fault.raftNode(settings, saved, now, actions);
    }

    @Override
    ConfigStore configStore() {
        return fault.configStore();
    }

    @Override
    int minVoters() {
        return fault == InjectedFault.SILENCE_REMOVES || fault == InjectedFault.REMOVED_FIRST ? 1 : super.minVoters();
    }

    @Override
    int requiredRemoteCopies() {
        return fault == InjectedFault.END_HELD_BY_ONE ? 0 : super.requiredRemoteCopies();
    }

    @Override
    TallyAckPolicy tallyReach(LocalSettings settings, ControlPeers peers) {
        int fewer = fault == InjectedFault.TALLY_ON_ONE_DISK_TOO_FEW ? 1 : 0;
        return new TallyAckPolicy(settings.toleratedHosts() + 1 - fewer, settings.toleratedZones() + 1 - fewer,
                settings.ip(), settings.zone(), peers) {
            @Override
            long minOutageMs() {
                return fault == InjectedFault.TALLY_CUT_OFF_AT_ONCE ? 0 : super.minOutageMs();
            }

            @Override
            long minUptimeMs() {
                return fault == InjectedFault.TALLY_CUT_OFF_AFTER_A_START ? 0 : super.minUptimeMs();
            }
        };
    }

    @Override
    String replacementReplicaName(String ip, long number) {
        return fault == InjectedFault.NAME_KEPT ? ReplicaNames.initial(ip) : super.replacementReplicaName(ip, number);
    }

    @Override
    ConfigUpdateQueue orderQueue(ConfigUpdateQueue.Leader leader, ConfigStore store, Executor loop) {
        return fault == InjectedFault.REFUSED_UNCONFIRMED ? super.orderQueue(new Unconfirmed(leader), store, loop)
                : super.orderQueue(leader, store, loop);
    }

    private record Unconfirmed(ConfigUpdateQueue.Leader leader) implements ConfigUpdateQueue.Leader {
        @Override
        public void confirmLeadership(Runnable confirmed, Runnable lost) {
            confirmed.run();
        }

        @Override
        public long propose(ConfigChange change) {
            return leader.propose(change);
        }

        @Override
        public void defer(Runnable task) {
            leader.defer(task);
        }
    }

    @Override
    FreshnessTracker freshness(Scheduler scheduler, ReplicaGroup group, ControlPeers peers, long firstId) {
        return new FreshnessTracker(scheduler, group, peers, firstId) {
            @Override
            void whenFresh(Runnable fresh, Runnable late) {
                if (fault == InjectedFault.READS_UNASKED) {
                    fresh.run();
                } else {
                    super.whenFresh(fresh, late);
                }
            }

            @Override
            void freshOnceApplied(long index, long sinceNanos) {
                if (fault == InjectedFault.READ_INDEX_UNAPPLIED) {
                    freshSince(sinceNanos);
                } else {
                    super.freshOnceApplied(index, sinceNanos);
                }
            }
        };
    }

    @Override
    ReplicaPlanner planner(String self) {
        return new ReplicaPlanner(self, toleratedHosts, toleratedZones) {
            @Override
            List<String> planMembers(List<String> replicas, ClusterView presence) {
                return switch (fault) {
                    case SILENCE_REMOVES -> withoutDisconnected(replicas, presence, super.planMembers(replicas, presence));
                    case REMOVED_FIRST -> removalsFirst(replicas, super.planMembers(replicas, presence));
                    default -> super.planMembers(replicas, presence);
                };
            }
        };
    }

    private static List<String> withoutDisconnected(List<String> replicas, ReplicaPlanner.ClusterView presence,
            List<String> next) {
        if (!next.equals(replicas) || replicas.size() <= MIN_REPLICAS) {
            return next;
        }
        List<String> left = new ArrayList<>(replicas);
        left.removeIf(r -> left.size() > MIN_REPLICAS && presence.disconnectedMs(ReplicaNames.ip(r)) >= REMOVE_AFTER_MS);
        return left;
    }

    private static List<String> removalsFirst(List<String> replicas, List<String> next) {
        List<String> kept = new ArrayList<>(replicas);
        kept.retainAll(next);
        return kept.size() < replicas.size() ? kept : next;
    }
}
