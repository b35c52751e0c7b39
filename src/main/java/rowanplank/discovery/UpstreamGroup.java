package rowanplank.discovery;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import rowanplank.balancer.BalancerApi.Lifecycle;
import rowanplank.config.HostList.Member;
import rowanplank.config.HostList;

/** The peers as discovery has told them so far: lists replace it, changes are laid over it in their order. */
public final class UpstreamGroup {
    /** Guards the heap: each answer of discovery is bounded, but not what many that only add come to. */
    static final int MOST_MEMBERS = 10_000;

    private final Map<Long, Member> members = new LinkedHashMap<>();

    /**
     * What a list came to.
     *
     * @param taken all of the list, but for newcomers that would be beyond the bound
     * @param outdated the peers to which a connection of before is of no use: they take nothing new, or are at another
     *     address, or in another life
     */
    public record Change(List<Member> taken, List<Long> outdated) { }

    /** Costs what the list names, and all peers where it is a complete one. */
    public Change apply(HostList list) {
        List<Member> before = new ArrayList<>();
        if (list.complete()) {
            before.addAll(members.values());
            members.clear();
        }
        List<Member> taken = list.members().stream().filter(m -> take(m, before)).toList();
        return new Change(taken, before.stream().filter(m -> !isCurrent(m)).map(m -> m.server().id()).toList());
    }

    private boolean take(Member m, List<Member> before) {
        long id = m.server().id();
        Member known = members.get(id);
        if (known != null) {
            before.add(known);
        }
        if (m.server().lifecycle() == Lifecycle.GONE) {
            members.remove(id);
        } else if (known != null || members.size() < MOST_MEMBERS) {
            members.put(id, m);
        } else {
            return false;
        }
        return true;
    }

    /** The peer if something new may be sent to it, else null. */
    public Member ready(long id) {
        Member m = members.get(id);
        return m != null && m.server().lifecycle() == Lifecycle.READY ? m : null;
    }

    /** Whether the peer takes something new, at the address that it had then and in the life that it had then. */
    public boolean isCurrent(Member then) {
        Member now = ready(then.server().id());
        return now != null && now.address().equals(then.address())
                && now.server().startedAtMs() == then.server().startedAtMs();
    }

    public boolean isEmpty() {
        return members.isEmpty();
    }
}
