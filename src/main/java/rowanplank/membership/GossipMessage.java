package rowanplank.membership;

import java.util.List;

/** A message of the membership protocol; each kind also carries updates. */
public sealed interface GossipMessage {
    /** The piggybacked updates about members. */
    List<MemberUpdate> updates();

    /** Asks a member to confirm that it is alive. */
    record Ping(long number, List<MemberUpdate> updates) implements GossipMessage {
        public Ping {
            updates = List.copyOf(updates);
        }
    }

    /** Answers a {@link Ping}, or a {@link PingRequest} whose target has answered. */
    record Ack(long number, List<MemberUpdate> updates) implements GossipMessage {
        public Ack {
            updates = List.copyOf(updates);
        }
    }

    /** Asks a member to ping a target that does not answer the sender. */
    record PingRequest(long number, String target, String address,
            List<MemberUpdate> updates) implements GossipMessage {
        public PingRequest {
            updates = List.copyOf(updates);
        }
    }

    /** Answers a {@link PingRequest} whose target does not answer. It shows that the helper itself is reachable. */
    record Nack(long number, List<MemberUpdate> updates) implements GossipMessage {
        public Nack {
            updates = List.copyOf(updates);
        }
    }

    /** Asks for a page of the member list, starting after a name. */
    record MemberListRequest(String after, List<MemberUpdate> updates) implements GossipMessage {
        public MemberListRequest {
            updates = List.copyOf(updates);
        }
    }

    /**
     * A page of the member list.
     *
     * @param last the last name of the page; empty if it is the last page
     */
    record MemberListResponse(String last, List<MemberUpdate> updates) implements GossipMessage {
        public MemberListResponse {
            updates = List.copyOf(updates);
        }
    }
}
