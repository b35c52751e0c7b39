package rowanplank.lab.run;

import java.net.InetSocketAddress;
import rowanplank.lab.net.Process;
import rowanplank.lab.net.SimMachine;
import rowanplank.lab.net.SimProcess;
import rowanplank.net.Loop;

/** A page server's machine on the simulated network. */
record SimServerMachine(SimMachine machine) implements ServerMachine {
    private record Booted(SimProcess process) implements Running {
        @Override
        public Loop loop() {
            return process;
        }

        @Override
        public boolean isAlive() {
            return process.isAlive();
        }

        @Override
        public void exit() {
            process.exit();
        }

        @Override
        public void kill() {
            process.kill();
        }
    }

    @Override
    public InetSocketAddress address() {
        return SiteMap.served(machine.address());
    }

    @Override
    public void takeOver(InetSocketAddress other) {
        machine.takeOver(other.getAddress());
    }

    @Override
    public Running boot() {
        return new Booted(machine.boot(Process.unbounded(machine.name()), NodeHost::rethrow));
    }

    @Override
    public void vanish() {
        machine.vanish();
    }

    @Override
    public void appear() {
        machine.appear();
    }

    @Override
    public boolean isSilent() {
        return machine.isSilent();
    }
}
