package rowanplank.lab.check;

import rowanplank.lab.trace.Event;

/**
 * {@link Rule#PLANNED_STOP}: of what a node has taken, nothing is lost ({@link Losses}) from SIGTERM to its end. Nor by
 * the SIGKILL that may follow, if the request came more than 0.7 s after SIGTERM (PROTOCOL, Figures).
 */
final class PlannedStop implements Check {
    private final Losses losses;
    private final Findings findings;

    PlannedStop(Losses losses, Findings findings) {
        this.losses = losses;
        this.findings = findings;
    }

    @Override
    public void settled(Request r) {
        String lost = losses.whileStopping(r) ? losses.lost(r) : null;
        if (lost != null) {
            findings.broke(Rule.PLANNED_STOP, losses.at(r), Event.NONE, r, lost + ", and its node was told to stop");
        }
    }
}
