package rowanplank.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import rowanplank.balancer.BalancerApi.Lifecycle;
import rowanplank.balancer.BalancerApi.Server;
import rowanplank.config.HostList;
import rowanplank.config.HostList.Member;

class UpstreamGroupTest {
    private static Member member(long id, Lifecycle lifecycle) {
        return new Member("s-" + id, null, new Server(id, 0, 0, lifecycle, 1, 0));
    }

    private static HostList changes(Member... members) {
        return new HostList(2, false, List.of(members));
    }

    /** Guards the heap against a discovery that adds and never takes away. */
    @Test
    void newcomersBeyondTheBoundAreLeftOutUntilThereIsRoom() {
        int most = UpstreamGroup.MOST_MEMBERS;
        UpstreamGroup group = new UpstreamGroup();
        group.apply(new HostList(1, true, IntStream.range(0, most).mapToObj(i -> member(i, Lifecycle.READY)).toList()));
        Member newcomer = member(most, Lifecycle.READY);
        Member drains = member(7, Lifecycle.DRAINING);
        assertEquals(List.of(drains), group.apply(changes(newcomer, drains)), "whom it knows is still heard of");
        assertNull(group.ready(most));
        assertNull(group.ready(7));
        assertEquals(2, group.apply(changes(member(7, Lifecycle.GONE), newcomer)).size());
        assertNotNull(group.ready(most));
    }
}
