package rowanplank.fleet.wire;

import java.util.ArrayList;
import java.util.List;
import rowanplank.fleet.wire.BinaryReader.MalformedException;
import rowanplank.membership.GossipMessage;
import rowanplank.membership.MemberUpdate;

/** Encodes and decodes messages of the membership protocol. */
final class GossipCodec {
    /** The first of six message kinds. */
    static final int FIRST_KIND = 40;

    private GossipCodec() { }

    static void write(BinaryWriter out, GossipMessage message) {
        if (message instanceof GossipMessage.Ping n) {
            out.octet(FIRST_KIND).varint(n.number());
        } else if (message instanceof GossipMessage.Ack n) {
            out.octet(FIRST_KIND + 1).varint(n.number());
        } else if (message instanceof GossipMessage.PingRequest n) {
            out.octet(FIRST_KIND + 2).varint(n.number()).text(n.target()).text(n.address());
        } else if (message instanceof GossipMessage.Nack n) {
            out.octet(FIRST_KIND + 3).varint(n.number());
        } else if (message instanceof GossipMessage.MemberListRequest n) {
            out.octet(FIRST_KIND + 4).text(n.after());
        } else if (message instanceof GossipMessage.MemberListResponse n) {
            out.octet(FIRST_KIND + 5).text(n.last());
        }
        out.varint(message.updates().size());
        message.updates().forEach(n -> out.text(n.name()).text(n.address()).varint(n.incarnation())
                .octet(n.state().ordinal())
                .flag(n.serves()).text(n.by()));
    }

    static GossipMessage read(int kind, BinaryReader in) throws MalformedException {
        return switch (kind - FIRST_KIND) {
            case 0 -> new GossipMessage.Ping(in.varint(), updates(in));
            case 1 -> new GossipMessage.Ack(in.varint(), updates(in));
            case 2 -> new GossipMessage.PingRequest(in.varint(), in.text(), in.text(), updates(in));
            case 3 -> new GossipMessage.Nack(in.varint(), updates(in));
            case 4 -> new GossipMessage.MemberListRequest(in.text(), updates(in));
            case 5 -> new GossipMessage.MemberListResponse(in.text(), updates(in));
            default -> throw new MalformedException("unknown message kind: " + kind);
        };
    }

    private static List<MemberUpdate> updates(BinaryReader in) throws MalformedException {
        List<MemberUpdate> updates = new ArrayList<>();
        for (int left = in.count(); left > 0; left--) {
            updates.add(new MemberUpdate(in.text(), in.text(), in.varint(), state(in.octet()), in.flag(), in.text()));
        }
        return updates;
    }

    private static MemberUpdate.State state(int number) throws MalformedException {
        if (number >= MemberUpdate.State.values().length) {
            throw new MalformedException("unknown node state: " + number);
        }
        return MemberUpdate.State.values()[number];
    }
}
