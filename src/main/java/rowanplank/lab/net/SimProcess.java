package rowanplank.lab.net;

import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.component.AbstractLifeCycle;
import org.eclipse.jetty.util.thread.Scheduler;
import rowanplank.lab.world.Agenda;
import rowanplank.lab.world.World;
import rowanplank.net.Clock;
import rowanplank.net.Loop;

/**
 * A process on a simulated machine: one thread's worth of work, one task after the other. What is due while it is busy
 * or paused waits, in the order in which it became due. A task's effects are there when it begins, and the process is
 * busy for its cost after that.
 */
public final class SimProcess implements Loop {
    private static final int KIB = 1024;

    private final SimMachine machine;
    private final World world;
    private final Clock clock;
    private final Consumer<Throwable> reports;
    private final Scheduler scheduler = new LoopScheduler();
    private final String name;
    private final int mostDescriptors;
    private final double taskCost;
    private final double byteCost;
    private double cores;

    private final ArrayDeque<Work> late = new ArrayDeque<>();
    private Agenda.Entry turn;
    private long busyUntil;
    private long bytesMoved;
    private boolean alive = true;

    private final List<SimListening> listeners = new ArrayList<>();
    private final List<SimDatagrams> datagrams = new ArrayList<>();
    private SimSocket sockets;
    private int socketCount;
    private Timing timers;
    private int timerCount;

    SimProcess(SimMachine machine, Process limits, Consumer<Throwable> reports) {
        this.machine = machine;
        this.reports = reports;
        world = machine.network.world();
        clock = world.clock();
        name = limits.name();
        mostDescriptors = limits.descriptors();
        cores = limits.cores();
        taskCost = limits.taskCost().toNanos();
        byteCost = (double) limits.kibCost().toNanos() / KIB;
    }

    public SimMachine machine() {
        return machine;
    }

    public boolean isAlive() {
        return alive;
    }

    /** It dies: connections are reset, and nothing of it runs any more. A second call does nothing. */
    public void kill() {
        end(true);
    }

    /** It ends by itself: connections are closed as a system closes what a process has left open. */
    public void exit() {
        end(false);
    }

    private void end(boolean killed) {
        if (!alive) {
            return;
        }
        alive = false;
        late.clear();
        if (turn != null) {
            turn.strike();
        }
        while (timers != null) {
            timers.cancel();
        }
        while (!listeners.isEmpty()) {
            listeners.get(0).close();
        }
        while (!datagrams.isEmpty()) {
            datagrams.get(0).close();
        }
        while (sockets != null) {
            if (killed) {
                sockets.kill();
            } else {
                sockets.exit();
            }
        }
        machine.ended(this);
    }

    /** It stands still: what is due waits so long, beyond what it is busy with. */
    public void pause(Duration length) {
        busyUntil = Math.max(busyUntil, world.nanos()) + length.toNanos();
    }

    /** Changes its share of a core, for tasks that begin from now on. */
    public void cores(double share) {
        if (!(share > 0)) {
            throw new IllegalArgumentException("a share of " + share + " of a core");
        }
        cores = share;
    }

    /** How many descriptors it holds: listeners, datagram sockets, and connections, those being opened included. */
    public int descriptors() {
        return listeners.size() + datagrams.size() + socketCount;
    }

    /** How many connections it holds, those being opened included. */
    public int openConnections() {
        return socketCount;
    }

    /** How many timers are still to run, those of connections being opened included. */
    public int pendingTimers() {
        return timerCount;
    }

    // Work.

    /** The work's time has come: it is done now, or as soon as all that was due before it is done. */
    void due(Work work) {
        if (!alive) {
            return;
        }
        if (late.isEmpty() && world.nanos() >= busyUntil) {
            perform(work);
        } else {
            late.add(work);
            awaitTurn();
        }
    }

    private void awaitTurn() {
        if (turn == null) {
            turn = world.at(busyUntil, this::takeTurn);
        }
    }

    private void takeTurn() {
        turn = null;
        if (world.nanos() >= busyUntil) {
            perform(late.poll());
        }
        if (alive && !late.isEmpty()) {
            awaitTurn();
        }
    }

    /** Guards the process: what goes wrong in one task must not end the others. */
    private void perform(Work work) {
        bytesMoved = 0;
        try {
            work.perform();
        } catch (RuntimeException | StackOverflowError | AssertionError e) {
            report(e);
        }
        double cost = taskCost + bytesMoved * byteCost;
        if (cost > 0) {
            busyUntil = Math.max(busyUntil, world.nanos()) + (long) (cost / cores);
        }
    }

    void moved(int bytes) {
        bytesMoved += bytes;
    }

    @Override
    public Clock clock() {
        return clock;
    }

    @Override
    public ByteBuffer readBuffer() {
        return machine.network.readBuffer();
    }

    @Override
    public void report(Throwable failure) {
        reports.accept(failure);
    }

    @Override
    public void execute(Runnable task) {
        if (alive) {
            world.at(world.nanos(), task instanceof Work work && work.process == this ? work : new Execution(task));
        }
    }

    private final class Execution extends Work {
        private final Runnable task;

        Execution(Runnable task) {
            super(SimProcess.this);
            this.task = task;
        }

        @Override
        void perform() {
            task.run();
        }
    }

    @Override
    public Timer schedule(Duration delay, Runnable task) {
        Timing timing = new Timing(task);
        if (alive) {
            timing.begin(delay);
        }
        return timing;
    }

