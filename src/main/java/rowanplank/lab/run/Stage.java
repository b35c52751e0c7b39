package rowanplank.lab.run;

import rowanplank.lab.day.Day;
import rowanplank.lab.net.SimNetwork;
import rowanplank.lab.trace.Event;
import rowanplank.lab.trace.Event.Kind;
import rowanplank.lab.trace.Trace;
import rowanplank.lab.world.World;

/** What all that takes part in a day shares. */
record Stage(Day day, World world, SimNetwork network, SiteMap map, Trace trace) {
    void tell(Kind kind, int node, long value, String text) {
        trace.tell(world.nanos(), kind, node, Event.NONE, Event.NONE, value, text);
    }
}
