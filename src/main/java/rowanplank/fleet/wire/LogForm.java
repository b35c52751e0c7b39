package rowanplank.fleet.wire;

import java.util.ArrayList;
import java.util.List;
import rowanplank.agreement.Entry;
import rowanplank.agreement.VoterConfig;
import rowanplank.fleet.wire.Unpacker.MalformedException;

/** Entries of the log as bytes, alike in messages and on disk. */
final class LogForm {
    private static final int UNCHANGED = 0;
    private static final int VOTERS = 1;
    private static final int JOINT = 2;

    private LogForm() { }

    static void entries(Packer out, List<Entry> entries) {
        out.number(entries.size());
        for (Entry e : entries) {
            out.number(e.index()).number(e.term());
            membership(out, e.membership());
            out.bytes(e.payload());
        }
    }

    static List<Entry> entries(Unpacker in) throws MalformedException {
        List<Entry> entries = new ArrayList<>();
        for (int left = in.count(); left > 0; left--) {
            entries.add(new Entry(in.number(), in.number(), membership(in), in.bytes()));
        }
        return entries;
    }

    private static void membership(Packer out, VoterConfig membership) {
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

    private static VoterConfig membership(Unpacker in) throws MalformedException {
        int kind = in.octet();
        return switch (kind) {
            case UNCHANGED -> null;
            case VOTERS -> VoterConfig.of(names(in));
            case JOINT -> new VoterConfig(names(in), names(in));
            default -> throw new MalformedException("no kind of change of voters: " + kind);
        };
    }

    static void names(Packer out, List<String> names) {
        out.number(names.size());
        names.forEach(out::text);
    }

    static List<String> names(Unpacker in) throws MalformedException {
        List<String> names = new ArrayList<>();
        for (int left = in.count(); left > 0; left--) {
            names.add(in.text());
        }
        return List.copyOf(names);
    }
}
