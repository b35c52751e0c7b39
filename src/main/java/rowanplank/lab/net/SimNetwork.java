package rowanplank.lab.net;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import rowanplank.lab.day.Day;
import rowanplank.lab.world.World;

/** The machines of a world, the addresses that they have, and the ways between them. */
public final class SimNetwork {
    /** Where clients' machines stand: in no hall, with a way of their own to each. */
    public static final int CLIENTS = -1;
    /** What a message takes that does not leave its machine. */
    private static final Duration INSIDE = Duration.ofNanos(20_000);
    private static final int READ_BYTES = 1 << 16;

    /** Is told of each datagram. */
    public interface DatagramWatcher {
        /** @param receivers how many it goes to: more than one where {@code to} is a group's address */
        void sent(SimMachine from, InetSocketAddress to, int bytes, int receivers);
    }

    /** An address, and which machine has it now. */
    static final class Address {
        private final InetAddress ip;
        private SimMachine holder;

        private Address(InetAddress ip) {
            this.ip = ip;
        }

        InetAddress ip() {
            return ip;
        }

        /** Null where no machine has it. */
        SimMachine holder() {
            return holder;
        }

        void moveTo(SimMachine machine) {
            holder = machine;
        }
    }

    private final World world;
    private final Day.Network figures;
    private final int places;
    private final Link[] links;
    private final Link inside;
    /** These are looked up and never gone through: hash order decides nothing. */
    private final Map<InetAddress, Address> addresses = new LinkedHashMap<>();
    private final Map<InetSocketAddress, List<InetSocketAddress>> groups = new LinkedHashMap<>();
    /** One thread runs all processes, and what a buffer holds counts for one task only: one serves all. */
    private final ByteBuffer readBuffer = ByteBuffer.allocate(READ_BYTES);
    private DatagramWatcher watcher = (from, to, bytes, receivers) -> { };

    /** @param halls how many there are; they are known by their numbers from 0 */
    public SimNetwork(World world, Day.Network figures, int halls) {
        this.world = world;
        this.figures = figures;
        places = halls + 1;
        links = new Link[places * places];
        inside = new Link(true, INSIDE, 0, 0, INSIDE, INSIDE, world.random("network inside"));
    }

    /** An IPv4 address. */
    public static InetAddress ip(int a, int b, int c, int d) {
        try {
            return InetAddress.getByAddress(new byte[] {(byte) a, (byte) b, (byte) c, (byte) d});
        } catch (UnknownHostException e) {
            throw new IllegalStateException(e); // four bytes are an address
        }
    }

    public World world() {
        return world;
    }

    /**
     * Sets up a machine.
     *
     * @param hall its number, or {@link #CLIENTS}
     * @throws IllegalArgumentException if there is no such hall, or another machine has the address
     */
    public SimMachine machine(String name, int hall, InetAddress address) {
        if (hall < CLIENTS || hall >= places - 1) {
            throw new IllegalArgumentException(name + " stands in hall " + hall + ", and there is none");
        }
        SimMachine machine = new SimMachine(this, name, hall);
        machine.addAddress(address);
        return machine;
    }

    /** The way between two halls, one way; {@link #CLIENTS} for that from or to clients. */
    public Link link(int fromHall, int toHall) {
        int place = (fromHall + 1) * places + toHall + 1;
        if (links[place] == null) {
            links[place] = newLink(fromHall, toHall);
        }
        return links[place];
    }

    private Link newLink(int from, int to) {
        Duration latency = from == CLIENTS || to == CLIENTS ? figures.toClients()
                : from == to ? figures.sameHall() : figures.crossHall();
        return new Link(false, latency, figures.jitter(), figures.loss(), figures.leastDatagram(),
                figures.mostDatagram(), world.random("network " + from + " to " + to));
    }

    /** What is sent to the group's address goes to each member, but for the sender, from now on. */
    public void join(InetSocketAddress group, InetSocketAddress member) {
        groups.computeIfAbsent(group, g -> new ArrayList<>()).add(member);
    }

    /** Sets who is told of each datagram, as it is sent. */
    public void watchDatagrams(DatagramWatcher watcher) {
        this.watcher = watcher;
    }

    Link link(SimMachine from, SimMachine to) {
        return from == to ? inside : link(from.hall(), to.hall());
    }

    Address address(InetAddress ip) {
        return addresses.computeIfAbsent(ip, Address::new);
    }

    ByteBuffer readBuffer() {
        return readBuffer;
    }

    void sendDatagram(SimMachine machine, InetSocketAddress from, InetSocketAddress to, byte[] payload) {
        List<InetSocketAddress> members = groups.get(to);
        if (members == null) {
            watcher.sent(machine, to, payload.length, 1);
            sendOne(machine, from, to, payload);
            return;
        }
        watcher.sent(machine, to, payload.length, members.size() - (members.contains(from) ? 1 : 0));
        for (InetSocketAddress member : members) {
            if (!member.equals(from)) {
                sendOne(machine, from, member, payload);
            }
        }
    }

    private void sendOne(SimMachine machine, InetSocketAddress from, InetSocketAddress to, byte[] payload) {
        Address target = address(to.getAddress());
        if (target.holder() == null) {
            return;
        }
        Link way = link(machine, target.holder());
        if (!way.inside() && machine.isSilent() || way.loses(0)) {
            return;
        }
        for (int copies = way.doubles() ? 2 : 1; copies > 0; copies--) {
            world.at(world.nanos() + way.datagramTransit(), () -> datagramArrived(machine, from, target, to, payload));
        }
    }

    private static void datagramArrived(SimMachine sender, InetSocketAddress from, Address target,
            InetSocketAddress to, byte[] payload) {
        SimMachine machine = target.holder();
        if (machine == null || machine.isSilent() && machine != sender) {
            return;
        }
        SimDatagrams datagrams = machine.datagrams.get(to);
        if (datagrams != null) {
            datagrams.arrived(from, payload);
        }
    }
}
