package rowanplank.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.Test;
import rowanplank.balancer.BalancerApi.Lifecycle;
import rowanplank.balancer.BalancerApi.Server;
import rowanplank.config.HostList;
import rowanplank.config.HostList.Member;

class UpstreamGroupTest {
    private final UpstreamGroup group = new UpstreamGroup();

    private static Member member(long id, int port, Lifecycle lifecycle, double share, double startedAt) {
        return new Member("s-" + id, new InetSocketAddress("127.0.0.1", port),
                new Server(id, 0, 0, lifecycle, share, startedAt));
    }

    private List<Long> apply(boolean complete, Member... members) {
        return group.apply(new HostList(1, complete, List.of(members)));
    }

    /** Guards connections against lists that say again what was known, and against all that leads elsewhere now. */
    @Test
    void onlyPeersThatNothingOfBeforeLeadsToAreTold() {
        assertEquals(List.of(), apply(true, member(1, 11, Lifecycle.READY, 1, 0), member(2, 12, Lifecycle.READY, 1, 0),
                member(3, 13, Lifecycle.READY, 1, 0), member(4, 14, Lifecycle.READY, 1, 0)));
        assertEquals(List.of(2L), apply(false, member(1, 11, Lifecycle.READY, 7, 0),
                member(2, 12, Lifecycle.DRAINING, 1, 0)), "a new size is no other peer");
        assertEquals(List.of(3L), apply(false, member(3, 99, Lifecycle.READY, 1, 0)));
        assertEquals(List.of(3L), apply(false, member(3, 99, Lifecycle.READY, 1, 5)), "started anew");
        assertEquals(List.of(1L), apply(false, member(1, 11, Lifecycle.GONE, 1, 0),
                member(1, 11, Lifecycle.GONE, 1, 0)));
        assertEquals(List.of(2L, 4L), apply(true, member(3, 99, Lifecycle.READY, 1, 5)), "not named any more");
        assertEquals(99, group.ready(3).address().getPort());
    }
}
