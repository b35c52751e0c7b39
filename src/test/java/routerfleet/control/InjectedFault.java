package routerfleet.control;

import io.netty.channel.ChannelPipeline;
import rowanplank.agreement.RaftNode;
import routerfleet.config.ConfigStore;
import routerfleet.simulation.VirtualProcess;

/** Faults that are put into a simulated control plane, to see that the simulation finds them. */
enum InjectedFault {
    NONE,

    /** A leader takes its own word for a majority's. */
    LEADERSHIP_UNCONFIRMED,
    /** One less than a majority decides. */
    HALF_IS_ENOUGH,
    /** Reads are answered without asking anybody. */
    READS_UNASKED,
    /** A follower takes a read index for applied before it is. */
    READ_INDEX_UNAPPLIED,

    /** An order that was taken is not known again. */
    ORDERS_FORGOTTEN,
    /** An order is refused without a majority's word that this leader still leads. */
    REFUSED_UNCONFIRMED,
    /** An order is taken whatever it builds on. */
    BASE_NOT_COMPARED,
    /** A replica that starts has forgotten whom it voted for. */
    VOTE_FORGOTTEN,
    /** What is unclear is told as taken. */
    UNCLEAR_TOLD_AS_TAKEN,
    /** What is unclear is told as refused. */
    UNCLEAR_TOLD_AS_REFUSED,

    /** Who is silent for long is removed, as far as three are left. */
    SILENCE_REMOVES,
    /** Newcomers get a vote before they hold anything. */
    NEWCOMERS_VOTE_EMPTY,
    /** A member is removed first, and its successor added later. */
    REMOVED_FIRST,
    /** A replica whose disk was lost keeps its name, and votes again. */
    NAME_KEPT,
    /** In a change of members the new group decides alone. */
    NEW_GROUP_DECIDES_ALONE,

    /** Any candidate gets a vote, whatever it lacks. */
    ANY_LOG_WILL_DO,
    /** Entries of earlier terms are decided by counting. */
    OLDER_TERMS_COUNT,
    /** Entries are taken without a look at what stands before them. */
    NO_LOG_CHECK,
    /** A snapshot holds the state of the one before. */
    SNAPSHOT_OF_AN_OLDER_STATE,
    /** A snapshot that is on its way begins anew with each newer one. */
    SNAPSHOT_BEGINS_ANEW,
    /** An entry that can't be read is skipped. */
    ENTRY_SKIPPED,
    /** A sync tells that it is done and does nothing. */
    SYNC_DOES_NOTHING,
    /** The folder is never synced. */
    FOLDER_IS_NOT_SYNCED,
    /** A snapshot is written over the state that is in use. */
    ONE_SLOT,
    /** What is to be written is told as stored. */
    TOLD_BEFORE_SYNCED,
    /** That a server ends is told as kept before it is on disk. */
    END_TOLD_BEFORE_SYNCED,

    /** A data node serves by the first configuration that any control node tells it. */
    FIRST_CONFIGURATION_UNCONFIRMED,
    /** Requests of one connection are handled at once, and answered as they are done. */
    ANSWERED_AS_DONE,
    /** That a server ends is acknowledged by one control node alone. */
    END_HELD_BY_ONE,

    /** An order about an evacuation is taken whatever it builds on. */
    EVACUATION_BASE_NOT_COMPARED,
    /** Snapshots hold no evacuations. */
    EVACUATIONS_NOT_IN_SNAPSHOTS,
    /** An entry of a tally's journal is told as stored before it is. */
    TALLY_TOLD_BEFORE_SYNCED,
    /** An add is acknowledged on one disk less than it takes. */
    TALLY_ON_ONE_DISK_TOO_FEW,
    /** A node that starts has forgotten its newest record, and uses its numbers again. */
    TALLY_LAST_RECORD_FORGOTTEN,
    /** A node that starts has kept amounts, and forgotten their uids. */
    TALLY_UIDS_FORGOTTEN,
    /** A node takes itself for cut off as soon as too few are connected. */
    TALLY_CUT_OFF_AT_ONCE,
    /** A node takes itself for cut off however short it has been up. */
    TALLY_CUT_OFF_AFTER_A_START,
    /** An add that has been taken is told as refused, at times. */
    TALLY_REFUSED_AFTER_WRITTEN,
    /** An add of which not enough is known is told as taken. */
    TALLY_UNCLEAR_TOLD_AS_TAKEN,
    /** An add of which not enough is known is told as refused. */
    TALLY_UNCLEAR_TOLD_AS_REFUSED,
    /** Reads are answered with what was read last, every second time. */
    TALLY_READS_OF_BEFORE;

    /** Whether it is about tallies, and shown by a {@link TallySimulation} only. */
    boolean isTallyFault() {
        return name().startsWith("TALLY_");
    }

    /** The parts that a control service with this fault is made of. */
    ControlServiceFactory serviceFactory(int toleratedHosts) {
        return this == NONE ? new ControlServiceFactory(toleratedHosts) : new FaultyServiceFactory(this, toleratedHosts);
    }

    /** The HTTP handler with this fault. */
    ControlHttp.Handler handler(ControlHttp.Handler real) {
        if (isTallyFault()) {
            return new FaultyTallyResponses(this, real);
        }
        int told = this == UNCLEAR_TOLD_AS_TAKEN ? 200 : this == UNCLEAR_TOLD_AS_REFUSED ? 412 : 0;
        if (told == 0) {
            return real;
        }
        return (request, answer) -> real.handle(request, response -> answer.accept(
                request.method().equals("POST") && request.path().contains("config") && response.status() == 503
                        ? ControlHttp.Response.error(told, "planted") : response));
    }

    /** The HTTP side of a connection with this fault. */
    void install(ChannelPipeline pipeline, ControlHttp.Handler handler) {
        if (this == ANSWERED_AS_DONE) {
            UnorderedHttp.install(pipeline, handler);
        } else {
            ControlHttp.install(pipeline, handler);
        }
    }

    /** A replica's storage with this fault. */
    ReplicaStorage storage(Disk disk, VirtualProcess life, DiskWriter writer) {
        return new ReplicaStorage(disk, life, writer) {
            @Override
            TallyStorage tallyStorage() {
                return isTallyFault() ? new FaultyTallyStorage(InjectedFault.this, disk, writer, life) : super.tallyStorage();
            }

            @Override
            SessionStorage sessionHints(routerfleet.wire.PeerCodec codec) {
                return new SessionStorage(disk, writer, life, codec) {
                    @Override
                    void save(Runnable kept) {
                        boolean early = InjectedFault.this == END_TOLD_BEFORE_SYNCED;
                        super.save(early ? () -> { } : kept);
                        if (early) {
                            life.execute(kept);
                        }
                    }
                };
            }

            @Override
            int nextSlot(int inUse) {
                return InjectedFault.this == ONE_SLOT ? inUse : super.nextSlot(inUse);
            }

            @Override
            void store(rowanplank.agreement.Write write, Runnable stored) {
                if (InjectedFault.this == TOLD_BEFORE_SYNCED) {
                    super.store(write, () -> { });
                    life.execute(stored);
                } else {
                    super.store(write, stored);
                }
            }
        };
    }

    /** Makes the agreement with this fault. */
    RaftNode raftNode(RaftNode.Settings settings, rowanplank.agreement.PersistentState saved, java.time.Instant now,
            RaftNode.Actions actions) {
        return new FaultyRaftNode(this, settings, saved, now, actions);
    }

    /** Makes the store with this fault. */
    ConfigStore configStore() {
        return new FaultyStore(this);
    }
}