    /** A timer, linked with the others that are to come so that all end with the process. */
    private final class Timing extends Work implements Timer {
        private final Runnable task;
        private Agenda.Entry entry;
        private Timing previous;
        private Timing next;

        Timing(Runnable task) {
            super(SimProcess.this);
            this.task = task;
        }

        void begin(Duration delay) {
            entry = world.after(delay, this);
            next = timers;
            if (next != null) {
                next.previous = this;
            }
            timers = this;
            timerCount++;
        }

        private void unlink() {
            entry = null;
            timerCount--;
            if (next != null) {
                next.previous = previous;
            }
            if (previous != null) {
                previous.next = next;
            } else {
                timers = next;
            }
        }

        @Override
        void perform() {
            if (entry != null) { // it may have been cancelled while it was late
                unlink();
                task.run();
            }
        }

        @Override
        public boolean cancel() {
            if (entry == null) {
                return false;
            }
            entry.strike();
            unlink();
            return true;
        }
    }

    // Sockets.

    @Override
    public Listening listen(InetSocketAddress address, int backlog, Function<EndPoint, Connection> onAccept)
            throws IOException {
        checkBind(address);
        InetSocketAddress bound = address;
        while (bound.getPort() == 0 || address.getPort() == 0 && machine.listeners.containsKey(bound)) {
            bound = new InetSocketAddress(address.getAddress(), machine.nextPort());
        }
        SimListening listening = new SimListening(this, bound, backlog, onAccept);
        if (machine.listeners.putIfAbsent(bound, listening) != null) {
            throw new BindException("Address already in use");
        }
        listeners.add(listening);
        return listening;
    }

    void closed(SimListening listening) {
        machine.listeners.remove(listening.address());
        listeners.remove(listening);
        descriptorFreed();
    }

    @Override
    public Datagrams datagrams(InetSocketAddress address, int mostBytes, Receiver receiver) throws IOException {
        checkBind(address);
        InetSocketAddress bound = address;
        while (bound.getPort() == 0 || address.getPort() == 0 && machine.datagrams.containsKey(bound)) {
            bound = new InetSocketAddress(address.getAddress(), machine.nextPort());
        }
        SimDatagrams opened = new SimDatagrams(this, bound, mostBytes, receiver);
        if (machine.datagrams.putIfAbsent(bound, opened) != null) {
            throw new BindException("Address already in use");
        }
        datagrams.add(opened);
        return opened;
    }

    void closed(SimDatagrams closed) {
        machine.datagrams.remove(closed.address());
        datagrams.remove(closed);
        descriptorFreed();
    }

    private void checkBind(InetSocketAddress address) throws IOException {
        if (!hasDescriptor()) {
            throw new SocketException("Too many open files");
        }
        if (!machine.holds(address.getAddress())) {
            throw new BindException("Cannot assign requested address");
        }
    }

    @Override
    public Opening connect(InetSocketAddress address, Duration timeout, Connector connector) {
        SimOpening opening = new SimOpening(this, timeout, connector);
        try {
            opening.begin(address);
        } catch (IOException e) {
            execute(() -> opening.end(e));
        }
        return opening;
    }

    SimSocket openSocket(InetSocketAddress remote) throws IOException {
        if (!hasDescriptor()) {
            throw new SocketException("Too many open files");
        }
        SimNetwork.Address source = machine.source();
        if (source == null) {
            throw new NoRouteToHostException("Network is unreachable");
        }
        InetSocketAddress local = new InetSocketAddress(source.ip(), machine.nextPort());
        SimSocket socket = new SimSocket(machine, source, local, remote);
        hold(socket);
        return socket;
    }

    /** Whether there is a descriptor left; nothing else needs one before the caller uses it. */
    boolean hasDescriptor() {
        return alive && descriptors() < mostDescriptors;
    }

    /** Makes a socket one of this process's. */
    void hold(SimSocket socket) {
        socket.heldBy(this);
        socket.next = sockets;
        if (sockets != null) {
            sockets.previous = socket;
        }
        sockets = socket;
        socketCount++;
    }

    void released(SimSocket socket) {
        if (socket.next != null) {
            socket.next.previous = socket.previous;
        }
        if (socket.previous != null) {
            socket.previous.next = socket.next;
        } else {
            sockets = socket.next;
        }
        socket.next = null;
        socket.previous = null;
        socketCount--;
        descriptorFreed();
    }

    private void descriptorFreed() {
        if (descriptors() == mostDescriptors - 1) {
            for (SimListening l : listeners) {
                l.lookAgain();
            }
        }
    }

    /** Makes a connection on a socket that is up. */
    void open(SimSocket socket, Function<EndPoint, Connection> maker) {
        SimEndPoint endPoint = new SimEndPoint(this, socket);
        socket.attach(endPoint);
        try {
            Connection connection = maker.apply(endPoint);
            endPoint.setConnection(connection);
            if (endPoint.isOpen()) {
                endPoint.onOpen();
                connection.onOpen();
            }
        } catch (RuntimeException | StackOverflowError | AssertionError e) {
            endPoint.close();
            throw e;
        }
    }

    Scheduler scheduler() {
        return scheduler;
    }

    @Override
    public String toString() {
        return name + " on " + machine;
    }

    /** Gives Jetty the process's own timers. */
    private final class LoopScheduler extends AbstractLifeCycle implements Scheduler {
        @Override
        public Task schedule(Runnable task, long delay, TimeUnit unit) {
            return SimProcess.this.schedule(Duration.of(delay, unit.toChronoUnit()), task)::cancel;
        }
    }
}
