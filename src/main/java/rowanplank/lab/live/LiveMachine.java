package rowanplank.lab.live;

import java.net.InetSocketAddress;
import rowanplank.lab.run.ServerMachine;

/** A page server's place on this machine. */
final class LiveMachine implements ServerMachine {
    private final LiveGround ground;
    private final InetSocketAddress address;

    LiveMachine(LiveGround ground, InetSocketAddress address) {
        this.ground = ground;
        this.address = address;
    }

    @Override
    public InetSocketAddress address() {
        return address;
    }

    /** Nothing is to be done: whoever stood there has ended, and its ports are free. */
    @Override
    public void takeOver(InetSocketAddress other) { }

    @Override
    public Running boot() {
        return new LiveProcess(ground);
    }

    @Override
    public void vanish() {
        throw new UnsupportedOperationException("loopback can't fall silent");
    }

    @Override
    public void appear() {
        throw new UnsupportedOperationException("loopback can't fall silent");
    }

    @Override
    public boolean isSilent() {
        return false;
    }
}
