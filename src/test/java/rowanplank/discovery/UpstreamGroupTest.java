package rowanplank.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import rowanplank.balancer.BalancerApi.Lifecycle;
import rowanplank.balancer.BalancerApi.Server;
import rowanplank.config.HostList;
import rowanplank.config.HostList.Member;

class UpstreamGroupTest {
    private static final InetSocketAddress HERE = new InetSocketAddress("127.0.0.1", 11);

    private final UpstreamGroup group = new UpstreamGroup();

    private static Member member(long id, Lifecycle lifecycle) {
        return member(id, HERE, lifecycle, 1, 0);
    }

    private static Member member(long id, InetSocketAddress at, Lifecycle lifecycle, double share, double startedAt) {
        return new Member("s-" + id, at, new Server(id, 0, 0, lifecycle, share, startedAt));
    }

    private static HostList all(Member... members) {
        return new HostList(1, true, List.of(members));
    }

    private static HostList changes(Member... members) {
        return new HostList(2, false, List.of(members));
    }

    /** Guards the heap against a discovery that adds and never takes away. */
    @Test
    void newcomersBeyondTheBoundAreLeftOutUntilThereIsRoom() {
        int most = UpstreamGroup.MOST_MEMBERS;
        group.apply(new HostList(1, true, IntStream.range(0, most).mapToObj(i -> member(i, Lifecycle.READY)).toList()));
        Member newcomer = member(most, Lifecycle.READY);
        Member drains = member(7, Lifecycle.DRAINING);
        assertEquals(List.of(drains), group.apply(changes(newcomer, drains)).taken(), "whom it knows is still heard of");
        assertNull(group.ready(most));
        assertNull(group.ready(7));
        assertEquals(2, group.apply(changes(member(7, Lifecycle.GONE), newcomer)).taken().size());
        assertNotNull(group.ready(most));
    }

    /** Guards connections against lists that say again what was known, and against all that leads elsewhere now. */
    @Test
    void onlyPeersThatNothingOfBeforeLeadsToAreOutdated() {
        InetSocketAddress there = new InetSocketAddress("127.0.0.1", 99);
        assertEquals(List.of(), group.apply(all(member(1, Lifecycle.READY), member(2, Lifecycle.READY),
                member(3, Lifecycle.READY), member(4, Lifecycle.READY))).outdated());
        assertEquals(List.of(2L), group.apply(changes(member(1, HERE, Lifecycle.READY, 7, 0),
                member(2, Lifecycle.DRAINING))).outdated(), "a new size is no other peer");
        assertEquals(List.of(3L), group.apply(changes(member(3, there, Lifecycle.READY, 1, 0))).outdated());
        Member anew = member(3, there, Lifecycle.READY, 1, 5);
        assertEquals(List.of(3L), group.apply(changes(anew)).outdated(), "another life");
        assertEquals(List.of(1L), group.apply(changes(member(1, Lifecycle.GONE),
                member(1, Lifecycle.GONE))).outdated());
        assertEquals(List.of(2L, 4L), group.apply(all(anew)).outdated(), "not named any more");
        assertEquals(there, group.ready(3).address());
    }
}
