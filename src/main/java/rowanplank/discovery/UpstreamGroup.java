package rowanplank.discovery;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rowanplank.balancer.BalancerApi.Lifecycle;
import rowanplank.config.HostList.Member;
import rowanplank.config.HostList;

/** The peers as discovery has told them so far: lists replace it, changes are laid over it in their order. */
public final class UpstreamGroup {
    private final Map<Long, Member> members = new HashMap<>();

    public void apply(HostList list) {
        if (list.complete()) {
            members.clear();
        }
        for (Member m : list.members()) {
            if (m.server().lifecycle() == Lifecycle.GONE) {
                members.remove(m.server().id());
            } else {
                members.put(m.server().id(), m);
            }
        }
    }

    /** The peer if something new may be sent to it, else null. */
    public Member ready(long id) {
        Member m = members.get(id);
        return m != null && m.server().lifecycle() == Lifecycle.READY ? m : null;
    }

    public List<Member> members() {
        return List.copyOf(members.values());
    }
}
