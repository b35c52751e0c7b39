package rowanplank.fleet.wire;

import java.util.ArrayList;
import java.util.List;
import rowanplank.fleet.wire.BinaryReader.MalformedException;
import rowanplank.membership.GossipMessage;
import rowanplank.membership.MemberUpdate;

/** What nodes say of who lives, as bytes. */
final class GossipCodec {
    /** The first of its kinds; six of them are known. */
    static final int FIRST_KIND = 40;

    private GossipCodec() { }

    static void write(BinaryWriter out, GossipMessage note) {
        if (note instanceof GossipMessage.Ping n) {
            out.octet(FIRST_KIND).varint(n.number());
        } else if (note instanceof GossipMessage.Ack n) {
            out.octet(FIRST_KIND + 1).varint(n.number());
        } else if (note instanceof GossipMessage.PingRequest n) {
            out.octet(FIRST_KIND + 2).varint(n.number()).text(n.target()).text(n.address());
        } else if (note instanceof GossipMessage.Nack n) {
            out.octet(FIRST_KIND + 3).varint(n.number());
        } else if (note instanceof GossipMessage.MemberListRequest n) {
            out.octet(FIRST_KIND + 4).text(n.after());
        } else if (note instanceof GossipMessage.MemberListResponse n) {
            out.octet(FIRST_KIND + 5).text(n.last());
        }
        out.varint(note.updates().size());
        note.updates().forEach(n -> out.text(n.name()).text(n.address()).varint(n.incarnation()).octet(n.state().ordinal())
                .flag(n.serves()).text(n.by()));
    }

    static GossipMessage read(int kind, BinaryReader in) throws MalformedException {
        return switch (kind - FIRST_KIND) {
            case 0 -> new GossipMessage.Ping(in.varint(), news(in));
            case 1 -> new GossipMessage.Ack(in.varint(), news(in));
            case 2 -> new GossipMessage.PingRequest(in.varint(), in.text(), in.text(), news(in));
            case 3 -> new GossipMessage.Nack(in.varint(), news(in));
            case 4 -> new GossipMessage.MemberListRequest(in.text(), news(in));
            case 5 -> new GossipMessage.MemberListResponse(in.text(), news(in));
            default -> throw new MalformedException("a message of kind " + kind + ", which this version does not know");
        };
    }

    private static List<MemberUpdate> news(BinaryReader in) throws MalformedException {
        List<MemberUpdate> news = new ArrayList<>();
        for (int left = in.count(); left > 0; left--) {
            news.add(new MemberUpdate(in.text(), in.text(), in.varint(), state(in.octet()), in.flag(), in.text()));
        }
        return news;
    }

    private static MemberUpdate.State state(int number) throws MalformedException {
        if (number >= MemberUpdate.State.values().length) {
            throw new MalformedException("no such state of a node: " + number);
        }
        return MemberUpdate.State.values()[number];
    }
}
