package rowanplank.fleet.wire;

import rowanplank.agreement.Message;
import rowanplank.ledger.Ask;
import rowanplank.membership.GossipMessage;

/**
 * The content of a datagram between nodes. Exactly one of {@code message}, {@code ask}, {@code answer} and {@code
 * gossip} is not null.
 *
 * @param sender the sending node's name
 * @param incarnation distinguishes the sending process from other ones of the same name
 * @param understoodVersion the latest version of ledger entries that the sender understands
 * @param message a Raft message
 * @param ask a request to the leader
 * @param answer an answer to a request
 * @param gossip a message of the membership protocol
 */
public record Envelope(String sender, long incarnation, int understoodVersion, Message message, Ask ask,
        Ask.Answer answer, GossipMessage gossip) {
    public static Envelope of(String sender, long incarnation, int understoodVersion, Message message) {
        return new Envelope(sender, incarnation, understoodVersion, message, null, null, null);
    }

    public static Envelope of(String sender, long incarnation, int understoodVersion, Ask ask) {
        return new Envelope(sender, incarnation, understoodVersion, null, ask, null, null);
    }

    public static Envelope of(String sender, long incarnation, int understoodVersion, Ask.Answer answer) {
        return new Envelope(sender, incarnation, understoodVersion, null, null, answer, null);
    }

    public static Envelope of(String sender, long incarnation, int understoodVersion, GossipMessage gossip) {
        return new Envelope(sender, incarnation, understoodVersion, null, null, null, gossip);
    }
}
