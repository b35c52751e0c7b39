package rowanplank.lab.live;

import java.time.Duration;
import java.time.Instant;
import rowanplank.lab.world.World;
import rowanplank.net.Clock;

/** The machine's clock, as a world that begins now sees it: events of real and of virtual time look alike. */
final class LiveClock implements Clock {
    private final Clock machine;
    private final Instant began;

    LiveClock(Clock machine) {
        this.machine = machine;
        began = machine.now();
    }

    @Override
    public Instant now() {
        return World.BEGINNING.plus(Duration.between(began, machine.now()));
    }

    /** The time that nodes have, whose processes are their own. */
    Clock machine() {
        return machine;
    }
}
