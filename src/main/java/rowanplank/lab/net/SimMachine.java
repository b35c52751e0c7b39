package rowanplank.lab.net;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** A machine: addresses, files, and the processes that run on it. */
public final class SimMachine {
    /** Linux's range of ports that it picks by itself. */
    private static final int FIRST_PORT = 32768;
    private static final int PORTS = 28232;

    final SimNetwork network;
    /** By value, and never gone through: hash order decides nothing. */
    final Map<InetSocketAddress, SimListening> listeners = new LinkedHashMap<>();
    final Map<InetSocketAddress, SimDatagrams> datagrams = new LinkedHashMap<>();
    private final String name;
    private final int hall;
    private final List<SimNetwork.Address> addresses = new ArrayList<>();
    private final List<SimProcess> processes = new ArrayList<>();
    private final SimFiles files = new SimFiles();
    private int ports;
    private boolean silent;

    SimMachine(SimNetwork network, String name, int hall) {
        this.network = network;
        this.name = name;
        this.hall = hall;
    }

    public String name() {
        return name;
    }

    /** The hall's number, or {@link SimNetwork#CLIENTS}. */
    public int hall() {
        return hall;
    }

    /** Its first address, from which its connections come. */
    public InetAddress address() {
        return addresses.get(0).ip();
    }

    /** One more address. @throws IllegalArgumentException if a machine has it already */
    public void addAddress(InetAddress ip) {
        SimNetwork.Address address = network.address(ip);
        if (address.holder() != null) {
            throw new IllegalArgumentException(ip.getHostAddress() + " is taken by " + address.holder().name);
        }
        address.moveTo(this);
        addresses.add(address);
    }

    /**
     * Takes an address for itself, whoever had it: what is sent there comes here, and connections that the other
     * machine had at it are reset from here.
     */
    public void takeOver(InetAddress ip) {
        SimNetwork.Address address = network.address(ip);
        address.moveTo(this);
        if (!addresses.contains(address)) {
            addresses.add(address);
        }
    }

    /** Starts a process. @param reports is told what goes wrong in a task of it, and was not foreseen */
    public SimProcess boot(Process limits, Consumer<Throwable> reports) {
        SimProcess process = new SimProcess(this, limits, reports);
        processes.add(process);
        return process;
    }

    /**
     * All its processes die, {@link SimProcess#kill} ends a single one: connections are reset, new ones are refused.
     */
    public void kill() {
        while (!processes.isEmpty()) {
            processes.get(0).kill();
        }
    }

    /** Nothing leaves it and nothing reaches it from now on; its processes run on and know nothing of it. */
    public void vanish() {
        silent = true;
    }

    /** Ends its silence. What was sent meanwhile comes as the senders try again. */
    public void appear() {
        silent = false;
    }

    public boolean isSilent() {
        return silent;
    }

    public SimFiles files() {
        return files;
    }

    void ended(SimProcess process) {
        processes.remove(process);
    }

    /** The address that new connections come from; null where others have taken all. */
    SimNetwork.Address source() {
        for (SimNetwork.Address a : addresses) {
            if (a.holder() == this) {
                return a;
            }
        }
        return null;
    }

    boolean holds(InetAddress ip) {
        return network.address(ip).holder() == this;
    }

    /** Ports that the system picks go round: none comes again soon. */
    int nextPort() {
        return FIRST_PORT + ports++ % PORTS;
    }

    @Override
    public String toString() {
        return name;
    }
}
