package rowanplank.membership;

import java.util.List;

/** What nodes send each other to learn who lives; each carries news on its way. */
public sealed interface GossipMessage {
    List<MemberUpdate> updates();

    /** Are you there? */
    record Ping(long number, List<MemberUpdate> updates) implements GossipMessage {
        public Ping {
            updates = List.copyOf(updates);
        }
    }

    /** Yes; or: whom you asked me about is. */
    record Ack(long number, List<MemberUpdate> updates) implements GossipMessage {
        public Ack {
            updates = List.copyOf(updates);
        }
    }

    /** Is it there? It does not answer me. */
    record PingRequest(long number, String target, String address, List<MemberUpdate> updates) implements GossipMessage {
        public PingRequest {
            updates = List.copyOf(updates);
        }
    }

    /** It does not answer me either; but I do answer you. */
    record Nack(long number, List<MemberUpdate> updates) implements GossipMessage {
        public Nack {
            updates = List.copyOf(updates);
        }
    }

    /** Whom do you know, with names behind this one? */
    record MemberListRequest(String after, List<MemberUpdate> updates) implements GossipMessage {
        public MemberListRequest {
            updates = List.copyOf(updates);
        }
    }

    /** These. @param last the last name of them; empty where there are no more behind it */
    record MemberListResponse(String last, List<MemberUpdate> updates) implements GossipMessage {
        public MemberListResponse {
            updates = List.copyOf(updates);
        }
    }
}
