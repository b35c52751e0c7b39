package rowanplank.lab.trace;

import java.util.ArrayList;
import java.util.List;

/** The last events that were told: a ring. */
public final class Recent implements Trace {
    private final Event[] ring;
    private long told;

    /** @param most how many are kept, 1 or more */
    public Recent(int most) {
        ring = new Event[most];
    }

    @Override
    public void tell(Event event) {
        ring[(int) (told++ % ring.length)] = event;
    }

    /** The oldest first. */
    public List<Event> events() {
        List<Event> events = new ArrayList<>();
        for (long i = Math.max(0, told - ring.length); i < told; i++) {
            events.add(ring[(int) (i % ring.length)]);
        }
        return events;
    }
}
