package routerfleet.wire;

import java.util.List;
import rowanplank.agreement.Message;
import routerfleet.config.ConfigOrder;
import routerfleet.config.EvacuationOrder;
import routerfleet.config.Evacuations;
import routerfleet.config.FleetConfiguration;
import routerfleet.journal.JournalEntry;
import routerfleet.journal.JournalVector;
import routerfleet.journal.Origin;
import routerfleet.journal.OriginState;

/** What processes of the fleet say to each other, over connections that keep the order of messages. */
public sealed interface PeerMessage {
    /** Asks whether the other side is there. */
    record Ping(long id) implements PeerMessage { }

    /** Answers a {@link Ping}. */
    record Pong(long id) implements PeerMessage { }

    /**
     * First message of a control node on a connection that it has opened.
     *
     * @param zone where its machine stands; empty where that is not known
     * @param replica its name in the replica group
     * @param controlNodes addresses of the control nodes that it knows of
     */
    record ControlHello(String nodeName, String ip, String zone, String replica, List<String> controlNodes)
            implements PeerMessage { }

    /** A message of the replica group, for the replica of that name only. */
    record Replication(String from, String to, Message message) implements PeerMessage { }

    /** Forwards an operator's order to the leader. */
    record OrderRequest(long id, ConfigOrder order) implements PeerMessage { }

    /** The leader's answer; status 0 where it is not known what becomes of the order. */
    record OrderReply(long id, int status, String text) implements PeerMessage { }

    /** Asks the leader up to which entry everything that was acknowledged before now stands. */
    record ReadIndexRequest(long id) implements PeerMessage { }

    /** @param index negative where the one asked does not lead */
    record ReadIndexReply(long id, long index) implements PeerMessage { }

    /** Replicates sessions; answered by {@link SessionsAck} where {@code id} is not 0. */
    record Sessions(long id, List<SessionRecord> sessions) implements PeerMessage { }

    /** The sessions of that message are held here. */
    record SessionsAck(long id) implements PeerMessage { }

    /** Digest of a session table, for reconciliation; unequal digests make the receiver send its sessions. */
    record SessionsDigest(long digest) implements PeerMessage { }

    /**
     * First message of a data node.
     *
     * @param epoch of the control node's session table as last heard; 0 for none
     * @param revision of that table that is known
     */
    record DataHello(String nodeName, String ip, String zone, long epoch, long revision) implements PeerMessage { }

    /**
     * A data node's regular question.
     *
     * @param primary whether new configurations are to be sent whole on this connection
     */
    record Poll(long id, long generation, boolean primary) implements PeerMessage { }

    /**
     * Answer to a {@link Poll}.
     *
     * @param generation of the newest configuration known to be committed
     * @param freshAgeMicros how long before the question arrived everything acknowledged was known here; negative if
     *     that is not known
     * @param warming whether the session table is still filling after a start
     * @param dataNodes how many data nodes are there
     * @param replicas addresses of the control nodes among which the tenants' limits are divided
     * @param evacuations the newest that are known to be decided
     */
    record PollReply(long id, long generation, long freshAgeMicros, boolean warming, int dataNodes,
            List<String> controlNodes, List<String> replicas, Evacuations evacuations) implements PeerMessage { }

    /** Tells a data node of evacuations that were decided. */
    record EvacuationNotice(Evacuations evacuations) implements PeerMessage { }

    /** Forwards an order about an evacuation to the leader. */
    record EvacuationRequest(long id, EvacuationOrder order) implements PeerMessage { }

    /** What a leader makes of an {@link EvacuationRequest}. */
    enum EvacuationOutcome {
        /** It is decided, and on the disks of a majority. */
        TAKEN,
        /** It builds on another state than the current one, and has changed nothing. */
        CONFLICT,
        /** It may be decided, now or later, unless another one is before it. */
        UNCLEAR
    }

    /** The leader's answer to an {@link EvacuationRequest}. */
    record EvacuationReply(long id, EvacuationOutcome outcome) implements PeerMessage { }

