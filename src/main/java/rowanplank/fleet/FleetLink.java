package rowanplank.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.function.IntConsumer;
import rowanplank.config.FleetAddresses;
import rowanplank.membership.Membership;
import rowanplank.metrics.Counters;
import rowanplank.metrics.Counters.Count;
import rowanplank.net.Loop;

/**
 * Tells the other nodes that this one lives, and hears them, by datagrams of 8 bytes: two of a mark, one of a version,
 * one that says whether it lives or leaves, four of its number. Whatever else comes in is dropped and counted.
 *
 * <p>Where the address is taken, as by the old process of an upgrade, it is tried again: until then that one speaks for
 * both, and all nodes count as living here.
 */
public final class FleetLink {
    static final int BYTES = 8;
    private static final short MARK = 0x5250;
    private static final byte VERSION = 1;
    private static final byte ALIVE = 1;
    private static final byte LEAVING = 2;

    private final FleetAddresses addresses;
    private final int node;
    private final Loop loop;
    private final Counters counters;
    private final Membership membership;
    private final IntConsumer changed;
    private Loop.Datagrams datagrams;
    private Loop.Timer next;
    private int living;

    /** @param changed is told how many nodes live, this one included, whenever that changes */
    public FleetLink(FleetAddresses addresses, int node, Loop loop, Counters counters, IntConsumer changed) {
        this.addresses = addresses;
        this.node = node;
        this.loop = loop;
        this.counters = counters;
        this.changed = changed;
        living = addresses.nodes().size();
        membership = new Membership(living, node);
    }

    /** Begins to tell and to hear; to be called once, on the loop's thread. */
    public void start() {
        beat();
    }

    private void beat() {
        if (datagrams == null) {
            listen();
        }
        tell(ALIVE);
        look();
        next = loop.schedule(membership.pace(), this::beat);
    }

    private void listen() {
        try {
            datagrams = loop.datagrams(addresses.listen(), BYTES, this::received);
            membership.onListening(loop.clock().now());
        } catch (IOException e) {
            counters.add(Count.FLEET_DEAF); // tried again with the next beat
        }
    }

    private void tell(byte what) {
        if (datagrams != null) {
            ByteBuffer told = ByteBuffer.allocate(BYTES).putShort(MARK).put(VERSION).put(what).putInt(node).flip();
            datagrams.send(addresses.all(), told);
        }
    }

    private void received(InetSocketAddress from, ByteBuffer told) {
        boolean known = told.remaining() == BYTES && told.getShort() == MARK && told.get() == VERSION;
        byte what = known ? told.get() : 0;
        int number = known ? told.getInt() : -1;
        if (number < 0 || number >= addresses.nodes().size() || !from.equals(addresses.nodes().get(number))) {
            counters.add(Count.FLEET_MALFORMED);
        } else if (what == ALIVE) {
            membership.onAlive(loop.clock().now(), number);
            look();
        } else if (what == LEAVING) {
            membership.onLeaving(number);
            look();
        }
    }

    private void look() {
        int now = membership.living(loop.clock().now());
        if (now != living) {
            living = now;
            changed.accept(now);
        }
    }

    /** Says that this node ends, and frees the address. */
    public void close() {
        if (next != null) {
            next.cancel();
        }
        if (datagrams != null) {
            tell(LEAVING);
            try {
                datagrams.close();
            } catch (IOException e) {
                // it ends with the process
            }
        }
    }
}
