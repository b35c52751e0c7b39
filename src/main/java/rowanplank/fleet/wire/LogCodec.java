package rowanplank.fleet.wire;

import java.util.ArrayList;
import java.util.List;
import rowanplank.agreement.Entry;
import rowanplank.agreement.VoterConfig;
import rowanplank.fleet.wire.BinaryReader.MalformedException;

/** Encodes and decodes log entries, in the same way for messages and for the state file. */
final class LogCodec {
    private static final int UNCHANGED = 0;
    private static final int VOTERS = 1;
    private static final int JOINT = 2;

    private LogCodec() { }

    static void entries(BinaryWriter out, List<Entry> entries) {
        out.varint(entries.size());
        for (Entry e : entries) {
            out.varint(e.index()).varint(e.term());
            membership(out, e.membership());
            out.bytes(e.payload());
        }
    }

    static List<Entry> entries(BinaryReader in) throws MalformedException {
        List<Entry> entries = new ArrayList<>();
        for (int left = in.count(); left > 0; left--) {
            entries.add(new Entry(in.varint(), in.varint(), membership(in), in.bytes()));
        }
        return entries;
    }

    private static void membership(BinaryWriter out, VoterConfig membership) {
        if (membership == null) {
            out.octet(UNCHANGED);
            return;
        }
        out.octet(membership.isJoint() ? JOINT : VOTERS);
        names(out, membership.voters());
        if (membership.isJoint()) {
            names(out, membership.outgoing());
        }
    }

    private static VoterConfig membership(BinaryReader in) throws MalformedException {
        int kind = in.octet();
        return switch (kind) {
            case UNCHANGED -> null;
            case VOTERS -> VoterConfig.of(names(in));
            case JOINT -> new VoterConfig(names(in), names(in));
            default -> throw new MalformedException("unknown kind of voter change: " + kind);
        };
    }

    static void names(BinaryWriter out, List<String> names) {
        out.varint(names.size());
        names.forEach(out::text);
    }

    static List<String> names(BinaryReader in) throws MalformedException {
        List<String> names = new ArrayList<>();
        for (int left = in.count(); left > 0; left--) {
            names.add(in.text());
        }
        return List.copyOf(names);
    }
}
