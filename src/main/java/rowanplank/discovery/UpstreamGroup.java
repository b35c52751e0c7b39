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
    private final Map<Long, Member> members = new LinkedHashMap<>();

    /**
     * Costs what the list names, and all peers where it is a complete one.
     *
     * @return the peers to which a connection of before is of no use: they take nothing new, or are at another
     *     address, or in another life
     */
    public List<Long> apply(HostList list) {
        List<Member> touched = new ArrayList<>();
        if (list.complete()) {
            touched.addAll(members.values());
            members.clear();
        }
        for (Member m : list.members()) {
            long id = m.server().id();
            Member before = m.server().lifecycle() == Lifecycle.GONE ? members.remove(id) : members.put(id, m);
            if (before != null) {
                touched.add(before);
            }
        }
        return touched.stream().filter(m -> !isCurrent(m)).map(m -> m.server().id()).toList();
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
