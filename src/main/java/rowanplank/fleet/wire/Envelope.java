package rowanplank.fleet.wire;

import rowanplank.agreement.Message;
import rowanplank.ledger.Ask;
import rowanplank.membership.GossipMessage;

/**
 * One datagram between nodes: exactly one of the four is not null.
 *
 * @param sender the sending node's name
 * @param incarnation tells the sending process from others of its name
 * @param understoodVersion the latest version of the ledger's entries that the sender understands
 */
public record Envelope(String sender, long incarnation, int understoodVersion, Message message, Ask ask, Ask.Answer answer, GossipMessage gossip) {
    public static Envelope of(String sender, long incarnation, int knows, Message message) {
        return new Envelope(sender, incarnation, knows, message, null, null, null);
    }

    public static Envelope of(String sender, long incarnation, int knows, Ask ask) {
        return new Envelope(sender, incarnation, knows, null, ask, null, null);
    }

    public static Envelope of(String sender, long incarnation, int knows, Ask.Answer answer) {
        return new Envelope(sender, incarnation, knows, null, null, answer, null);
    }

    public static Envelope of(String sender, long incarnation, int knows, GossipMessage note) {
        return new Envelope(sender, incarnation, knows, null, null, null, note);
    }
}