    /**
     * Asks for a request's part of its tenant's limit.
     *
     * @param amount in the tenant's unit
     * @param part whether others are asked for the rest of the request
     */
    record QuotaAsk(long id, String tenant, double amount, boolean part) implements PeerMessage { }

    /** What a control node says to a {@link QuotaAsk}. */
    enum QuotaVerdict {
        /** The request counts, whether it is sent or not. */
        GRANTED,
        /** Not now. */
        DENIED,
        /** This control node does not hold a part of that limit, or does not know that it still does. */
        NOT_HERE
    }

    /**
     * Answer to a {@link QuotaAsk}.
     *
     * @param waitMs after a denial: when this node's part will hold enough, if nobody else asks
     * @param available after a denial: what it holds now, in the tenant's unit
     * @param fairLevel after a denial: what all parts together have to hold for a request of any size
     */
    record QuotaAnswer(long id, QuotaVerdict verdict, long waitMs, double available, double fairLevel)
            implements PeerMessage {
        /** The request counts. */
        public static QuotaAnswer granted(long id) {
            return new QuotaAnswer(id, QuotaVerdict.GRANTED, 0, 0, 0);
        }

        /** Not now. */
        public static QuotaAnswer denied(long id, long waitMs, double available, double fairLevel) {
            return new QuotaAnswer(id, QuotaVerdict.DENIED, waitMs, available, fairLevel);
        }

        /** Another node has to be asked. */
        public static QuotaAnswer notHere(long id) {
            return new QuotaAnswer(id, QuotaVerdict.NOT_HERE, 0, 0, 0);
        }
    }

    /** Changed sessions; {@code whole} where they take the place of all that was known of this control node. */
    record SessionChanges(long epoch, long revision, boolean whole, List<SessionView> sessions) implements PeerMessage { }

    /**
     * The servers that a control node knew before it started, for a data node that has just started too: a hint for as long
     * as no control node's table has filled.
     *
     * @param sessions a {@link Sessions} as {@link PeerCodec} writes it: encoded once for all data nodes
     */
    record EarlierSessions(byte[] sessions) implements PeerMessage { }

    /** Tells that a configuration of this number is committed. */
    record ConfigNotice(long generation) implements PeerMessage { }

    /** Asks for the newest configuration. */
    record ConfigRequest(long knownGeneration) implements PeerMessage { }

    /**
     * A committed configuration.
     *
     * @param configuration a {@link FleetConfiguration} as {@link PeerCodec} writes it: encoded once for all data nodes
     */
    record CommittedConfig(long generation, byte[] configuration) implements PeerMessage { }

    /**
     * What leads from one committed configuration to the next; of use to a node that has the one before.
     *
     * @param base the generation that is changed
     * @param generation the one that it leads to
     * @param delta a {@link routerfleet.config.ConfigDelta} as {@link PeerCodec} writes it: encoded once for all data nodes
     */
    record CommittedDelta(long base, long generation, byte[] delta) implements PeerMessage { }

    /**
     * The control node that has opened this connection is about to stop: whoever waits for a place in the replica group is
     * to have its replica's.
     */
    record Leaving(String replica) implements PeerMessage { }

    /**
     * How far the sender's journal of tallies goes on its disk.
     *
     * @param holder the origin that is the sender's disk
     * @param asks whether all that it lacks is to be sent now, and an answer even where that is nothing
     */
    record TallyVector(Origin holder, JournalVector held, boolean asks) implements PeerMessage { }

    /**
     * Entries of a journal of tallies, answered by {@link TallyHeld} once they are on disk.
     *
     * @param more whether the sender has more that the receiver lacks, for which it is to ask
     * @param answers whether it answers a {@link TallyVector}
     * @param filled whether the sender itself has been given all that others hold since its disk was empty
     */
    record TallyEntries(List<JournalEntry> entries, boolean more, boolean answers, boolean filled)
            implements PeerMessage { }

    /** The sender has all entries of an origin up to a number on its disk. */
    record TallyHeld(Origin holder, Origin origin, long upTo) implements PeerMessage { }

    /** The bases of the sender's journal, for a receiver that lacks what was folded into them. */
    record TallyBases(List<OriginState> bases) implements PeerMessage { }
}
