package rowanplank.lab.check;

import rowanplank.lab.trace.Event;
import rowanplank.lab.trace.Event.Kind;

/**
 * {@link Rule#NODE_HEALTH}: a node's code never throws where nothing was foreseen; its process ends only when it was
 * told to stop or is killed; and when all is at rest it holds no request, and no connection, descriptor or timer beyond
 * those of a node that has just started (the runner tells NODE_HELD of what is beyond them only). One that was drained 4 s
 * ago says that it is not up, and keeps no client's connection at rest (the runner looks, and tells NODE_KEPT).
 */
final class NodeHealth implements Check {
    private final Picture picture;
    private final Findings findings;

    NodeHealth(Picture picture, Findings findings) {
        this.picture = picture;
        this.findings = findings;
    }

    @Override
    public void see(Event e, Request request) {
        switch (e.kind()) {
            case NODE_BROKE -> findings.broke(Rule.NODE_HEALTH, e.at(), e.node(), Event.NONE, "it threw: " + e.text());
            case NODE_ENDED -> {
                if (!picture.node(e.node()).life().toldToStop()) {
                    findings.broke(Rule.NODE_HEALTH, e.at(), e.node(), Event.NONE,
                            "its process ended by itself with status " + e.value());
                }
            }
            case NODE_HELD -> findings.broke(Rule.NODE_HEALTH, e.at(), e.node(), Event.NONE,
                    "when all is at rest it holds " + e.value() + " " + e.text() + " too many");
            case NODE_KEPT -> findings.broke(Rule.NODE_HEALTH, e.at(), e.node(), Event.NONE,
                    "drained for 4 s, it says that it is up, or keeps connections at rest: " + e.value());
            default -> { }
        }
    }
}
