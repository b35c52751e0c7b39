package rowanplank.discovery;

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

    /** @return what was taken up: all of the list, but for newcomers that would be beyond the bound */
    public List<Member> apply(HostList list) {
        if (list.complete()) {
            members.clear();
        }
        return list.members().stream().filter(this::take).toList();
    }

    private boolean take(Member m) {
        long id = m.server().id();
        if (m.server().lifecycle() == Lifecycle.GONE) {
            members.remove(id);
        } else if (members.containsKey(id) || members.size() < MOST_MEMBERS) {
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

    public boolean isEmpty() {
        return members.isEmpty();
    }
}
